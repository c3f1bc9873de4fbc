package policy

import (
	"testing"
	"time"
)

// Guards against overloading a warming endpoint, by a burst right after its start or while most endpoints
// restart.
func TestSlowStartBudget(t *testing.T) {
	for _, tc := range []struct {
		name    string
		warming int // number of warming endpoints among ten
	}{{"one endpoint", 1}, {"most of the fleet", 8}, {"all of the fleet", 10}} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, testSettings(), 10)
			r.serve(200, 0, 10*ms)
			restarted := ready(1, tc.warming)
			for i := range restarted {
				restarted[i].StartedAt = r.now
			}
			r.update(DeltaUpdate, restarted...)
			e, c, rules := r.b.endpoints[1], &r.b.classes[0], r.b.settings.Rules
			r.b.refresh(r.now)
			rate := r.b.warmWorkRate // work per second that a warm endpoint gets
			var sends []time.Duration
			for start := r.now; r.now < start+rules.SlowStartWindow; r.now += ms { // uses only the budget, without requests
				if work := c.unloadedLatency + 0.001; r.b.slowStartAllows(e, r.now, work) {
					e.slowStart.RecordSent(work)
					sends = append(sends, r.now)
				}
				within := 0
				for _, at := range sends {
					if r.now-at < rules.OverloadDuration {
						within++
					}
				}
				most := rate * rules.OverloadDuration.Seconds() * rules.OverloadMultiple * r.b.capacityShare(e, r.now)
				if work := float64(within) * c.unloadedLatency; work > most+c.unloadedLatency {
					t.Fatalf("sent %.3f s of work within the overload duration, want at most one request more than %.3f s", work, most)
				}
			}
			if len(sends) == 0 {
				t.Error("a warming endpoint got no work, so it could never show that it is warm")
			}
			if q := r.b.requests[r.request(0)]; !r.b.maySend(r.now, q, e) {
				t.Error("the slow-start budget still limits a warm endpoint")
			}
		})
	}
}

// Guards against a burst of one request from each of many nodes as soon as the endpoint list announces a
// start.
func TestFirstRequestsToAWarmingEndpointAreSpread(t *testing.T) {
	const nodes = 40
	nodesByTenth := map[time.Duration]int{}
	for seed := range uint64(nodes) {
		b, err := New(testSettings(), seed, newFakeHost())
		if err != nil {
			t.Fatal(err)
		}
		entries := ready(1, 3)
		entries[0].StartedAt = time.Hour
		b.UpdateEndpoints(time.Hour, CachedUpdate, entries)
		b.refresh(time.Hour)
		b.warmWorkRate = b.classes[0].unloadedLatency // one request per second
		wait := time.Duration(0)
		for ; wait < 10*time.Second; wait += 10 * ms {
			if b.slowStartAllows(b.endpoints[1], time.Hour+wait, b.classes[0].unloadedLatency) {
				break
			}
		}
		nodesByTenth[wait/(100*ms)]++
	}
	for tenth, n := range nodesByTenth {
		if n > nodes/4 {
			t.Errorf("%d of %d nodes sent their first request in the same 100 ms (interval %d), want at most a quarter",
				n, nodes, tenth)
		}
	}
}

// Guards against a node that sends nothing because it started while most endpoints were warming and so has
// no known work rate of a warm endpoint. Also guards against sending a warming endpoint requests that it
// would answer too late while other endpoints are fast enough.
func TestNodeStartsAmongWarmingEndpoints(t *testing.T) {
	for _, warm := range []int{0, 2} {
		r := newRig(t, testSettings(), 10)
		warming := ready(warm+1, 10)
		for i := range warming {
			warming[i].StartedAt = r.now
		}
		r.update(DeltaUpdate, warming...)
		toWarming, rules := map[EndpointID]float64{}, r.b.settings.Rules
		for range 50 { // in 500 ms; the latency objective is 800 ms, the initial unloaded latency 200 ms
			id := r.request(0)
			r.advance(10 * ms)
			for _, s := range r.sendsOf(id) {
				if int(s) > warm {
					toWarming[s] += r.b.classes[0].unloadedLatency
				}
			}
		}
		if warm > 0 && len(toWarming) > 0 {
			t.Errorf("%d warming endpoints got requests that they answer too late, though warm ones are in use", len(toWarming))
		} else if warm == 0 && len(toWarming) == 0 {
			t.Error("nothing was sent though all endpoints are warming")
		}
		capacity := minWarmWorkRate * rules.OverloadMultiple * (rules.SlowStartMinCapacity + 0.1) *
			rules.OverloadDuration.Seconds()
		for id, work := range toWarming {
			if work > capacity+r.b.classes[0].unloadedLatency {
				t.Errorf("endpoint %d got %.2f s of work while warming, want at most one request more than %.2f s", id, work, capacity)
			}
		}
	}
}

// Checks that each of two Balancers of the same node uses at most its share of a warming endpoint's budget.
func TestSlowStartShare(t *testing.T) {
	sent := func(share float64) (work float64) {
		r := newRig(t, testSettings(), 1)
		r.b.SetSlowStartShare(share)
		r.update(FullUpdate, Endpoint{ID: 1, State: Ready, Weight: 1, StartedAt: r.now})
		e := r.b.endpoints[1]
		for range 200 {
			r.advance(10 * ms)
			if r.b.slowStartAllows(e, r.now, 0.02) {
				e.slowStart.RecordSent(0.02)
				work += 0.02
			}
		}
		return work
	}
	if half, full := sent(0.5), sent(1); full == 0 || half > 0.5*full+0.04 {
		t.Fatalf("with a share of 0.5 %v s of work were sent, with a share of 1 %v s; want at most half and above 0", half, full)
	}
}
