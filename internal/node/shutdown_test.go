package node

import (
	"net/http"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// A node that shuts down serves while its clients send requests, for 500 ms at least (connections are sent to
// it for so long) and until 300 ms before its end at most.
func TestStopPlan(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	p := planShutdown(1000 * ms)
	for _, c := range []struct {
		now, lastRequest time.Duration
		accepts          bool
	}{
		{0, -time.Hour, true},
		{499 * ms, -time.Hour, true}, // the last request came long before, but the period counts from the start
		{500 * ms, -time.Hour, false},
		{900 * ms, 401 * ms, true},
		{901 * ms, 401 * ms, false}, // no more requests
		{1199 * ms, 1199 * ms, true},
		{1200 * ms, 1199 * ms, false}, // the closing period
	} {
		if got := p.accepts(c.now, c.lastRequest); got != c.accepts {
			t.Errorf("at %v, last request at %v: accepts %v", c.now, c.lastRequest, got)
		}
	}
	if p.total != 1500*ms || p.abortAt() != 1450*ms {
		t.Errorf("total %v, abort at %v", p.total, p.abortAt())
	}
}

// The platform counts a deadline over 3 s as 3 s and kills the node 0.7 s after it: a shutdown has answered
// everything by then, whatever the deadlines are.
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
			t.Errorf("deadline %v: requests are accepted while open ones are aborted", deadline)
		}
	}
}

// A request with a deadline over 3 s, in flight at an endpoint that hangs, is answered before the node is
// killed, not at its deadline, and the node has ended by then. The deadline here is 8 s: 5 s lie between the
// kill and where the answer came without the cap.
func TestStopCutsLongDeadlines(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, silent(make(chan struct{}, 1)))
	n, _ := startReady(t, b)
	answered := make(chan reply, 1)
	go func() { answered <- n.do(n.request("pay")) }()
	testutil.Wait(t, b.Requests, "the request")
	n.stop()
	late := time.After(6 * time.Second)
	select {
	case a := <-answered:
		if a.status != http.StatusBadGateway {
			t.Errorf("status %d", a.status)
		}
	case <-late:
		t.Fatal("no answer long after the node would have been killed")
	}
	if err := testutil.Wait(t, n.done, "the end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// The listener is closed only once the process was scheduled in time for a while: on a busy machine, the
// kernel may have accepted connections that the process has not seen yet.
func TestListenerHasItsTurnBeforeItCloses(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		checks [][2]time.Duration // how long since the one before, when
		met    int                // the check with which the listener may be closed; -1: with none of them
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
			t.Errorf("%s: closed at check %d, want %d", name, got, c.met)
		}
	}
}
