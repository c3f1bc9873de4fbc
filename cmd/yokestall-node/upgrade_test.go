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

var upgrades = flag.Int("upgrades", 4,
	"number of upgrades in TestUpgrades; TestRestartsWithoutTheSocket restarts the node a quarter as often")

// expectAnswer checks that a process's answer to an operator's command contains a text.
func expectAnswer(t *testing.T, answer, want string) {
	t.Helper()
	if !strings.Contains(answer, want) {
		t.Errorf("the process answered %q, want %q in the answer", answer, want)
	}
}

// Guards against hot restarts that lose requests, run a request twice or attach a detached server again. Real processes
// are upgraded several times under steady load.
func TestUpgrades(t *testing.T) {
	r := newRig(t, true, 3)
	old := r.startNode()
	expectAnswer(t, old.Call("DETACH box-0"), "+OK") // before the first request
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := platform.Drive(ctx, r.Addr, 16, 0)
	slowestStart := time.Duration(0)
	for range *upgrades {
		startedAt := time.Now()
		next := r.startNode()
		slowestStart = max(slowestStart, time.Since(startedAt))
		r.stopNode(old)
		expectAnswer(t, next.Call("PING"), "box-0")
		old = next
	}
	stop()
	lost := clients.Wait()
	t.Logf("%d upgrades, each successor answered PING with +OK within %v: "+
		"requests: %d served, %d rejected, %d failed, %d lost, %d sent again by clients, %d run twice",
		*upgrades, slowestStart, clients.Served.Load(), clients.Rejected.Load(), clients.Failed.Load(), len(lost),
		clients.Resent.Load(), r.Duplicates())
	if len(lost) > 0 || clients.Failed.Load() > 0 || r.Duplicates() > 0 || clients.Served.Load() == 0 {
		t.Errorf("requests were lost, failed or run twice, or none was served; the first lost requests: %v",
			lost[:min(len(lost), 5)])
	}
	if clients.Resent.Load() > int64(2**upgrades) {
		t.Errorf("%d requests had to be sent again by their clients, want at most two per upgrade", clients.Resent.Load())
	}
	if r.Received(0) > 0 {
		t.Errorf("%d requests reached the detached server, want none", r.Received(0))
	}
	expectAnswer(t, old.Call("ATTACH box-0"), "+OK")
}

// Guards against upgrades that fail and affect the service: a successor that is killed before it serves must leave the
// predecessor unaffected, and an unresponsive predecessor must not prevent the successor from serving. An operator's
// command to one of the two processes must take effect in both.
func TestUpgradesThatFail(t *testing.T) {
	r := newRig(t, true, 2)
	old := r.startNode()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := platform.Drive(ctx, r.Addr, 4, 0)
	for range 3 {
		n, err := r.Launch()
		if err != nil {
			t.Fatal(err)
		}
		n.Kill() // while the process is starting
	}
	next := r.startNode()
	for _, c := range []struct {
		target   *platform.Node
		command  string
		observer *platform.Node // answers PING with the changed state
		want     string
	}{
		{old, "DETACH box-0", next, "box-0"},
		{next, "LAMEDUCK", old, "drained"},
		{old, "REJOIN", next, "serving"},
		{next, "ATTACH box-0", old, "+OK serving"},
	} {
		expectAnswer(t, c.target.Call(c.command), "+OK")
		expectAnswer(t, c.observer.Call("PING"), c.want)
	}
	answers := make(chan string, 2) // of both processes to the same command at the same time
	for _, n := range []*platform.Node{old, next} {
		go func() { answers <- n.Call("DETACH box-1") }()
	}
	for range 2 {
		expectAnswer(t, <-answers, "+OK")
	}
	expectAnswer(t, next.Call("ATTACH box-1"), "+OK")
	r.stopNode(old)
	stop()
	if lost := clients.Wait(); len(lost) > 0 || r.Duplicates() > 0 {
		t.Errorf("lost requests %v and %d requests run twice, want none", lost, r.Duplicates())
	}
	// While the predecessor is unresponsive, the successor serves, and rejects operators' changes with that cause.
	next.Process.Signal(syscall.SIGSTOP)
	last := r.startNode()
	expectAnswer(t, last.Call("DETACH box-1"), "not confirmed by another process of the node")
	next.Process.Signal(syscall.SIGCONT)
	r.stopNode(next)
	expectAnswer(t, last.Call("DETACH box-1"), "+OK")
	last.Kill() // the committed change must survive the process
	expectAnswer(t, r.startNode().Call("PING"), "box-1")
}

// Guards against an upgrade that ends lame duck mode: the successor must stay in this mode until the REJOIN command.
func TestUpgradeWhileDrained(t *testing.T) {
	r := newRig(t, true, 1)
	old := r.startNode()
	expectAnswer(t, old.Call("LAMEDUCK"), "+OK")
	next := r.startNode()
	expectAnswer(t, next.Call("PING"), "+OK drained")
	r.stopNode(old)
	expectAnswer(t, next.Call("REJOIN"), "+OK serving")
	r.stopNode(next)
}

// Guards against a process that hangs, fails or runs requests twice when both processes of a node get SIGTERM at the same
// time. Each must end without an error.
func TestBothAskedToStop(t *testing.T) {
	r := newRig(t, true, 1)
	old, next := r.startNode(), r.startNode()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := platform.Drive(ctx, r.Addr, 4, 0)
	testutil.Until(t, "requests to be served", func() bool { return clients.Served.Load() > 10 })
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
	clients.Wait()
	if r.Duplicates() > 0 {
		t.Error("requests were run twice, want none")
	}
}

// Shows that the socket that the platform passes is what prevents refused connections in TestUpgrades. Without it the old
// process has to end before the new one can listen, so that clients can't connect in between.
func TestRestartsWithoutTheSocket(t *testing.T) {
	r := newRig(t, false, 2)
	old := r.startNode()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := platform.Drive(ctx, r.Addr, 16, 0)
	restarts := max(1, *upgrades/4)
	for range restarts {
		r.stopNode(old)
		old = r.startNode()
	}
	stop()
	lost := clients.Wait()
	t.Logf("%d restarts, requests: %d served, %d rejected, %d failed, %d lost, %d sent again by clients, %d run twice",
		restarts, clients.Served.Load(), clients.Rejected.Load(), clients.Failed.Load(), len(lost),
		clients.Resent.Load(), r.Duplicates())
	if len(lost) == 0 {
		t.Error("no request was lost, want some without the passed socket")
	}
	if r.Duplicates() > 0 {
		t.Error("requests were run twice, want none")
	}
}
