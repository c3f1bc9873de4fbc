package policy

import (
	"testing"
	"time"
)

func TestStaleEventsAreHarmless(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	id := r.request(0)
	r.endAttempt(id, OK, 10*ms)
	before := len(r.h.log)
	r.b.Outcome(r.now, Outcome{ID: id, Attempt: 0, Status: OK})
	r.b.Outcome(r.now, Outcome{ID: 999, Attempt: 3, Status: ErrorResponse})
	r.b.Outcome(r.now, Outcome{ID: id, Attempt: -1, Status: ErrorResponse})
	r.b.ClientDisconnected(r.now, id)
	r.b.StreamStarted(r.now, id, 0)
	r.b.Timer(r.now, 77)
	r.update(DeltaUpdate, Endpoint{ID: 55, State: Removed})
	if len(r.h.log) != before {
		t.Fatalf("stale events led to the actions %v, want none", r.h.log[before:])
	}
	r.b.Request(r.now, Request{ID: 1000, Class: 9, TimeRemaining: time.Second})
	if _, ok := r.h.rejected[1000]; !ok {
		t.Fatal("a request of an unknown class was not rejected")
	}
}

func TestStreamBelongsToTheClientOnceStarted(t *testing.T) {
	set := testSettings()
	set.Classes[0].Stream = true
	r := newRig(t, set, 4)
	id := r.request(0)
	r.b.StreamStarted(r.now, id, 0)
	r.advance(10 * time.Second) // long after the deadline
	if len(r.sendsOf(id)) != 1 || r.h.failed[id] || r.h.cancels > 0 {
		t.Fatalf("a running stream was cancelled, failed or sent again: %v", r.h.log)
	}
}
