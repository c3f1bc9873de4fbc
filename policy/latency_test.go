package policy

import "testing"

// Guards against an unloaded latency that grows with the load: no other request of this node is not no other
// request.
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
		t.Fatalf("%d of %d requests count as unloaded, want the first few", unloaded, sends)
	}
}

// Guards against a fleet in slow start being charged for its own slowness: what unloaded requests take on
// warming endpoints is no measure of their class.
func TestWarmingEndpointsAreNoMeasureOfAClass(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	c := &r.b.classes[0]
	recordSlowAnswers := func(e *endpoint) float64 {
		for range 50 {
			r.b.recordLatency(r.now, &attempt{endpoint: e, unloaded: true}, &request{class: c}, 3*c.unloadedLatency)
		}
		return c.unloadedLatency
	}
	for range 12 { // known from warm ones
		r.b.recordLatency(r.now, &attempt{endpoint: r.b.ready[1], unloaded: true}, &request{class: c}, c.unloadedLatency)
	}
	before := c.unloadedLatency
	warming := r.b.ready[0]
	warming.StartedAt = r.now
	if r.b.capacityShare(warming, r.now) >= 1 {
		t.Fatal("the endpoint is not warming")
	}
	if got := recordSlowAnswers(warming); got != before {
		t.Fatalf("a class is taken to need %v instead of %v", got, before)
	}
	if got := recordSlowAnswers(r.b.ready[1]); got <= before {
		t.Fatal("what a warm endpoint takes is not learnt")
	}
}
