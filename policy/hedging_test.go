package policy

import "testing"

// Guards against counting on an endpoint that answers nothing until its timeout.
func TestUnresponsiveEndpointIsAvoidedBeforeAnyTimeout(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	r.serve(100, 0, 20*ms)
	hanging := r.b.ready[2]
	for range 60 {
		id := r.request(0)
		r.advance(20 * ms)
		for _, endpointID := range r.sendsOf(id)[r.delivered[id]:] {
			if endpointID != hanging.ID {
				r.delivered[id] = len(r.sendsOf(id)) - 1
				r.endAttempt(id, OK, 20*ms)
				break
			}
		}
	}
	if n := len(hanging.inFlight); n > 3 {
		t.Fatalf("%d requests wait at an endpoint that answers nothing", n)
	}
	for _, a := range hanging.inFlight {
		if len(a.request.attempts) != 2 {
			t.Fatal("no hedged request was sent for a request that got no answer")
		}
	}
}

// Guards against a stop of all sends when endpoints with attempts in flight vanish.
func TestAttemptsAtEjectedEndpointsDoNotCountInTheLimit(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 4 {
		r.request(0)
	}
	for _, e := range r.b.ready[:2] {
		for range failuresToOpen {
			r.b.recordFailure(r.now, &attempt{endpoint: e}, failureReported)
		}
	}
	for _, e := range r.b.ready[2:] {
		for _, a := range append([]*attempt(nil), e.inFlight...) {
			r.endAttempt(a.request.ID, OK, 10*ms)
		}
	}
	if id := r.request(0); len(r.sendsOf(id)) != 1 {
		t.Fatal("an endpoint is left idle because ejected ones have attempts in flight")
	}
}
