package main

import (
	"context"
	"flag"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/fake/platform"
	"yokestall/internal/testutil"
)

var upgrades = flag.Int("upgrades", 4, "how many upgrades TestUpgrades makes")

func expect(t *testing.T, answer, want string) {
	t.Helper()
	if !strings.Contains(answer, want) {
		t.Errorf("answer %q, want %q in it", answer, want)
	}
}

// Upgrades under steady load, with real processes: no request is lost, none runs twice, and a detached server
// stays detached over all of them.
func TestUpgrades(t *testing.T) {
	r := newRig(t, true, 3)
	old := r.node()
	expect(t, old.Call("DETACH box-0"), "+OK") // before any request
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	l := platform.Drive(ctx, r.Addr, 16, 0)
	worst := time.Duration(0)
	for range *upgrades {
		began := time.Now()
		next := r.node()
		worst = max(worst, time.Since(began))
		r.stop(old)
		expect(t, next.Call("PING"), "box-0")
		old = next
	}
	stop()
	lost := l.Wait()
	t.Logf("%d upgrades, PING +OK after %v at most: "+
		"%d served, %d rejected, %d failed, %d lost, %d sent again, %d run twice",
		*upgrades, worst, l.Served.Load(), l.Rejected.Load(), l.Failed.Load(), len(lost), l.Resent.Load(), r.Duplicates())
	if len(lost) > 0 || l.Failed.Load() > 0 || r.Duplicates() > 0 || l.Served.Load() == 0 {
		t.Errorf("requests were lost, failed, ran twice, or none was served: %v", lost[:min(len(lost), 5)])
	}
	if l.Resent.Load() > int64(2**upgrades) {
		t.Errorf("%d requests had to be sent again by their clients, two an upgrade are the most", l.Resent.Load())
	}
	if r.Received(0) > 0 {
		t.Errorf("%d requests at the detached server", r.Received(0))
	}
	expect(t, old.Call("ATTACH box-0"), "+OK")
}

// A successor that is killed before it serves leaves the predecessor as it was; a predecessor that hangs does not
// prevent the successor from serving; changes are in force in both processes.
func TestUpgradesThatFail(t *testing.T) {
	r := newRig(t, true, 2)
	old := r.node()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	l := platform.Drive(ctx, r.Addr, 4, 0)
	for range 3 {
		n, err := r.Launch()
		if err != nil {
			t.Fatal(err)
		}
		n.Kill() // at any point of its start
	}
	next := r.node()
	for _, c := range []struct {
		to   *platform.Node
		text string
		seen *platform.Node // its PING shows the change
		want string
	}{
		{old, "DETACH box-0", next, "box-0"},
		{next, "LAMEDUCK", old, "drained"},
		{old, "REJOIN", next, "serving"},
		{next, "ATTACH box-0", old, "+OK serving"},
	} {
		expect(t, c.to.Call(c.text), "+OK")
		expect(t, c.seen.Call("PING"), c.want)
	}
	answers := make(chan string, 2) // both processes at the same time
	for _, n := range []*platform.Node{old, next} {
		go func() { answers <- n.Call("DETACH box-1") }()
	}
	for range 2 {
		expect(t, <-answers, "+OK")
	}
	expect(t, next.Call("ATTACH box-1"), "+OK")
	r.stop(old)
	stop()
	if lost := l.Wait(); len(lost) > 0 || r.Duplicates() > 0 {
		t.Errorf("lost %v, %d run twice", lost, r.Duplicates())
	}
	// A predecessor hangs: the successor serves, and answers changes with the cause.
	next.Process.Signal(syscall.SIGSTOP)
	last := r.node()
	expect(t, last.Call("DETACH box-1"), "other process does not answer")
	next.Process.Signal(syscall.SIGCONT)
	r.stop(next)
	expect(t, last.Call("DETACH box-1"), "+OK")
	last.Kill() // the committed change outlives it
	expect(t, r.node().Call("PING"), "box-1")
}

// An upgrade in lame duck mode: the successor is in it too, until REJOIN.
func TestUpgradeWhileDrained(t *testing.T) {
	r := newRig(t, true, 1)
	old := r.node()
	expect(t, old.Call("LAMEDUCK"), "+OK")
	next := r.node()
	expect(t, next.Call("PING"), "+OK drained")
	r.stop(old)
	expect(t, next.Call("REJOIN"), "+OK serving")
	r.stop(next)
}

// Both processes get SIGTERM at the same time: each answers what it has accepted, and ends without an error.
func TestBothAskedToStop(t *testing.T) {
	r := newRig(t, true, 1)
	old, next := r.node(), r.node()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	l := platform.Drive(ctx, r.Addr, 4, 0)
	testutil.Until(t, "requests to be served", func() bool { return l.Served.Load() > 10 })
	for _, n := range []*platform.Node{old, next} {
		n.Process.Signal(syscall.SIGTERM)
	}
	stop()
	for _, n := range []*platform.Node{old, next} {
		if err := n.WaitEnded(); err != nil {
			t.Error(err)
		}
	}
	r.ReleaseSocket()
	l.Wait()
	if r.Duplicates() > 0 {
		t.Error("requests ran twice")
	}
}

// Without the platform's socket the old process has to end before the new one can listen: meanwhile clients can't
// connect.
func TestRestartsWithoutTheSocket(t *testing.T) {
	r := newRig(t, false, 2)
	old := r.node()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	l := platform.Drive(ctx, r.Addr, 16, 0)
	restarts := max(1, *upgrades/4)
	for range restarts {
		r.stop(old)
		old = r.node()
	}
	stop()
	lost := l.Wait()
	t.Logf("%d restarts: %d served, %d rejected, %d failed, %d could not connect, %d sent again, %d run twice",
		restarts, l.Served.Load(), l.Rejected.Load(), l.Failed.Load(), len(lost), l.Resent.Load(), r.Duplicates())
	if len(lost) == 0 {
		t.Error("all clients could connect: the comparison shows nothing")
	}
	if r.Duplicates() > 0 {
		t.Error("requests ran twice")
	}
}
