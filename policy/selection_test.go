package policy

import (
	"testing"
	"time"
)

// Guards against attempts at an endpoint that is not ready.
func TestMaySendRequiresAReadyEndpoint(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	q := r.b.newRequest(Request{ID: 9, TimeRemaining: time.Second}, &r.b.classes[0])
	q.deadline = r.now + time.Second
	e := r.b.ready[0]
	if !r.b.maySend(r.now, q, e) {
		t.Fatal("maySend refused a ready endpoint")
	}
	for _, state := range []EndpointState{Draining, Removed} {
		e.State = state
		if r.b.maySend(r.now, q, e) {
			t.Errorf("maySend allowed an endpoint in state %d, want only ready endpoints", state)
		}
	}
}

func TestEqualEndpointsGoByZone(t *testing.T) {
	near, far := &endpoint{sameZone: true}, &endpoint{}
	if better(far, near) != near || better(near, far) != near {
		t.Fatal("better did not return the endpoint in the node's zone among equal endpoints")
	}
	near.inFlight = append(near.inFlight, &attempt{})
	if better(near, far) != far {
		t.Fatal("better preferred the zone to fewer requests in flight")
	}
}

// Guards against a restarted endpoint that gets no request for a long time, since random selection alone
// may miss it. With 16 endpoints and 8 requests per second, it must get one within 3 s for every seed.
func TestBackOnThinTraffic(t *testing.T) {
	for seed := range uint64(200) {
		r := newRig(t, testSettings(), 16)
		var err error
		if r.b, err = New(testSettings(), seed, r.h); err != nil {
			t.Fatal(err)
		}
		r.update(FullUpdate, ready(1, 16)...)
		request := func() {
			r.advance(75 * ms)
			r.serve(1, 0, 50*ms)
		}
		for range 200 {
			request()
		}
		e := r.b.endpoints[4].Endpoint
		e.StartedAt = r.now
		r.update(DeltaUpdate, e)
		restartedAt, before := r.now, len(r.h.sends)
		for !r.b.endpoints[4].sentSinceStart && r.now-restartedAt < 10*time.Second {
			request()
		}
		if r.now-restartedAt > 3*time.Second || len(r.h.sends) == before {
			t.Fatalf("seed %d: no request within %v after the restart, want one within 3s", seed, r.now-restartedAt)
		}
	}
}
