package policy

import (
	"testing"
	"time"
)

// adjustFor adjusts the concurrency limit every 10 ms for the duration d, with a constant latency inflation.
func adjustFor(b *Balancer, from, d time.Duration, inflation float64) {
	for t := from; t < from+d; t += 10 * ms {
		b.latencyInflation = inflation
		b.adjustConcurrencyLimit(t)
	}
}

// newLimitRig returns a rig with four endpoints, with as many requests in flight as the limit allows, and
// with one queued request.
func newLimitRig(t *testing.T) (*rig, *Balancer) {
	r := newRig(t, testSettings(), 4)
	r.b.typicalLatency, r.b.concurrency.adjustedAt = 0.1, r.now
	r.b.refresh(r.now)
	r.b.concurrency.inFlight = int(r.b.concurrency.limit) * len(r.b.subset.members) // no capacity is left
	r.b.queue = append(r.b.queue, &request{done: true})                             // one request waits
	return r, r.b
}

// Guards against a limit that grows while there is no load and is then too high when load arrives.
func TestLimitGrowsOnlyWhileRequestsWait(t *testing.T) {
	r, b := newLimitRig(t)
	before := b.concurrency.limit
	waiting := b.queue
	b.queue = nil
	adjustFor(b, r.now, time.Second, 0)
	if b.concurrency.limit != before {
		t.Fatalf("limit changed from %v to %v though no request waits", before, b.concurrency.limit)
	}
	b.queue = waiting
	adjustFor(b, r.now+time.Second, time.Second, 0)
	if b.concurrency.limit <= before {
		t.Fatal("limit did not grow while requests waited and endpoints were not saturated")
	}
}

// Guards against many nodes that each raise their limit during bursts of their own and later all use the
// higher limit at the same time. The limit may grow only to what endpoints are seen to handle from all
// nodes together. A single node observes this by its own requests.
func TestLimitGrowsToWhatAllNodesObserve(t *testing.T) {
	for _, tc := range []struct {
		name         string
		nodes        float64 // nodes per endpoint
		inFlight     int     // this node's requests in flight, in a burst
		mean         float64 // mean of this node's requests in flight
		least, below float64 // bounds of the limit after a long burst
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

// Guards against a limit that doubles before the answers that would show saturation have arrived. A node
// that gets few answers detects saturation late, so its limit must grow more slowly.
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
		t.Errorf("in 1 s the limit grew by a factor of %.2f with 8 answers (want at most 1.1) and of %.2f with 200 (want at least 2)",
			few, many)
	}
}

// Guards against saturation of endpoints that complete less work the more requests they have in flight, and
// against a limit that falls without bound because all endpoints are slow.
func TestLimitShrinksButNotFarBelowTheLastGoodOne(t *testing.T) {
	r, b := newLimitRig(t)
	b.concurrency.saturated, b.concurrency.limit, b.concurrency.lastGood = true, 8, 4
	adjustFor(b, r.now, 5*time.Second, 1)
	if b.concurrency.limit >= 8 {
		t.Fatal("limit did not shrink while endpoints were saturated")
	}
	adjustFor(b, r.now+5*time.Second, 20*time.Second, 1)
	if b.concurrency.limit < 2 || b.concurrency.limit > 4 {
		t.Fatalf("limit %v after 25 s of high latencies, want 2 to 4, near the last good limit", b.concurrency.limit)
	}
}

// Guards against endpoints that stay saturated because many nodes each send up to a limit that was good
// before.
func TestThinTrafficLetsSaturatedEndpointsRecover(t *testing.T) {
	r, b := newLimitRig(t)
	b.settings.NodeCount = maxInformativeNodes + 1
	b.concurrency.saturated, b.concurrency.limit, b.concurrency.lastGood = true, 8, 8
	adjustFor(b, r.now, 10*time.Second, 1)
	if b.concurrency.limit > 1 {
		t.Fatalf("limit %v after 10 s of saturation, want at most one request per endpoint", b.concurrency.limit)
	}
}

// Guards against overshoot of the initial growth, which the answers show only after a delay.
func TestFirstSaturationCutsTheLimitAtOnce(t *testing.T) {
	r, b := newLimitRig(t)
	b.concurrency.limit, b.settings.NodeCount = 10, maxInformativeNodes+1
	adjustFor(b, r.now, 10*ms, 1)
	if b.concurrency.limit > 7 {
		t.Fatalf("limit %v after the first saturation, want at most 7", b.concurrency.limit)
	}
}

// Guards against saturation by many nodes that each have one request per endpoint in flight. Also guards
// against a node that queues requests during a short burst of its own although all nodes together are far
// below their limit.
func TestThinTrafficLimitsTheMeanInFlight(t *testing.T) {
	set := testSettings()
	set.NodeCount = 80
	r := newRig(t, set, 20)
	limit := r.b.concurrency.limit * 20 / 80 // this node's part of the requests in flight
	for range 3 {
		r.request(0)
	}
	if n := len(r.h.sends); n < 2 {
		t.Fatalf("%d of 3 simultaneous requests were sent, want at least 2; this node's part of the limit is %.1f", n, limit)
	}
	queued, sum := 0, 0
	for range 300 { // each request is answered only after 500 ms
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
		t.Fatalf("%d requests queued, want some; %.1f in flight on average, want at most 1 more than twice the node's part %.1f",
			queued, mean, limit)
	}
}
