package engine

import (
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// A retry that was decided within the deduplication window, and whose connection is established after it, is not sent:
// the endpoints would run the request a second time. After attempts that surely have not run there is no window.
func TestNoRetryConnectedAfterDedupWindow(t *testing.T) {
	for name, first := range map[string]struct {
		status policy.Status
		sent   bool
	}{
		"the first may have run": {policy.Reset, false},
		"the first never ran":    {policy.Rejected, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var number atomic.Int32
			attempts := make(chan bool, 4)
			c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
				if number.Add(1) == 1 {
					attempts <- call.BeginSend()
					return Result{Status: first.status}
				}
				window := settings().Classes[idempotentByKey].DedupWindow
				call.clock.zero = call.clock.zero.Add(-window) // as if connecting took that long
				attempts <- call.BeginSend()
				return Result{Status: policy.ErrorResponse}
			}), 1, 2)
			go c.Do(t.Context(), c.request(idempotentByKey, testutil.WaitTimeout))
			if !testutil.Wait(t, attempts, "the first attempt") {
				t.Fatal("the first attempt was not sent")
			}
			if sent := testutil.Wait(t, attempts, "the second attempt"); sent != first.sent {
				t.Errorf("the second attempt was sent: %v, want %v", sent, first.sent)
			}
		})
	}
}

// A retry that another party sends, at some time before the request's deadline, is not sent where the window may end
// before that time.
func TestRetrySentByAnotherParty(t *testing.T) {
	window := settings().Classes[idempotentByKey].DedupWindow
	for delay, sent := range map[time.Duration]bool{window / 2: true, 2 * window: false} {
		var number atomic.Int32
		attempts := make(chan bool, 4)
		c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
			attempts <- call.BeginSendUnlessDraining(call.clock.Now() + delay)
			if number.Add(1) == 1 {
				return Result{Status: policy.Reset}
			}
			return Result{Status: policy.ErrorResponse}
		}), 1, 2)
		go c.Do(t.Context(), c.request(idempotentByKey, testutil.WaitTimeout))
		if !testutil.Wait(t, attempts, "the first attempt") {
			t.Fatal("the first attempt was not sent")
		}
		if got := testutil.Wait(t, attempts, "the second attempt"); got != sent {
			t.Errorf("sent by %v from now: the second attempt was sent: %v", delay, got)
		}
	}
}

// Of two attempts, the one that was decided first may be the last whose connection is established.
func TestDedupWindowStartsAtFirstSend(t *testing.T) {
	w := &dedupWindow{length: time.Second}
	first, hedged, third := &Call{}, &Call{}, &Call{}
	if !w.begin(hedged, time.Minute, time.Minute) {
		t.Error("the hedged request was not sent")
	}
	if w.begin(first, time.Minute+w.length, time.Minute+w.length) {
		t.Error("sent when the window of the hedged request was over")
	}
	if first.gate.state.Load() != gateClosed {
		t.Error("the gate of an attempt that may not be sent is not closed")
	}
	w.neverRan(hedged)
	if !w.begin(third, time.Minute+w.length, time.Minute+w.length) {
		t.Error("not sent because of an attempt that never ran")
	}
	if w.begin(third, time.Minute+w.length, time.Minute+w.length) {
		t.Error("sent twice")
	}
}
