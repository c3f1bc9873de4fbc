package slowstart

import (
	"math/rand/v2"
	"testing"
	"time"
)

// endpoint models a warming endpoint as a first-in-first-out queue whose capacity no node knows.
type endpoint struct {
	rules    *Rules
	capacity float64 // work per second when warm
	started  time.Duration
	idleAt   time.Duration // time at which all work sent so far is completed
	sent     []sentWork    // in the order of the sends
}

// sentWork is work that was sent to an endpoint at one time, in seconds.
type sentWork struct {
	at   time.Duration
	work float64
}

// enqueue queues work and returns the time at which it will be completed.
func (e *endpoint) enqueue(now time.Duration, work float64) time.Duration {
	e.sent = append(e.sent, sentWork{now, work})
	e.idleAt = max(e.idleAt, now) + time.Duration(work/(e.capacity*e.rules.CapacityShare(e.idleAt, e.started))*1e9)
	return e.idleAt
}

// maxMultiple returns the maximum work that the endpoint was sent in any window of OverloadDuration, as a
// multiple of the endpoint's capacity at the end of the window. No window begins before the endpoint's
// start.
func (e *endpoint) maxMultiple() (most float64) {
	sum, first := 0.0, 0
	for _, l := range e.sent {
		sum += l.work
		for e.sent[first].at <= l.at-e.rules.OverloadDuration {
			sum -= e.sent[first].work
			first++
		}
		if l.at-e.started >= e.rules.OverloadDuration {
			most = max(most, sum/(e.capacity*e.rules.CapacityShare(l.at, e.started)*e.rules.OverloadDuration.Seconds()))
		}
	}
	return most
}

// completion is the time at which the endpoint completes a node's request.
type completion struct {
	at   time.Duration
	node int
}

// simulate sends requests from several nodes to a warming endpoint. demand is the offered work per second
// of all nodes; a request is sent only if the node's budget allows it, unless ignoreBudgets is set. known
// is the work per second that the nodes assume of a warm endpoint. simulate returns the maximum multiple of
// its capacity that the endpoint was sent, and the share of its capacity that was used.
func simulate(
	r *Rules, seed uint64, nodes int, capacity, demand, known float64, ignoreBudgets bool,
) (multiple, utilization float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	const work = 0.02
	e := &endpoint{rules: r, capacity: capacity, started: time.Second}
	budgets, inFlight := make([]Budget, nodes), make([]float64, nodes)
	for i := range budgets {
		budgets[i].Defer(e.started, work*rng.Float64())
	}
	var answers []completion // ordered by time, since the endpoint is one queue
	now := e.started
	for end := e.started + r.Window; now < end; now += time.Duration(rng.ExpFloat64() / (demand / work) * 1e9) {
		for len(answers) > 0 && answers[0].at <= now {
			budgets[answers[0].node].RecordCompleted(r, answers[0].at, work)
			inFlight[answers[0].node] -= work
			utilization += work
			answers = answers[1:]
		}
		node := 0 // node 0 gets half of the traffic and its share of the other half
		if rng.Float64() < 0.5 {
			node = rng.IntN(nodes)
		}
		b := &budgets[node]
		rate := r.FixedRate(known/float64(nodes), r.CapacityShare(now, e.started))
		if b.Allows(r, now, rate, work, inFlight[node]) || ignoreBudgets {
			b.RecordSent(work)
			inFlight[node] += work
			answers = append(answers, completion{e.enqueue(now, work), node})
		}
	}
	return e.maxMultiple(), utilization / (capacity * (1 + r.MinCapacity) / 2 * r.Window.Seconds())
}

// Guards against overloading or underusing a warming endpoint. For several numbers of nodes with uneven
// traffic, the work that all nodes together send must stay below the overload multiple, even if the
// endpoint has a tenth of the expected capacity. Most of the capacity must be used, even if the nodes
// assume a small part of it. Without budgets the same demand must overload the endpoint, which shows that
// the demand is high enough.
func TestNeverPushedOverAndWellUsed(t *testing.T) {
	const seeds = 40
	for _, r := range []*Rules{
		{MinCapacity: 0.3, Window: 8 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second},
		{MinCapacity: 0.1, Window: 30 * time.Second, OverloadMultiple: 2, OverloadDuration: time.Second},
	} {
		for _, nodes := range []int{1, 5, 30, 100} {
			for _, tc := range []struct {
				name            string
				capacity, known float64
				minUtilization  float64 // minimum share of the endpoint's capacity that must be used
				maxNodes        int     // more nodes are not tested, since each sends a request before its first answer
			}{
				{"known in full", 4, 4, 0.85, 30},
				{"a quarter known", 4, 1, 0.8, 100},
				{"one slow core known", 4, 0.5, 0.7, 100},
				{"half of the expected capacity", 2, 4, 0.8, 5},
				{"a tenth of the expected capacity", 0.4, 4, 0.8, 1},
			} {
				if nodes > tc.maxNodes {
					continue
				}
				for seed := range uint64(seeds) {
					demand := 6 * tc.capacity
					multiple, utilization := simulate(r, seed, nodes, tc.capacity, demand, tc.known, false)
					if multiple > 1.05*r.OverloadMultiple || utilization < tc.minUtilization {
						t.Fatalf("%d nodes, %s, seed %d: endpoint was sent %.2f times its capacity "+
							"(want at most %v, plus 5%% for chance), used share of its capacity %.2f (want at least %v)",
							nodes, tc.name, seed, multiple, r.OverloadMultiple, utilization, tc.minUtilization)
					}
				}
				if multiple, _ := simulate(r, 1, nodes, tc.capacity, 6*tc.capacity, tc.known, true); multiple < r.OverloadMultiple {
					t.Errorf("without budgets the endpoint was sent only %.2f times its capacity, want at least %v; "+
						"the demand is too low for the test", multiple, r.OverloadMultiple)
				}
			}
		}
	}
}

// Checks that work which is not completed earns no credit, and that unused credit is bounded.
func TestCredit(t *testing.T) {
	r := &Rules{MinCapacity: 0.3, Window: 8 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second}
	var b Budget
	b.Defer(time.Second, 0.01)
	if b.Allows(r, time.Second, 0, 0.02, 0) {
		t.Error("work was allowed though the budget has a debt")
	}
	b.RecordCompleted(r, time.Second, 0.02)
	if !b.Allows(r, time.Second, 0, 0.02, 0) {
		t.Error("completed work earned no credit")
	}
	b.RecordSent(0.02)
	b.RecordSent(0.02)
	if b.Allows(r, time.Hour, 0, 0.02, 0) {
		t.Error("one completed request allowed any number of further requests")
	}
	for i := range 1000 {
		b.RecordCompleted(r, time.Hour+time.Duration(i)*time.Millisecond, 0.001)
	}
	most := r.GrowthFactor() * r.OverloadDuration.Seconds() * creditShare
	if b.earnedCredit > most || !b.Allows(r, time.Hour, 1, 0.02, 0) || b.FixedCredit() > creditShare {
		t.Errorf("earned credit %.3f, want at most %.3f; fixed credit %.3f, want one that allows work and is at most creditShare",
			b.earnedCredit, most, b.FixedCredit())
	}
}
