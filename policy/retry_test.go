package policy

import (
	"testing"
	"time"
)

func TestBackoffGrowsAndFitsTheTimeRemaining(t *testing.T) {
	set := testSettings()
	set.Limits.AllowHedging = false
	r := newRig(t, set, 9)
	id := r.request(0)
	var waits []time.Duration
	for i := range 3 {
		from := r.now
		r.endAttempt(id, ErrorResponse, ms)
		for len(r.sendsOf(id)) == i+1 && r.now < from+time.Second {
			r.advance(ms)
		}
		waits = append(waits, r.now-from)
	}
	if !(waits[0] < waits[1] && waits[1] < waits[2]) || waits[0] < 20*ms {
		t.Fatalf("backoffs %v, want growing ones of at least 20ms", waits)
	}
	late := r.request(0)
	r.advance(790 * ms)
	r.endAttempt(late, ErrorResponse, 790*ms)
	if _, ok := r.h.rejected[late]; !ok {
		t.Fatal("a request whose retry cannot be answered in time was not rejected at once")
	}
}

// Guards against queueing a request until its deadline after every listed endpoint was tried. Also guards
// against giving up a request that never reached an endpoint, since the endpoint list may be about to
// change.
func TestGivesUpWhenEveryEndpointWasTried(t *testing.T) {
	for status, wantGivenUp := range map[Status]bool{ErrorResponse: true, Reset: true, ConnectFailed: false, NeverSent: false} {
		r := newRig(t, testSettings(), 2)
		r.serve(30, 0, 20*ms)
		id, start := r.request(0), r.now
		for range 2 {
			r.endAttempt(id, status, 20*ms)
			r.advance(300 * ms)
			if len(r.sendsOf(id)) == r.delivered[id] {
				break
			}
		}
		if _, rejected := r.h.rejected[id]; rejected != wantGivenUp || r.now-start > 800*ms {
			t.Errorf("status %v at every endpoint: given up %v, %v after the start; want %v, at most 800ms",
				status, rejected, r.now-start, wantGivenUp)
		}
	}
}

// Checks the retry budget: while no endpoint can be reached, only one in sixteen retries is made, and once
// a retry succeeds all retries are made again.
func TestHopelessAttemptsStop(t *testing.T) {
	r := newRig(t, testSettings(), 40)
	record := func(n int, status Status) {
		for range n {
			r.b.recordRetryOutcome(Outcome{Attempt: 1, Status: status})
		}
	}
	allowed := func() (n int) {
		for range 1600 {
			if r.b.retryBudgetAllows() {
				n++
			}
		}
		return n
	}
	record(8, ConnectFailed)
	if n := allowed(); n != 1600 {
		t.Errorf("%d of 1600 retries allowed after 8 failures, want all", n)
	}
	record(24, ConnectFailed)
	if n := allowed(); n < 50 || n > 150 {
		t.Errorf("%d of 1600 retries allowed after 32 failures, want 50 to 150", n)
	}
	record(10, Cancelled) // has no influence
	record(1, OK)
	if n := allowed(); n != 1600 {
		t.Errorf("%d of 1600 retries allowed after a success, want all", n)
	}
}

// Checks that a request gets its final answer as soon as its last allowed attempt has failed, and not before.
func TestNoAttemptIsLeft(t *testing.T) {
	set := testSettings()
	set.Limits.MaxAttempts = 2 // before a third attempt the backoff would leave too little time
	r := newRig(t, set, 10)
	r.serve(50, 0, 10*ms)
	id := r.request(0)
	for n := 1; n <= r.b.settings.Limits.MaxAttempts; n++ {
		if len(r.sendsOf(id)) != n || len(r.h.rejected) > 0 {
			t.Fatalf("%d sends, rejected %v; want %d sends and no rejection", len(r.sendsOf(id)), r.h.rejected, n)
		}
		r.endAttempt(id, ErrorResponse, ms)
		for i := 0; i < 200 && n < r.b.settings.Limits.MaxAttempts && len(r.sendsOf(id)) == n; i++ {
			r.advance(5 * ms)
		}
	}
	if _, rejected := r.h.rejected[id]; !rejected {
		t.Error("the request was not rejected though no attempt is left")
	}
}
