package ads

import (
	"testing"
	"time"
)

// TestServerSelector checks that servers are tried in order of preference, that the backoff grows while no server
// responds or streams break soon, and that the preferred server is probed.
func TestServerSelector(t *testing.T) {
	const ms = time.Millisecond
	selector := NewServerSelector(3, FailoverOptions{
		InitialBackoff: 100 * ms, MaxBackoff: time.Second, PreferredProbeInterval: time.Minute,
	})
	now := time.Duration(0)
	failStream := func(at int, least, most time.Duration) {
		t.Helper()
		if selector.Current() != at {
			t.Errorf("got server %d, want %d", selector.Current(), at)
		}
		if wait := selector.StreamFailed(now, 0.5); wait < least || wait > most {
			t.Errorf("got wait %v, want %v to %v", wait, least, most)
		}
	}
	failStream(0, 0, 0)
	failStream(1, 0, 0)
	failStream(2, 100*ms, 100*ms) // all servers were tried without a response
	failStream(0, 0, 0)
	selector.StreamOpened(now)
	selector.ResponseReceived()
	now += 30 * time.Second
	if selector.ReturnToPreferred(now) {
		t.Error("a server in use was left before PreferredProbeInterval had passed")
	}
	if now += 31 * time.Second; !selector.ReturnToPreferred(now) || selector.Current() != 0 {
		t.Error("the preferred server was not probed after PreferredProbeInterval")
	}
	for range 30 { // the stream opens, receives a response, and breaks after 100 ms
		selector.StreamOpened(now)
		selector.ResponseReceived()
		now += 100 * ms
		wait := selector.StreamFailed(now, 1)
		if now += wait; wait > 1200*ms {
			t.Fatalf("got wait %v, want at most 1.2s", wait)
		}
	}
	if selector.Current() != 0 || selector.StreamFailed(now, 0.5) != 0 {
		t.Error("a server that responded before its streams broke was left, or was not left once it did not respond")
	}
}
