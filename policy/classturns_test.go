package policy

import (
	"math/rand/v2"
	"testing"
)

// Guards against a class whose requests are never sent because another class, whose answers are worth more, always has some in the
// queue: of drawn crowds, one request of the other class is sent after at most maxClassRun others once there is capacity.
func TestClassesTakeTurns(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := testSettings()
		s.Classes[0].PriorityWeight = 2 + float64(random.IntN(50))
		r := newRig(t, s, 1+random.IntN(4))
		r.serve(50, 0, 20*ms)
		r.serve(20, 2, 20*ms)
		var inFlight []RequestID
		open := map[RequestID]bool{}
		add := func(class int) RequestID {
			id := r.request(class)
			open[id] = true
			return id
		}
		collect := func() { // the sends of requests that are not answered yet, in their order
			for _, send := range r.h.sends[len(inFlight):] {
				inFlight = append(inFlight, send.id)
			}
		}
		inFlight = make([]RequestID, len(r.h.sends))
		answered := len(inFlight)
		for range 60 + random.IntN(60) {
			add(0)
		}
		other := add(2)
		collect()
		before := len(inFlight)
		for step := 0; step < 4*maxClassRun && len(r.sendsOf(other)) == 0 && answered < len(inFlight); step++ {
			r.advance(ms)
			id := inFlight[answered]
			answered++
			if open[id] {
				delete(open, id)
				r.endAttempt(id, OK, 20*ms)
				add(0) // the crowd sends another one
			}
			collect()
		}
		if sent := len(inFlight) - before; len(r.sendsOf(other)) == 0 || sent > maxClassRun+2 {
			t.Fatalf("seed %d: the other class's request was sent %d times after %d sends of a crowd, want once after at most %d",
				seed, len(r.sendsOf(other)), sent, maxClassRun)
		}
	}
}
