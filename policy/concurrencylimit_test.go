package policy

import (
	"testing"
	"time"
)

// adjustFor adjusts the limit for a while at a steady inflation.
func adjustFor(b *Balancer, from, d time.Duration, inflation float64) {
	for t := from; t < from+d; t += 10 * ms {
		b.latencyInflation = inflation
		b.adjustConcurrencyLimit(t)
	}
}

func newLimitRig(t *testing.T) (*rig, *Balancer) {
	r := newRig(t, testSettings(), 4)
	r.b.typicalLatency, r.b.concurrency.adjustedAt = 0.1, r.now
	r.b.refresh(r.now)
	r.b.concurrency.inFlight = int(r.b.concurrency.limit) * len(r.b.subset.members) // the limit is used up
	r.b.queue = append(r.b.queue, &request{done: true})                             // a request waits
	return r, r.b
}

// Guards against a limit that grows without load and does not limit when load comes.
func TestLimitGrowsOnlyWhileRequestsWait(t *testing.T) {
	r, b := newLimitRig(t)
	before := b.concurrency.limit
	waiting := b.queue
	b.queue = nil
	adjustFor(b, r.now, time.Second, 0)
	if b.concurrency.limit != before {
		t.Fatalf("limit went from %v to %v though nothing waits", before, b.concurrency.limit)
	}
	b.queue = waiting
	adjustFor(b, r.now+time.Second, time.Second, 0)
	if b.concurrency.limit <= before {
		t.Fatal("limit did not grow while requests wait and endpoints are not saturated")
	}
}

// Guards against many nodes that each grow their limit in bursts of their own, which come at different times,
// and then all use it at once: what counts is what endpoints manage from all nodes together. A single node
// observes it by its own requests.
func TestLimitGrowsToWhatAllNodesObserve(t *testing.T) {
	for _, tc := range []struct {
		name         string
		nodes        float64 // per endpoint
		inFlight     int     // own at present, in a burst
		mean         float64 // of them over a while
		least, below float64 // the limit after a long burst
	}{
		{"alone", 1, 48, 4, 20, 30},
		{"among many that are calm", 7, 12, 4, 2.9, 20},
		{"among many that are as full", 7, 12, 12, 30, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, b := newLimitRig(t)
			b.subset.nodesPerEndpoint = tc.nodes
			b.concurrency.inFlight, b.concurrency.meanInFlight = tc.inFlight, tc.mean
			adjustFor(b, r.now, 30*time.Second, 0)
			if b.concurrency.limit < tc.least || b.concurrency.limit > tc.below {
				t.Errorf("limit %.1f, want %g to %g", b.concurrency.limit, tc.least, tc.below)
			}
		})
	}
}

// Guards against a limit that doubles before the answers that would show saturation have come: a node with
// few answers learns of it that much later.
func TestLimitGrowsInStepWithAnswers(t *testing.T) {
	grown := func(answers int) float64 {
		r, b := newLimitRig(t)
		b.concurrency.inFlight = 1000
		from := b.concurrency.limit
		for i := range answers {
			b.adjustConcurrencyLimit(r.now + time.Duration(i+1)*time.Second/time.Duration(answers))
		}
		return b.concurrency.limit / from
	}
	few, many := grown(8), grown(200)
	if few > 1.1 || many < 2 {
		t.Errorf("in a second the limit grew %.2f times with 8 answers and %.2f times with 200", few, many)
	}
}

// Guards against endpoints that complete less the more they have in flight, and against a fleet that is slow
// as a whole starving itself.
func TestLimitShrinksButNotFarBelowTheLastGoodOne(t *testing.T) {
	r, b := newLimitRig(t)
	b.concurrency.saturated, b.concurrency.limit, b.concurrency.lastGood = true, 8, 4
	adjustFor(b, r.now, 5*time.Second, 1)
	if b.concurrency.limit >= 8 {
		t.Fatal("limit did not shrink under saturation")
	}
	adjustFor(b, r.now+5*time.Second, 20*time.Second, 1)
	if b.concurrency.limit < 2 || b.concurrency.limit > 4 {
		t.Fatalf("limit %v after 25 s of slowness, want it near the known 4", b.concurrency.limit)
	}
}

// Guards against a fleet of saturated endpoints that is kept saturated by many nodes, each
// within a limit that was good before: the endpoints could never recover.
func TestThinTrafficLetsSaturatedEndpointsRecover(t *testing.T) {
	r, b := newLimitRig(t)
	b.settings.NodeCount = maxInformativeNodes + 1
	b.concurrency.saturated, b.concurrency.limit, b.concurrency.lastGood = true, 8, 8
	adjustFor(b, r.now, 10*time.Second, 1)
	if b.concurrency.limit > 1 {
		t.Fatalf("limit %v after 10 s under saturation, want under one request per endpoint", b.concurrency.limit)
	}
}

// Guards against the overshoot of the initial growth, which answers reveal late.
func TestFirstSaturationCutsTheLimitAtOnce(t *testing.T) {
	r, b := newLimitRig(t)
	b.concurrency.limit, b.settings.NodeCount = 10, maxInformativeNodes+1
	adjustFor(b, r.now, 10*ms, 1)
	if b.concurrency.limit > 7 {
		t.Fatalf("limit %v after the first sign of saturation, want well below 10", b.concurrency.limit)
	}
}

// Guards against one request per endpoint from each of many nodes, which is saturation, and against a node
// that waits for capacity at its own chance peaks, though all nodes together are far from their limit.
func TestThinTrafficLimitsTheMeanInFlight(t *testing.T) {
	set := testSettings()
	set.NodeCount = 80
	r := newRig(t, set, 20)
	limit := r.b.concurrency.limit * 20 / 80 // in flight, this node's part
	for range 3 {
		r.request(0)
	}
	if n := len(r.h.sends); n < 2 {
		t.Fatalf("%d of 3 requests that came at once were sent, the limit is %.1f", n, limit)
	}
	queued, sum := 0, 0
	for range 300 { // requests that nobody answers for half a second each
		id := r.request(0)
		r.advance(10 * ms)
		sum += r.b.concurrency.inFlight
		if len(r.sendsOf(id)) == 0 {
			queued++
		}
		for id := range r.lastID {
			a := r.b.requests[id]
			if a == nil || len(a.attempts) == 0 || r.now-a.attempts[0].sentAt < 500*ms {
				continue
			}
			for i := range a.attempts {
				r.b.Outcome(r.now, Outcome{ID: id, Attempt: i, Status: OK, RequestDone: true, Latency: 500 * ms})
			}
		}
	}
	if mean := float64(sum) / 300; queued == 0 || mean > 2*limit+1 {
		t.Fatalf("%d queued, %.1f in flight on average; the node's part is %.1f", queued, mean, limit)
	}
}
