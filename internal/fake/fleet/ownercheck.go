package fleet

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// orderSearchTimeout bounds the search of CheckOwnerOrder. A history of owners leaves it hardly any choice.
const orderSearchTimeout = 30 * time.Second

// CheckOwnerTokens checks the answers of owners, in order of time: a process that was asked after an answer with a
// higher token had come may not answer as the owner. It returns how many owners there were, one after the other, and
// the longest time between the last answer of one and the first of the next.
func CheckOwnerTokens(events []Event) (owners int, longest time.Duration, found []Finding) {
	highest := 0
	var firstAt, lastAt time.Duration // of the answers with the highest token, and of all
	for i := range events {
		e := &events[i]
		switch {
		case e.Kind != OwnerAnswered:
		case e.Version < highest && e.Reference > firstAt:
			rule := fmt.Sprintf("an owner by token %d, asked %v after one by %d had answered",
				e.Version, e.Reference-firstAt, highest)
			found = append(found, Finding{Rule: rule, At: e.At, Party: e.Party})
		case e.Version > highest:
			if owners++; owners > 1 {
				longest = max(longest, e.At-lastAt)
			}
			highest, firstAt, lastAt = e.Version, e.At, e.At
		default:
			lastAt = e.At
		}
	}
	return owners, longest, found
}

// ownership is who owns a singleton task, with which fencing token.
type ownership struct {
	process int
	token   int
}

// ownershipModel is the sequential specification of an ownership: who answers as the owner either is the last one, with
// the same token, or a new one with a higher token.
var ownershipModel = porcupine.Model{
	Init: func() any { return ownership{} },
	Step: func(state, _, output any) (bool, any) {
		before, after := state.(ownership), output.(ownership)
		return after.token > before.token || after == before, after
	},
	DescribeOperation: func(_, output any) string {
		o := output.(ownership)
		return fmt.Sprintf("n%d by %d", o.process, o.token)
	},
}

// CheckOwnerOrder checks that the answers of owners are linearizable (Herlihy and Wing, 1990): there is one order in
// which each answer falls between its question and itself, and follows the one before by ownershipModel. It returns how
// many answers there were, and a finding if there is no such order or none was found in time.
func CheckOwnerOrder(events []Event) (answers int, found []Finding) {
	var history []porcupine.Operation
	for _, e := range events {
		if e.Kind == OwnerAnswered {
			history = append(history, porcupine.Operation{
				ClientId: e.Party,
				Call:     int64(e.Reference),
				Return:   int64(e.At),
				Output:   ownership{e.Party, e.Version},
			})
		}
	}
	verdict := porcupine.CheckOperationsTimeout(ownershipModel, history, orderSearchTimeout)
	if verdict != porcupine.Ok {
		const rule = "%d answers of owners: an order in which each follows the one before is %s"
		found = append(found, Finding{Rule: fmt.Sprintf(rule, len(history), verdict)})
	}
	return len(history), found
}
