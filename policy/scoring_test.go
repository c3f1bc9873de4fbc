package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against an endpoint that rejects requests but looks idle, and so attracts most of the traffic
// while the other endpoints hang.
func TestRejectionsLowerTheScore(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	r.serve(30, 0, 20*ms)
	id := r.request(0)
	full := r.sendsOf(id)[0]
	r.endAttempt(id, Rejected, 0)
	r.advance(ms)
	r.b.refresh(r.now)
	for _, e := range r.b.subset.members {
		if e.ID != full && e.score <= r.b.endpoints[full].score {
			t.Fatalf("score of the full endpoint is %.2f, want less than that of another, %.2f",
				r.b.endpoints[full].score, e.score)
		}
	}
}

func TestScorePrefersSuccessThenLatencyThenFewerInFlight(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	good, slow, failing := r.b.ready[0], r.b.ready[1], r.b.ready[2]
	for range 50 {
		good.outcomes.record(r.now, true, 1)
		slow.outcomes.record(r.now, true, 5)
		failing.outcomes.record(r.now, true, 1)
		failing.outcomes.record(r.now, false, 0)
	}
	r.b.refresh(r.now)
	if !(good.score > slow.score && good.score > failing.score) {
		t.Fatalf("scores: good %.2f, slow %.2f, failing %.2f; want the good one highest", good.score, slow.score, failing.score)
	}
	if better(good, slow) != good || better(failing, good) != good {
		t.Fatal("better did not return the endpoint with the higher score")
	}
	twin := &endpoint{score: good.score - scoreTie/2}
	good.inFlight = append(good.inFlight, &attempt{})
	if better(good, twin) != twin {
		t.Fatal("better did not return the endpoint with fewer requests in flight at near-equal scores")
	}
}

func TestUnmeasuredEndpointScoresTheMean(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	for range 20 {
		r.b.ready[0].outcomes.record(r.now, true, 1)
		r.b.ready[1].outcomes.record(r.now, true, 3)
	}
	r.b.refresh(r.now)
	endpoints := r.b.ready
	if !(endpoints[0].score > endpoints[2].score && endpoints[2].score > endpoints[1].score) {
		t.Fatalf("scores %.2f and %.2f with outcomes, %.2f without; want the last in between",
			endpoints[0].score, endpoints[1].score, endpoints[2].score)
	}
	r.b.refresh(r.now + 2*outcomeMaxAge)
	if endpoints[0].score != endpoints[1].score {
		t.Fatal("expired outcomes still count, so an endpoint with a low score would never be used again")
	}
}

// Checks the ring of outcomes, which grows with use, against a slice as model, with random outcomes.
func TestOutcomesGrowWithUse(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		e := &endpoint{}
		var model []outcome
		for step := range 400 {
			o := outcome{time.Duration(step), rng.IntN(3) > 0, rng.Float64()}
			e.outcomes.record(o.at, o.success, o.latency)
			if model = append(model, o); len(model) > maxOutcomes {
				model = model[1:]
			}
			for len(model) > 0 && rng.IntN(8) == 0 { // dropExpired drops in the same way
				e.outcomes.dropOldest()
				model = model[1:]
			}
			good := 0
			for i, want := range model {
				if *e.outcomes.at(i) != want {
					t.Fatalf("seed %d, step %d: outcome with index %d of %d is %v, want %v",
						seed, step, i, len(model), *e.outcomes.at(i), want)
				}
				if want.success {
					good++
				}
			}
			w := &e.outcomes
			if w.count != len(model) || w.successes != good || len(w.ring) > maxOutcomes {
				t.Fatalf("seed %d, step %d: %d outcomes, %d successes in a ring of %d; want %d and %d",
					seed, step, w.count, w.successes, len(w.ring), len(model), good)
			}
		}
	}
	if e := (&endpoint{}); len(e.outcomes.ring) != 0 {
		t.Error("an endpoint without outcomes has allocated space for outcomes")
	}
}
