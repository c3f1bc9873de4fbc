package policy

import (
	"testing"
	"time"
)

// Guards against attempts after a notice, also by retries and queued requests.
func TestNothingIsSentToDrainingOrRemovedEndpoints(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 2)
	for i := range 20 { // more than there is capacity for: some are queued
		r.request(i % 3)
	}
	first := r.h.sends[0]
	r.endAttempt(first.id, ErrorResponse, ms) // waits for its backoff
	r.update(DeltaUpdate, Endpoint{ID: 1, State: Draining})
	r.update(DeltaUpdate, Endpoint{ID: 2, State: Removed})
	before := len(r.h.sends)
	r.advance(3 * time.Second)
	if len(r.h.sends) != before {
		t.Fatalf("sent %v after the notices", r.h.sends[before:])
	}
	r.update(FullUpdate, ready(2, 3)...)
	if id := r.request(0); len(r.sendsOf(id)) != 1 {
		t.Fatal("the full list's endpoints are not used")
	}
}

// Endpoints are replaced under ever new ids. One that drains and is then missing from a full update is
// forgotten like one that was ready.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for i := 5; i < 3000; i++ {
		entries := ready(i-3, i)
		entries[0].State = Draining
		r.update(FullUpdate, entries...)
		r.now += ms
	}
	if n := len(r.b.endpoints); n > 4 {
		t.Errorf("%d endpoints are remembered, want the 4 listed", n)
	}
}

// Guards against attempts to an endpoint's former process that use up the capacity of the new one though they
// are not answered.
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
		t.Fatalf("%d attempts use up the capacity of new processes", r.b.concurrency.inFlight)
	}
	r.endAttempt(first, Reset, ms)
	r.endAttempt(second, Timeout, time.Second)
	if r.b.concurrency.inFlight < 0 {
		t.Fatalf("%d attempts in flight", r.b.concurrency.inFlight)
	}
}

// Guards against counts that go wrong when an endpoint leaves the list and comes back while attempts are in
// flight there, and when events name what has ended.
func TestRelistedEndpointAndStaleEventsKeepCountsRight(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	first, second := r.request(0), r.request(2)
	r.update(FullUpdate, ready(2, 2)...)
	r.update(FullUpdate, ready(1, 2)...)
	if len(r.b.ready) != 2 {
		t.Fatalf("%d endpoints ready after one came back, want 2", len(r.b.ready))
	}
	r.endAttempt(first, OK, 20*ms)
	r.b.ClientDisconnected(r.now, first) // in the batch of its end
	r.b.ClientDisconnected(r.now, second)
	if r.h.cancels != 1 || len(r.h.rejected)+len(r.h.failed) != 0 {
		t.Fatalf("%d cancels, answers %v %v; want one cancel", r.h.cancels, r.h.rejected, r.h.failed)
	}
	r.endAttempt(second, Cancelled, 20*ms)
	r.b.Outcome(r.now, Outcome{ID: second, Status: OK}) // repeated
	r.b.Outcome(r.now, Outcome{ID: 999, Attempt: 3, Status: ErrorResponse})
	r.b.StreamStarted(r.now, 999, 0)
	if r.b.concurrency.inFlight != 0 || len(r.b.requests) != 0 || len(r.b.openRequests) != 0 {
		t.Fatalf("%d in flight, %d known, %d open at the end",
			r.b.concurrency.inFlight, len(r.b.requests), len(r.b.openRequests))
	}
}
