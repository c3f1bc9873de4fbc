package slowstart

import (
	"math/rand/v2"
	"testing"
	"time"
)

// endpoint is a first-in-first-out queue that warms up, with a capacity that no node knows.
type endpoint struct {
	rules    *Rules
	capacity float64 // work a second when warm
	started  time.Duration
	idleAt   time.Duration // time at which all work sent so far is done
	sent     []sentWork
}

type sentWork struct {
	at   time.Duration
	work float64
}

// enqueue queues work and returns the time at which it will be done.
func (e *endpoint) enqueue(now time.Duration, work float64) time.Duration {
	e.sent = append(e.sent, sentWork{now, work})
	e.idleAt = max(e.idleAt, now) + time.Duration(work/(e.capacity*e.rules.CapacityShare(e.idleAt, e.started))*1e9)
	return e.idleAt
}

// maxMultiple returns the most work that it was sent in any window of OverloadDuration, as a multiple of
// its capacity at the window's end. Windows begin at its start at the earliest.
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

type completion struct {
	at   time.Duration
	node int
}

// simulate sends an endpoint a demand from several nodes, as far as their budgets allow; without budgets if
// unlimited. known is the throughput that the nodes know of warm endpoints. It returns the largest multiple
// of its capacity that the endpoint was sent, and the share of its capacity that was used.
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
	var answers []completion // in the order of their times, since the endpoint is one queue
	now := e.started
	for end := e.started + r.Window; now < end; now += time.Duration(rng.ExpFloat64() / (demand / work) * 1e9) {
		for len(answers) > 0 && answers[0].at <= now {
			budgets[answers[0].node].RecordCompleted(r, answers[0].at, work)
			inFlight[answers[0].node] -= work
			utilization += work
			answers = answers[1:]
		}
		node := 0 // one has half of the traffic
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

// Whatever the number of nodes and however uneven their traffic, what they send an endpoint together stays
// below the overload multiple, also where it has a tenth of the expected capacity; and most of its capacity
// is used, also where next to nothing was known of it. Without the budget the same demand overloads it.
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
				minUtilization  float64 // share of its capacity that is used
				maxNodes        int     // nodes: each sends a request before it has an answer
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
						t.Fatalf("%d nodes, %s, seed %d: sent %.2f times its capacity "+
							"(at most %v and a twentieth for chance), %.2f of it used",
							nodes, tc.name, seed, multiple, r.OverloadMultiple, utilization)
					}
				}
				if multiple, _ := simulate(r, 1, nodes, tc.capacity, 6*tc.capacity, tc.known, true); multiple < r.OverloadMultiple {
					t.Errorf("without a budget only %.2f times its capacity: the test proves nothing", multiple)
				}
			}
		}
	}
}

// Work that is not completed earns no credit, and unused credit does not grow without bound.
func TestCredit(t *testing.T) {
	r := &Rules{MinCapacity: 0.3, Window: 8 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second}
	var b Budget
	b.Defer(time.Second, 0.01)
	if b.Allows(r, time.Second, 0, 0.02, 0) {
		t.Error("allowed with a debt")
	}
	b.RecordCompleted(r, time.Second, 0.02)
	if !b.Allows(r, time.Second, 0, 0.02, 0) {
		t.Error("completed work earns no credit")
	}
	b.RecordSent(0.02)
	b.RecordSent(0.02)
	if b.Allows(r, time.Hour, 0, 0.02, 0) {
		t.Error("allowed for ever by one answer")
	}
	for i := range 1000 {
		b.RecordCompleted(r, time.Hour+time.Duration(i)*time.Millisecond, 0.001)
	}
	most := r.GrowthFactor() * r.OverloadDuration.Seconds() * creditShare
	if b.earnedCredit > most || !b.Allows(r, time.Hour, 1, 0.02, 0) || b.FixedCredit() > creditShare {
		t.Errorf("earned credit %.3f (%.3f at most), fixed credit %.3f", b.earnedCredit, most, b.FixedCredit())
	}
}
