package engine

import (
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// A repeat that was decided within its window, and whose connection comes up behind it, is not sent:
// the servers have forgotten the first one, and would run it again. One behind attempts that never ran
// is no repeat.
func TestRepeatWhoseConnectionComesUpBehindTheWindow(t *testing.T) {
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
				call.clock.zero = call.clock.zero.Add(-settings().Classes[1].DedupWindow) // this one's connection took that long
				attempts <- call.BeginSend()
				return Result{Status: policy.ErrorResponse}
			}), 1, 2)
			go c.Do(t.Context(), c.request(1, testutil.Patience))
			if !testutil.Wait(t, attempts, "the first attempt") {
				t.Fatal("the first attempt was not sent")
			}
			if sent := testutil.Wait(t, attempts, "the second attempt"); sent != first.sent {
				t.Errorf("the second attempt was sent: %v, want %v", sent, first.sent)
			}
		})
	}
}

// One that somebody else is to send, some time until its request's end, is no repeat within the window where
// that ends sooner.
func TestRepeatThatIsSentByOthers(t *testing.T) {
	window := settings().Classes[1].DedupWindow
	for left, sent := range map[time.Duration]bool{window / 2: true, 2 * window: false} {
		var number atomic.Int32
		attempts := make(chan bool, 4)
		c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
			attempts <- call.BeginSendUnlessDraining(call.clock.Now() + left)
			if number.Add(1) == 1 {
				return Result{Status: policy.Reset}
			}
			return Result{Status: policy.ErrorResponse}
		}), 1, 2)
		go c.Do(t.Context(), c.request(1, testutil.Patience))
		if !testutil.Wait(t, attempts, "the first attempt") {
			t.Fatal("the first attempt was not sent")
		}
		if got := testutil.Wait(t, attempts, "the second attempt"); got != sent {
			t.Errorf("with %v for it the second attempt was sent: %v", left, got)
		}
	}
}

// Of two copies that are out, the one that was decided first may be the last to get its connection.
func TestWindowBeginsWithWhatIsSentFirst(t *testing.T) {
	w := &dedupWindow{length: time.Second}
	first, copied, third := &Call{}, &Call{}, &Call{}
	if !w.begin(copied, time.Minute, time.Minute) {
		t.Error("the copy was not sent")
	}
	if w.begin(first, time.Minute+w.length, time.Minute+w.length) {
		t.Error("sent when the copy's window was over")
	}
	if first.gate.state.Load() != gateClosed {
		t.Error("what is barred counts as one that may run")
	}
	w.neverRan(copied)
	if !w.begin(third, time.Minute+w.length, time.Minute+w.length) {
		t.Error("barred by one that never ran")
	}
	if w.begin(third, time.Minute+w.length, time.Minute+w.length) {
		t.Error("sent twice")
	}
}
