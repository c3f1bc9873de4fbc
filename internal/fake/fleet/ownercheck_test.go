package fleet

import (
	"testing"
	"time"
)

func ownerAnswer(process, token int, asked, answered time.Duration) Event {
	return Event{Kind: OwnerAnswered, Party: process, Version: token, Reference: asked, At: answered}
}

// CheckOwnerOrder accepts linearizable answers, also overlapping ones, and reports answers of a former owner and of two
// owners with the same token.
func TestCheckOwnerOrder(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []Event
		broken bool
	}{
		{"one after the other", []Event{
			ownerAnswer(0, 3, 0, 1), ownerAnswer(0, 3, 2, 3), ownerAnswer(1, 9, 4, 5), ownerAnswer(0, 12, 6, 7),
		}, false},
		{"an old answer that arrived late", []Event{ownerAnswer(1, 9, 4, 5), ownerAnswer(0, 3, 0, 10)}, false},
		{"an event of another kind", []Event{{Kind: AttemptArrived, At: 1}, ownerAnswer(0, 3, 2, 3)}, false},
		{"asked after a later owner had answered", []Event{
			ownerAnswer(0, 3, 0, 1), ownerAnswer(1, 9, 2, 3), ownerAnswer(0, 3, 4, 5),
		}, true},
		{"two owners with one token", []Event{ownerAnswer(0, 3, 0, 1), ownerAnswer(1, 3, 2, 3)}, true},
		{"two owners with one token at the same moment", []Event{
			ownerAnswer(0, 3, 0, 5), ownerAnswer(1, 3, 0, 5),
		}, true},
		{"a token between those of two others that were in order", []Event{
			ownerAnswer(0, 3, 0, 9), ownerAnswer(1, 9, 1, 2), ownerAnswer(2, 5, 3, 4),
		}, true},
	} {
		answers, found := CheckOwnerOrder(tc.events)
		if (len(found) > 0) != tc.broken || answers == 0 {
			t.Errorf("%s: got %d answers and findings %v, want answers and a finding: %v", tc.name, answers, found, tc.broken)
		}
	}
}
