package fleet

import (
	"testing"
	"time"
)

func owned(who, token int, asked, answered time.Duration) Event {
	return Event{Kind: OwnerAnswered, Party: who, Version: token, Reference: asked, At: answered}
}

// The checker takes what can be put in order, however the answers overlap, and refuses each way in which
// an old owner shows.
func TestCheckOwners(t *testing.T) {
	for name, c := range map[string]struct {
		events []Event
		refuse bool
	}{
		"one after the other":                        {[]Event{owned(0, 3, 0, 1), owned(0, 3, 2, 3), owned(1, 9, 4, 5), owned(0, 12, 6, 7)}, false},
		"an old answer that was long on its way":     {[]Event{owned(1, 9, 4, 5), owned(0, 3, 0, 10)}, false},
		"what is no answer of an owner":              {[]Event{{Kind: AttemptArrived, At: 1}, owned(0, 3, 2, 3)}, false},
		"asked after a later one had answered":       {[]Event{owned(0, 3, 0, 1), owned(1, 9, 2, 3), owned(0, 3, 4, 5)}, true},
		"two owners by one token":                    {[]Event{owned(0, 3, 0, 1), owned(1, 3, 2, 3)}, true},
		"two owners by one token at the same moment": {[]Event{owned(0, 3, 0, 5), owned(1, 3, 0, 5)}, true},
		"in between, by the order of the others":     {[]Event{owned(0, 3, 0, 9), owned(1, 9, 1, 2), owned(2, 5, 3, 4)}, true},
	} {
		answers, found := CheckOwnerOrder(c.events)
		if (len(found) > 0) != c.refuse || answers == 0 {
			t.Errorf("%s: %d answers, found %v, want a refusal: %v", name, answers, found, c.refuse)
		}
	}
}
