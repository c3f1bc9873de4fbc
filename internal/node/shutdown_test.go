package node

import (
	"net/http"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// A node that shuts down serves as long as its clients send requests: for at least 500 ms, during which the platform still
// sends connections to it, and at most until 300 ms before the end of the shutdown.
func TestStopPlan(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	p := planShutdown(1000 * ms)
	for _, c := range []struct {
		now, lastRequest time.Duration
		accepts          bool
	}{
		{0, -time.Hour, true},
		{499 * ms, -time.Hour, true}, // arrivalPeriod counts from the shutdown's start if the last request came before
		{500 * ms, -time.Hour, false},
		{900 * ms, 401 * ms, true},
		{901 * ms, 401 * ms, false}, // no request arrived during arrivalPeriod
		{1199 * ms, 1199 * ms, true},
		{1200 * ms, 1199 * ms, false}, // start of closingPeriod
	} {
		if got := p.accepts(c.now, c.lastRequest); got != c.accepts {
			t.Errorf("at %v, last request at %v: got accepts %v, want the opposite", c.now, c.lastRequest, got)
		}
	}
	if p.total != 1500*ms || p.abortAt() != 1450*ms {
		t.Errorf("got total %v, abort at %v, want 1.5s, 1.45s", p.total, p.abortAt())
	}
}

// The platform kills the node 0.7 s after the longest deadline, and counts a deadline over 3 s as 3 s. A shutdown must have
// answered all requests by then, whatever the deadlines are.
func TestStopEndsBeforeTheKill(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{
		300 * time.Millisecond, 1900 * time.Millisecond, 3 * time.Second, 3100 * time.Millisecond,
		8 * time.Second, time.Minute,
	} {
		killed := min(deadline, 3*time.Second) + 700*time.Millisecond
		p := planShutdown(deadline)
		if margin := killed - p.total; margin < 200*time.Millisecond {
			t.Errorf("deadline %v: the shutdown takes %v, the node is killed after %v", deadline, p.total, killed)
		}
		if p.accepts(p.abortAt(), p.abortAt()) {
			t.Errorf("deadline %v: requests are accepted while those in flight are aborted", deadline)
		}
	}
}

// A request with a deadline over 3 s that is in flight at an endpoint that hangs is answered before the node is killed, not at
// its deadline, and the node has ended by then. The deadline here is 8 s, and without the cap of 3 s the response would come
// about 5 s after the kill.
func TestStopCutsLongDeadlines(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, neverRespond(make(chan struct{}, 1)))
	n, _ := startReady(t, b)
	answered := make(chan reply, 1)
	go func() { answered <- n.do(n.request("pay")) }()
	testutil.Wait(t, b.Requests, "the request")
	n.stop()
	late := time.After(6 * time.Second)
	select {
	case a := <-answered:
		if a.status != http.StatusBadGateway {
			t.Errorf("got status %d, want 502", a.status)
		}
	case <-late:
		t.Fatal("no response long after the time at which the platform kills the node")
	}
	if err := testutil.Wait(t, n.done, "the node to stop"); err != nil {
		t.Errorf("Run returned error %v, want none", err)
	}
}

// The listener is closed only after several consecutive checks without a stall of the process, since on a busy machine the
// kernel may have accepted connections that the process has not accepted yet.
func TestListenerHasItsTurnBeforeItCloses(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		// checks has, for each check, the time since the previous check and the time of the check. The time -1 stands
		// for a check at 520 ms after a request at 515 ms.
		checks [][2]time.Duration
		met    int // index of the check at which the listener may be closed; -1 if there is none
	}{
		"in time": {[][2]time.Duration{
			{10 * ms, 490 * ms}, {10 * ms, 500 * ms}, {10 * ms, 510 * ms}, {10 * ms, 520 * ms},
		}, 3},
		"suspended for a while": {[][2]time.Duration{
			{10 * ms, 350 * ms}, {180 * ms, 530 * ms}, {10 * ms, 540 * ms}, {10 * ms, 550 * ms}, {10 * ms, 560 * ms},
		}, 4},
		"late repeatedly": {[][2]time.Duration{
			{50 * ms, 500 * ms}, {10 * ms, 510 * ms}, {50 * ms, 560 * ms}, {10 * ms, 570 * ms},
		}, -1},
		"no time left": {[][2]time.Duration{{900 * ms, 1450 * ms}}, 0},
		"a request at last": {[][2]time.Duration{
			{10 * ms, 500 * ms}, {10 * ms, 510 * ms}, {10 * ms, -1}, {10 * ms, 530 * ms}, {10 * ms, 540 * ms},
		}, -1},
	} {
		condition, got := closeCondition{plan: planShutdown(1000 * ms)}, -1
		for i, l := range c.checks {
			lastRequest, now := -time.Hour, l[1]
			if now < 0 {
				now, lastRequest = 520*ms, 515*ms
			}
			if condition.met(l[0], now, lastRequest) {
				got = i
				break
			}
		}
		if got != c.met {
			t.Errorf("%s: got close at check %d, want %d (-1: none)", name, got, c.met)
		}
	}
}
