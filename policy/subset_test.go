package policy

import "testing"

// Guards against nodes that use all endpoints and so send each too few requests to judge it, and against a
// subset of only warming endpoints.
func TestSubsetGrowsWithTrafficAndSkipsOpenAndWarmingEndpoints(t *testing.T) {
	set := testSettings()
	set.NodeCount, set.NodeIndex = 100, 37
	r := newRig(t, set, 40)
	r.b.refresh(r.now)
	if n := len(r.b.subset.members); n != minSubsetSize {
		t.Fatalf("subset of a node without traffic has %d endpoints, want %d", n, minSubsetSize)
	}
	r.b.subset.members[0].breaker.state = breakerOpen
	r.b.subset.members[1].StartedAt = r.now // warming
	r.b.subset.stale = true
	r.now += ms
	r.b.refresh(r.now)
	if n := len(r.b.subset.members); n != minSubsetSize+2 {
		t.Fatalf("subset with one open breaker and one warming endpoint has %d endpoints, want %d", n, minSubsetSize+2)
	}
	r.b.subset.arrivals.add(r.now, 240)
	r.now += ms
	r.b.refresh(r.now)
	if n := len(r.b.subset.members); n < 25 {
		t.Fatalf("subset of a node with 120 requests per second has %d endpoints, want at least 25", n)
	}
}

// Guards against subsets that overlap at some endpoints and leave others idle.
func TestSubsetsCoverTheEndpointsEvenly(t *testing.T) {
	const nodes, endpoints = 90, 30
	subsets := map[EndpointID]int{}
	for node := range nodes {
		set := testSettings()
		set.NodeCount, set.NodeIndex = nodes, node
		r := newRig(t, set, endpoints)
		r.b.refresh(r.now)
		for _, e := range r.b.subset.members {
			subsets[e.ID]++
		}
	}
	for id := EndpointID(1); id <= endpoints; id++ {
		if n := subsets[id]; n < 11 || n > 13 {
			t.Errorf("endpoint %d is in %d subsets, want about 12", id, n)
		}
	}
}
