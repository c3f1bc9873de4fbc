package fleet

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// owning is who owns a work, by which token.
type owning struct {
	who   int
	token int
}

// owners is the ownership of a work as one thing that is asked: whoever answers as its owner either is the one who did
// last, by the same token, or a new one by a higher token.
var owners = porcupine.Model{
	Init: func() any { return owning{} },
	Step: func(state, _, output any) (bool, any) {
		was, now := state.(owning), output.(owning)
		return now.token > was.token || now == was, now
	},
	DescribeOperation: func(_, output any) string {
		return fmt.Sprintf("n%d by %d", output.(owning).who, output.(owning).token)
	},
}

// historyTakes bounds the search for an order; a history of owners has hardly any choice in it.
const historyTakes = 30 * time.Second

// CheckOwners looks for one order of all that was answered as the owner of a work in which each answer falls between
// its question and itself, and every owner follows the one before it by a higher token (Herlihy and Wing's
// linearizability, by a checker that knows nothing of the program). It gives how many answers there were, and a
// finding where there is no such order, or none was found in time.
func CheckOwners(events []Event) (answers int, found []Finding) {
	var history []porcupine.Operation
	for _, e := range events {
		if e.What == Owned {
			history = append(history, porcupine.Operation{
				ClientId: e.Who, Call: int64(e.By), Return: int64(e.At), Output: owning{e.Who, e.Stamp},
			})
		}
	}
	if verdict := porcupine.CheckOperationsTimeout(owners, history, historyTakes); verdict != porcupine.Ok {
		found = append(found, Finding{Rule: fmt.Sprintf("%d answers of owners: an order in which each follows the one before is %s", len(history), verdict)})
	}
	return len(history), found
}
