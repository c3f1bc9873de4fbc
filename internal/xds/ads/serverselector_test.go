package ads

import (
	"testing"
	"time"
)

// TestServerSelector checks that servers are called in order of preference, with a backoff that grows while none
// responds or streams break at once, and that the preferred one is probed.
func TestServerSelector(t *testing.T) {
	const ms = time.Millisecond
	p := NewServerSelector(3, FailoverOptions{
		InitialBackoff: 100 * ms, MaxBackoff: time.Second, PreferredProbeInterval: time.Minute,
	})
	now := time.Duration(0)
	fail := func(at int, least, most time.Duration) {
		t.Helper()
		if p.Current() != at {
			t.Errorf("calls server %d, want %d", p.Current(), at)
		}
		if wait := p.StreamFailed(now, 0.5); wait < least || wait > most {
			t.Errorf("waits %v, want %v to %v", wait, least, most)
		}
	}
	fail(0, 0, 0)
	fail(1, 0, 0)
	fail(2, 100*ms, 100*ms) // all were tried
	fail(0, 0, 0)
	p.StreamOpened(now)
	p.ResponseReceived()
	now += 30 * time.Second
	if p.ReturnToPreferred(now) {
		t.Error("left before its time")
	}
	if now += 31 * time.Second; !p.ReturnToPreferred(now) || p.Current() != 0 {
		t.Error("the preferred one is not probed")
	}
	for range 30 { // the stream opens, is answered, and breaks after 100 ms
		p.StreamOpened(now)
		p.ResponseReceived()
		now += 100 * ms
		wait := p.StreamFailed(now, 1)
		if now += wait; wait > 1200*ms {
			t.Fatalf("waits %v", wait)
		}
	}
	if p.Current() != 0 || p.StreamFailed(now, 0.5) != 0 {
		t.Error("a server whose streams break is not left while it responds")
	}
}
