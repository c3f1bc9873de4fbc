package policy

import "testing"

// Guards against an unloaded latency that grows with the load. An attempt that is this node's only one at
// an endpoint may still share the endpoint with requests of other nodes.
func TestUnloadedLatenciesAreLearntOnlyWithoutLoad(t *testing.T) {
	set := testSettings()
	set.NodeCount = 7
	r := newRig(t, set, 7)
	r.b.concurrency.limit = 2 * r.b.subset.nodesPerEndpoint
	r.b.subset.arrivals.add(r.now, 100)
	unloaded, sends := 0, 0
	for range 7 {
		for _, a := range r.b.requests[r.request(0)].attempts {
			sends++
			if a.unloaded {
				unloaded++
			}
		}
	}
	if unloaded == 0 || sends < 5 || unloaded > 4 {
		t.Fatalf("%d of %d attempts count as unloaded, want 1 to 4 of at least 5", unloaded, sends)
	}
}

// Guards against a class's unloaded latency that rises because endpoints are warming; it would raise the
// work that is charged to their slow-start budgets. Latencies on warming endpoints must not change the
// estimate of a class that is known from warm endpoints.
func TestWarmingEndpointsAreNoMeasureOfAClass(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	c := &r.b.classes[0]
	recordSlowAnswers := func(e *endpoint) float64 {
		for range 50 {
			r.b.recordLatency(r.now, &attempt{endpoint: e, unloaded: true}, &request{class: c}, 3*c.unloadedLatency)
		}
		return c.unloadedLatency
	}
	for range 12 { // so that the class has samples from a warm endpoint
		r.b.recordLatency(r.now, &attempt{endpoint: r.b.ready[1], unloaded: true}, &request{class: c}, c.unloadedLatency)
	}
	before := c.unloadedLatency
	warming := r.b.ready[0]
	warming.StartedAt = r.now
	if r.b.capacityShare(warming, r.now) >= 1 {
		t.Fatal("the endpoint is not warming")
	}
	if got := recordSlowAnswers(warming); got != before {
		t.Fatalf("unloaded latency of the class is %v after answers of a warming endpoint, want %v", got, before)
	}
	if got := recordSlowAnswers(r.b.ready[1]); got <= before {
		t.Fatal("higher latencies on a warm endpoint did not raise the unloaded latency of the class")
	}
}
