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
		t.Fatalf("waits %v do not grow", waits)
	}
	late := r.request(0)
	r.advance(790 * ms)
	r.endAttempt(late, ErrorResponse, 790*ms)
	if _, ok := r.h.rejected[late]; !ok {
		t.Fatal("a retry that cannot be in time must be rejected at once")
	}
}

// Guards against queueing a request until its deadline when every listed endpoint was tried; and against
// giving up one that never reached an endpoint, since the list may be about to change.
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
			t.Errorf("status %v everywhere: given up %v, %v after its start", status, rejected, r.now-start)
		}
	}
}

// Where nothing can be reached, retries stop except for one in sixteen; as soon as some succeed, all are made
// again.
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
		t.Errorf("%d of 1600 after a few failures", n)
	}
	record(24, ConnectFailed)
	if n := allowed(); n < 50 || n > 150 {
		t.Errorf("%d of 1600 while none succeeds", n)
	}
	record(10, Cancelled) // says nothing
	record(1, OK)
	if n := allowed(); n != 1600 {
		t.Errorf("%d of 1600 after a success", n)
	}
}

// A request that has had all its attempts is answered at once; one that may have more is not.
func TestNoAttemptIsLeft(t *testing.T) {
	set := testSettings()
	set.Limits.MaxAttempts = 2 // by a third the backoff leaves no time anyway
	r := newRig(t, set, 10)
	r.serve(50, 0, 10*ms)
	id := r.request(0)
	for n := 1; n <= r.b.settings.Limits.MaxAttempts; n++ {
		if len(r.sendsOf(id)) != n || len(r.h.rejected) > 0 {
			t.Fatalf("%d sends, rejected %v, when %d were due", len(r.sendsOf(id)), r.h.rejected, n)
		}
		r.endAttempt(id, ErrorResponse, ms)
		for i := 0; i < 200 && n < r.b.settings.Limits.MaxAttempts && len(r.sendsOf(id)) == n; i++ {
			r.advance(5 * ms)
		}
	}
	if _, rejected := r.h.rejected[id]; !rejected {
		t.Error("it is not answered, though no attempt is left")
	}
}
