package fleet

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// orderSearchTimeout bounds the search of CheckOwnerOrder. The search is normally far shorter, since the rising tokens
// of owners leave few possible orders.
const orderSearchTimeout = 30 * time.Second

// CheckOwnerTokens checks the answers of owners, in order of time: a process that was asked after an answer with a
// higher token had arrived must not answer as the owner. It returns the number of successive owners, and the longest
// time between the last answer of one owner and the first answer of the next one.
func CheckOwnerTokens(events []Event) (owners int, longest time.Duration, found []Finding) {
	highest := 0
	var firstAt, lastAt time.Duration // the first answer with the highest token so far, and the last accepted answer
	for i := range events {
		e := &events[i]
		switch {
		case e.Kind != OwnerAnswered:
		case e.Version < highest && e.Reference > firstAt:
			rule := fmt.Sprintf(
				"a process answered as the owner with token %d, asked %v after an owner with token %d had answered",
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

// ownership is the owner of a singleton task and its fencing token.
type ownership struct {
	process int
	token   int
}

// ownershipModel is the sequential specification of an ownership: the process that answers as the owner is either the
// previous owner with the same token, or any process with a higher token.
var ownershipModel = porcupine.Model{
	Init: func() any { return ownership{} },
	Step: func(state, _, output any) (bool, any) {
		before, after := state.(ownership), output.(ownership)
		return after.token > before.token || after == before, after
	},
	DescribeOperation: func(_, output any) string {
		o := output.(ownership)
		return fmt.Sprintf("process %d with token %d", o.process, o.token)
	},
}

// CheckOwnerOrder checks that the answers of owners are linearizable (Herlihy and Wing, 1990): there is one order in
// which each answer takes effect between its query and its arrival, and ownershipModel allows each answer after the
// previous one. It returns the number of answers, and a finding if there is no such order or the search timed out.
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
		const rule = "the %d answers of owners are not shown to be linearizable: the result of the search for an order is %s"
		found = append(found, Finding{Rule: fmt.Sprintf(rule, len(history), verdict)})
	}
	return len(history), found
}
