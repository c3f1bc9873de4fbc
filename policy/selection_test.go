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
		t.Fatal("a ready endpoint must pass")
	}
	for _, state := range []EndpointState{Draining, Removed} {
		e.State = state
		if r.b.maySend(r.now, q, e) {
			t.Errorf("state %d passes the gate", state)
		}
	}
}

func TestEqualEndpointsGoByZone(t *testing.T) {
	near, far := &endpoint{sameZone: true}, &endpoint{}
	if better(far, near) != near || better(near, far) != near {
		t.Fatal("among equals the own zone must win")
	}
	near.inFlight = append(near.inFlight, &attempt{})
	if better(near, far) != far {
		t.Fatal("fewer in flight must win over the zone")
	}
}

// An endpoint that returns to service gets a request within 3 s among many nodes, whatever the seed. With
// sixteen endpoints and eight requests per second chance alone passes it over for longer.
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
			t.Fatalf("seed %d: first request %v after its return", seed, r.now-restartedAt)
		}
	}
}
