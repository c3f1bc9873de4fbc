package engine

import (
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// A retry that was decided within the deduplication window is not sent if its connection is established after the window:
// the endpoints would run the request a second time. An attempt that has certainly not run starts no window.
func TestNoRetryConnectedAfterDedupWindow(t *testing.T) {
	for name, first := range map[string]struct {
		status policy.Status // of the first attempt
		sent   bool          // whether the second attempt is sent
	}{
		"the first may have run": {policy.Reset, false},
		"the first never ran":    {policy.Rejected, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var number atomic.Int32
			attempts := make(chan bool, 4)
			c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
				if number.Add(1) == 1 {
					attempts <- call.BeginSend()
					return Result{Status: first.status}
				}
				window := settings().Classes[idempotentByKey].DedupWindow
				call.clock.zero = call.clock.zero.Add(-window) // as if connecting took the length of the window
				attempts <- call.BeginSend()
				return Result{Status: policy.ErrorResponse}
			}), 1, 2)
			go c.Do(t.Context(), c.request(idempotentByKey, testutil.WaitTimeout))
			if !testutil.Wait(t, attempts, "the first attempt") {
				t.Fatal("the first attempt was not sent")
			}
			if sent := testutil.Wait(t, attempts, "the second attempt"); sent != first.sent {
				t.Errorf("second attempt sent: got %v, want %v", sent, first.sent)
			}
		})
	}
}

// A retry whose request another process sends later is not allowed if the deduplication window ends before the latest time
// of that send.
func TestRetrySentByAnotherParty(t *testing.T) {
	window := settings().Classes[idempotentByKey].DedupWindow
	for delay, sent := range map[time.Duration]bool{window / 2: true, 2 * window: false} {
		var number atomic.Int32
		attempts := make(chan bool, 4)
		c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
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
			t.Errorf("retry sent at most %v from now: BeginSendUnlessDraining returned %v, want the opposite", delay, got)
		}
	}
}

// The deduplication window starts with the attempt that is sent first, which may be one that was decided later: a hedged
// request's connection may be established before that of the first attempt.
func TestDedupWindowStartsAtFirstSend(t *testing.T) {
	w := &dedupWindow{length: time.Second}
	first, hedged, third := &Call{}, &Call{}, &Call{}
	if !w.begin(hedged, time.Minute, time.Minute) {
		t.Error("begin of the hedged request returned false, want true")
	}
	if w.begin(first, time.Minute+w.length, time.Minute+w.length) {
		t.Error("begin returned true after the window of the hedged request had ended, want false")
	}
	if first.gate.state.Load() != gateClosed {
		t.Error("the gate of an attempt that may not be sent is not closed")
	}
	w.remove(hedged)
	if !w.begin(third, time.Minute+w.length, time.Minute+w.length) {
		t.Error("begin returned false because of an attempt that has not run, want true")
	}
	if w.begin(third, time.Minute+w.length, time.Minute+w.length) {
		t.Error("a second begin of the same call returned true, want false")
	}
}
