package fleet

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// ownership is who owns a work, by which token.
type ownership struct {
	who   int
	token int
}

// ownershipModel is the ownership of a work as one thing that is asked: whoever answers as its owner either is the one who did
// last, by the same token, or a new one by a higher token.
var ownershipModel = porcupine.Model{
	Init: func() any { return ownership{} },
	Step: func(state, _, output any) (bool, any) {
		was, now := state.(ownership), output.(ownership)
		return now.token > was.token || now == was, now
	},
	DescribeOperation: func(_, output any) string {
		return fmt.Sprintf("n%d by %d", output.(ownership).who, output.(ownership).token)
	},
}

// orderSearchTimeout bounds the search for an order; a history of owners has hardly any choice in it.
const orderSearchTimeout = 30 * time.Second

// CheckOwnerOrder looks for one order of all that was answered as the owner of a work in which each answer falls between
// its question and itself, and every owner follows the one before it by a higher token (Herlihy and Wing's
// linearizability, by a checker that knows nothing of the program). It gives how many answers there were, and a
// finding where there is no such order, or none was found in time.
func CheckOwnerOrder(events []Event) (answers int, found []Finding) {
	var history []porcupine.Operation
	for _, e := range events {
		if e.Kind == OwnerAnswered {
			history = append(history, porcupine.Operation{
				ClientId: e.Party, Call: int64(e.Reference), Return: int64(e.At), Output: ownership{e.Party, e.Version},
			})
		}
	}
	if verdict := porcupine.CheckOperationsTimeout(ownershipModel, history, orderSearchTimeout); verdict != porcupine.Ok {
		found = append(found, Finding{Rule: fmt.Sprintf("%d answers of owners: an order in which each follows the one before is %s", len(history), verdict)})
	}
	return len(history), found
}
