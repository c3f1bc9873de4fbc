package fleet

import "testing"

// CheckRequests reports one violation of each rule, and none in a history without violations.
func TestCheckRequests(t *testing.T) {
	good := []Event{
		{At: 1, Kind: RequestSent, ID: "a.0", Class: 1, Reference: 100},
		{At: 2, Kind: AttemptArrived, ID: "a.0", Party: 1},
		{At: 3, Kind: EffectApplied, ID: "a.0", Party: 1},
		{At: 4, Kind: RequestAnswered, ID: "a.0"},
		{At: 5, Kind: RequestSent, ID: "b.0", Class: 0, Reference: 100},
		{At: 6, Kind: DrainAnnounced, Party: 1},
		{At: 7, Kind: AttemptArrived, ID: "b.0", Party: 1},
		{At: 8, Kind: EffectApplied, ID: "b.0"},
		{At: 9, Kind: EffectApplied, ID: "b.0"},
		{At: 10, Kind: DrainAnnounced, Party: 1, Ended: true},
		{At: 40, Kind: AttemptArrived, ID: "b.0", Party: 1},
	}
	rules := Rules{NotIdempotent: []bool{false, true}, DrainGrace: 10, Slack: 1}
	if found := CheckRequests(good, rules); len(found) > 0 {
		t.Fatalf("findings in a history without violations: %v, want none", found)
	}
	for _, tc := range []struct {
		want string
		more []Event
	}{
		{"a second final answer to a try", []Event{{At: 50, Kind: RequestAnswered, ID: "a.0"}}},
		{"a final answer to a try that no client sent", []Event{{At: 50, Kind: RequestAnswered, ID: "c.0"}}},
		{"an attempt of a try that no client sent", []Event{{At: 50, Kind: AttemptArrived, ID: "c.0"}}},
		{"an attempt after its client's deadline", []Event{{At: 102, Kind: AttemptArrived, ID: "a.0"}}},
		{"a second effect of a request that is not idempotent", []Event{
			{At: 50, Kind: RequestSent, ID: "a.1", Class: 1, Reference: 100},
			{At: 51, Kind: EffectApplied, ID: "a.1"},
		}},
		{"an attempt at a server that drains", []Event{
			{At: 50, Kind: DrainAnnounced, Party: 2},
			{At: 55, Kind: DrainAnnounced, Party: 2},
			{At: 62, Kind: AttemptArrived, ID: "a.0", Party: 2},
		}},
		{"a server overloaded while it was warming up", []Event{{At: 50, Kind: ServerOverloaded}}},
	} {
		found := CheckRequests(append(good[:len(good):len(good)], tc.more...), rules)
		if len(found) != 1 || found[0].Rule != tc.want || found[0].ID != "" && len(found[0].History) == 0 {
			t.Errorf("got findings %v, want one: %q, with its request's history", found, tc.want)
		}
	}
}
