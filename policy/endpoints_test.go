package policy

import (
	"testing"
	"time"
)

// Guards against attempts, including retries and queued requests, to an endpoint that was announced as
// draining or removed.
func TestNothingIsSentToDrainingOrRemovedEndpoints(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 2)
	for i := range 20 { // more requests than there is capacity for, so that some are queued
		r.request(i % 3)
	}
	first := r.h.sends[0]
	r.endAttempt(first.id, ErrorResponse, ms) // the request is in backoff
	r.update(DeltaUpdate, Endpoint{ID: 1, State: Draining})
	r.update(DeltaUpdate, Endpoint{ID: 2, State: Removed})
	before := len(r.h.sends)
	r.advance(3 * time.Second)
	if len(r.h.sends) != before {
		t.Fatalf("sent %v after the endpoints were announced as draining or removed, want nothing", r.h.sends[before:])
	}
	r.update(FullUpdate, ready(2, 3)...)
	if id := r.request(0); len(r.sendsOf(id)) != 1 {
		t.Fatal("a request was not sent to the endpoints of the full update")
	}
}

// Guards against a memory leak when endpoints are continually replaced under new ids. An endpoint that is
// draining and then missing from a full update must be removed, as a ready one is.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for i := 5; i < 3000; i++ {
		entries := ready(i-3, i)
		entries[0].State = Draining
		r.update(FullUpdate, entries...)
		r.now += ms
	}
	if n := len(r.b.endpoints); n > 4 {
		t.Errorf("%d endpoints are stored, want at most the 4 listed", n)
	}
}

// Guards against attempts to an endpoint's former process that keep occupying capacity after a restart
// although they will not be answered.
func TestRestartFreesTheCapacityOfTheFormerProcess(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	first, second := r.request(0), r.request(0)
	if r.b.concurrency.inFlight != 2 {
		t.Fatalf("%d attempts in flight, want 2", r.b.concurrency.inFlight)
	}
	restarted := ready(1, 2)
	for i := range restarted {
		restarted[i].StartedAt = r.now
	}
	r.now += ms
	r.update(DeltaUpdate, restarted...)
	if r.b.concurrency.inFlight != 0 || len(r.b.endpoints[1].inFlight)+len(r.b.endpoints[2].inFlight) != 0 {
		t.Fatalf("%d attempts to former processes count against the concurrency limit, or some against an endpoint; want 0",
			r.b.concurrency.inFlight)
	}
	r.endAttempt(first, Reset, ms)
	r.endAttempt(second, Timeout, time.Second)
	if r.b.concurrency.inFlight < 0 {
		t.Fatalf("%d attempts in flight, want at least 0", r.b.concurrency.inFlight)
	}
}

// Guards against wrong counts when an endpoint leaves the list and returns while attempts are in flight
// there, and when events refer to requests or attempts that have ended.
func TestRelistedEndpointAndStaleEventsKeepCountsRight(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	first, second := r.request(0), r.request(2)
	r.update(FullUpdate, ready(2, 2)...)
	r.update(FullUpdate, ready(1, 2)...)
	if len(r.b.ready) != 2 {
		t.Fatalf("%d endpoints ready after one returned to the list, want 2", len(r.b.ready))
	}
	r.endAttempt(first, OK, 20*ms)
	r.b.ClientDisconnected(r.now, first) // in the same batch as the answer
	r.b.ClientDisconnected(r.now, second)
	if r.h.cancels != 1 || len(r.h.rejected)+len(r.h.failed) != 0 {
		t.Fatalf("%d cancels, rejected %v, failed %v; want one cancel and no final answer", r.h.cancels, r.h.rejected, r.h.failed)
	}
	r.endAttempt(second, Cancelled, 20*ms)
	r.b.Outcome(r.now, Outcome{ID: second, Status: OK}) // repeated
	r.b.Outcome(r.now, Outcome{ID: 999, Attempt: 3, Status: ErrorResponse})
	r.b.StreamStarted(r.now, 999, 0)
	if r.b.concurrency.inFlight != 0 || len(r.b.requests) != 0 || len(r.b.openRequests) != 0 {
		t.Fatalf("at the end %d attempts are in flight, %d requests stored, %d requests open; want 0 of each",
			r.b.concurrency.inFlight, len(r.b.requests), len(r.b.openRequests))
	}
}
