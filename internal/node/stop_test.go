package node

import (
	"net/http"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// A node that stops serves on while its clients ask, for 500 ms at least (connections
// are dealt to it so long) and until 300 ms before its end at most.
func TestStopPlan(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	p := planStop(1000 * ms)
	for _, c := range []struct {
		now, asked time.Duration
		serves     bool
	}{
		{0, -time.Hour, true},
		{499 * ms, -time.Hour, true}, // asked long before, but the notice counts from the begin
		{500 * ms, -time.Hour, false},
		{900 * ms, 401 * ms, true},
		{901 * ms, 401 * ms, false}, // nobody asks any more
		{1199 * ms, 1199 * ms, true},
		{1200 * ms, 1199 * ms, false}, // the last part
	} {
		if got := p.serves(c.now, c.asked); got != c.serves {
			t.Errorf("at %v, last asked at %v: serves %v", c.now, c.asked, got)
		}
	}
	if p.whole != 1500*ms || p.abandons() != 1450*ms {
		t.Errorf("%v, answers at %v", p.whole, p.abandons())
	}
}

// The platform counts a deadline over 3 s as 3 s and kills the node 0.7 s behind it: a stop
// has answered everything by then, whatever the deadlines are.
func TestStopEndsBeforeTheKill(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{300 * time.Millisecond, 1900 * time.Millisecond, 3 * time.Second, 3100 * time.Millisecond, 8 * time.Second, time.Minute} {
		killed := min(deadline, 3*time.Second) + 700*time.Millisecond
		p := planStop(deadline)
		if margin := killed - p.whole; margin < 200*time.Millisecond {
			t.Errorf("deadline %v: the stop takes %v, the node is killed after %v", deadline, p.whole, killed)
		}
		if p.serves(p.abandons(), p.abandons()) {
			t.Errorf("deadline %v: requests are still taken as what is open gets its last answer", deadline)
		}
	}
}

// A request with a deadline over 3 s that is out at a server which hangs gets its answer
// before the node is killed, not at its own time, and the node has ended by then. The
// deadline here is 8 s: 5 s lie between the kill and where the answer came without the cap.
func TestStopCutsLongDeadlines(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, silent(make(chan struct{}, 1)))
	n, _ := startReady(t, b)
	held := make(chan reply, 1)
	go func() { held <- n.do(n.request("pay")) }()
	testutil.Wait(t, b.Got, "the request")
	n.stop()
	late := time.After(6 * time.Second)
	select {
	case a := <-held:
		if a.status != http.StatusBadGateway {
			t.Errorf("status %d", a.status)
		}
	case <-late:
		t.Fatal("no answer when the node would have been killed for long")
	}
	if err := testutil.Wait(t, n.done, "the end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// The listener is closed only when the process had its turn for a while: what lies in its queue, on a
// machine that is late, was taken by the kernel and is owed an answer.
func TestListenerHasItsTurnBeforeItCloses(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		looks [][2]time.Duration // how long since the one before, when
		ends  int                // the look with which the listener may be closed; -1: with none of them
	}{
		"in time":               {[][2]time.Duration{{10 * ms, 490 * ms}, {10 * ms, 500 * ms}, {10 * ms, 510 * ms}, {10 * ms, 520 * ms}}, 3},
		"stopped for a while":   {[][2]time.Duration{{10 * ms, 350 * ms}, {180 * ms, 530 * ms}, {10 * ms, 540 * ms}, {10 * ms, 550 * ms}, {10 * ms, 560 * ms}}, 4},
		"late again and again":  {[][2]time.Duration{{50 * ms, 500 * ms}, {10 * ms, 510 * ms}, {50 * ms, 560 * ms}, {10 * ms, 570 * ms}}, -1},
		"no time left":          {[][2]time.Duration{{900 * ms, 1450 * ms}}, 0},
		"somebody asks at last": {[][2]time.Duration{{10 * ms, 500 * ms}, {10 * ms, 510 * ms}, {10 * ms, -1}, {10 * ms, 530 * ms}, {10 * ms, 540 * ms}}, -1},
	} {
		e, got := ending{plan: planStop(1000 * ms)}, -1
		for i, l := range c.looks {
			asked, now := -time.Hour, l[1]
			if now < 0 {
				now, asked = 520*ms, 515*ms
			}
			if e.over(l[0], now, asked) {
				got = i
				break
			}
		}
		if got != c.ends {
			t.Errorf("%s: closed at look %d, want %d", name, got, c.ends)
		}
	}
}
