package main

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fake/platform"
	"yokestall/internal/testutil"
)

// program is the command line and the additional environment that start a version of the node.
type program struct{ command, env []string }

// useProgram makes the rig start later processes with the given program.
func (r *rig) useProgram(p program) { r.UseCommand(p.command, p.env) }

// Indexes of the boxes in the tests of upgrades between versions, named for what happens to each box.
const (
	detachedBefore = iota // detached by a command to the predecessor, attached again by one to the successor
	failing               // answers each request with an error, so that the breaker opens
	detachedAfter         // detached by a command to the successor
	healthy
	alsoHealthy
	numBoxes
)

// failuresToOpen is the number of consecutive failures that open a breaker. A process that starts without a snapshot has
// to observe that many failures before it avoids the endpoint.
const failuresToOpen = 5

// Guards against a hot restart between versions that fails because their formats differ. A process of the former version
// and one of the present version are predecessor and successor, in both directions, with the real shared folder, the
// passed socket and requests in flight. No request may be lost or run twice, the successor must know the state of the
// endpoints, and an operator's command to one process must take effect in the other.
func TestUpgradeBetweenVersions(t *testing.T) {
	command, env := testutil.SelfCommand()
	present := program{command, env}
	former := program{command: []string{testutil.BuildFormer(t, "cmd/yokestall-node")}}
	t.Run("from the former to the present", func(t *testing.T) { upgradeBetween(t, former, present) })
	t.Run("from the present to the former", func(t *testing.T) { upgradeBetween(t, present, former) })
}

// newUpgradeRig returns a rig whose boxes respond so slowly that each client has a request in flight at almost any time.
func newUpgradeRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, true, numBoxes)
	for _, b := range r.AppServers {
		b.SetDelay(10 * time.Millisecond)
	}
	r.AppServers[failing].SetFailing(true)
	return r
}

// upgradeBetween upgrades a node under load from one program to another and checks what TestUpgradeBetweenVersions
// requires.
func upgradeBetween(t *testing.T, from, to program) {
	r := newUpgradeRig(t)
	r.useProgram(from)
	predecessor := r.startNode()
	expectAnswer(t, predecessor.Call("DETACH box-0"), "+OK") // before the box gets any request
	clients := platform.Drive(t.Context(), r.Addr, 16, 0)
	defer clients.Stop()
	r.untilAvoided(clients, failing)
	failuresBefore := r.Received(failing)

	r.useProgram(to)
	successor := r.startNode()
	expectAnswer(t, successor.Call("PING"), "out of service: box-0")
	expectAnswer(t, successor.Call("DETACH box-2"), "+OK")
	expectAnswer(t, predecessor.Call("PING"), "out of service: box-0 box-2")
	r.stopNode(predecessor) // with requests in flight, since the clients send without pauses to slow boxes
	beforeDetach := r.Received(detachedAfter)
	r.untilServed(clients, 300) // only the successor still runs
	if n := r.Received(failing) - failuresBefore; n >= failuresToOpen {
		t.Errorf("%d requests reached the failing box during the upgrade, want fewer than open a breaker: its state was not restored",
			n)
	}
	if before, after := r.Received(detachedBefore), r.Received(detachedAfter)-beforeDetach; before > 0 || after > 0 {
		t.Errorf("%d and %d requests reached the two detached boxes, want none", before, after)
	}
	expectAnswer(t, successor.Call("ATTACH box-0"), "+OK")
	testutil.Until(t, "requests to the box that was attached again", func() bool { return r.Received(detachedBefore) > 0 })
	expectSnapshot(t, successor.Log())

	lost := clients.Stop()
	t.Logf("requests: %d served, %d rejected, %d failed, %d lost, %d sent again by clients, %d run twice",
		clients.Served.Load(), clients.Rejected.Load(), clients.Failed.Load(), len(lost), clients.Resent.Load(), r.Duplicates())
	if len(lost) > 0 || r.Duplicates() > 0 {
		t.Errorf("requests were lost or run twice, want none; the first lost requests: %v", lost[:min(len(lost), 5)])
	}
	if failed, answers := clients.Failed.Load(), int64(r.Received(failing)); failed > answers {
		t.Errorf("%d requests failed, want at most the %d that reached the failing box", failed, answers)
	}
	if clients.Resent.Load() > 2 {
		t.Errorf("%d requests had to be sent again by their clients, want at most two for the upgrade", clients.Resent.Load())
	}
}

// Shows that TestUpgradeBetweenVersions detects a missing snapshot: a process that starts without one has to send the
// failing box as many requests as open a breaker, which that test's check does not allow.
func TestNoSnapshotShows(t *testing.T) {
	r := newUpgradeRig(t)
	predecessor := r.startNode()
	clients := platform.Drive(t.Context(), r.Addr, 16, 0)
	defer clients.Stop()
	r.untilAvoided(clients, failing)
	predecessor.Kill()
	failuresBefore := r.Received(failing)
	r.startNode()
	r.untilServed(clients, 300)
	if n := r.Received(failing) - failuresBefore; n < failuresToOpen {
		t.Errorf("%d requests reached the failing box after a start without a snapshot, want at least as many as open a breaker",
			n)
	}
}

// untilServed waits until the given number of further requests were served.
func (r *rig) untilServed(clients *platform.Clients, more int64) {
	r.t.Helper()
	target := clients.Served.Load() + more
	what := strconv.FormatInt(more, 10) + " requests to be served"
	testutil.Until(r.t, what, func() bool { return clients.Served.Load() >= target })
}

// untilAvoided waits until the box has had enough requests to open its breaker and then none while 300 requests were
// served.
func (r *rig) untilAvoided(clients *platform.Clients, box int) {
	r.t.Helper()
	for end := time.Now().Add(testutil.WaitTimeout); ; {
		before := r.Received(box)
		r.untilServed(clients, 300)
		if before >= failuresToOpen && r.Received(box) == before {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("box %d still gets requests though all of them fail, want its breaker to open", box)
		}
	}
}

// endpointsAttribute matches the log attribute that counts the endpoints of a snapshot, by its names in both versions.
var endpointsAttribute = regexp.MustCompile(`\b(?:servers|endpoints)=(\d+)`)

// expectSnapshot checks that a process has logged an event with the number of endpoints in a restored snapshot, which must
// be all of them, and has logged no warning or error. The message of the event differs between versions of the program,
// so only the attribute is matched.
func expectSnapshot(t *testing.T, log []string) {
	t.Helper()
	restored := slices.ContainsFunc(log, func(line string) bool {
		count := endpointsAttribute.FindStringSubmatch(line)
		return strings.Contains(line, " INFO ") && count != nil && count[1] == strconv.Itoa(numBoxes)
	})
	warned := slices.ContainsFunc(log, func(line string) bool {
		return strings.Contains(line, " WARN ") || strings.Contains(line, " ERROR ")
	})
	if !restored || warned {
		t.Errorf("snapshot restored: %v, want true; warnings or errors logged: %v, want false; log:\n%s",
			restored, warned, strings.Join(log, "\n"))
	}
}
