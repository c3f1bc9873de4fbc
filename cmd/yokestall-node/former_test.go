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

// program is how a version of the node is started.
type program struct{ command, env []string }

func (r *rig) use(p program) { r.UseCommand(p.command, p.env) }

// The boxes of the upgrades between versions, by what befalls them.
const (
	detachedBefore = iota // operators take it out in the predecessor, and return it in the successor
	failing               // it answers each request with an error, so that its breaker opens
	detachedAfter         // operators take it out in the successor
	healthy
	alsoHealthy
	upgradeBoxes
)

// breakerRun is how many consecutive failures open a breaker; a process that has no snapshot has to see as many.
const breakerRun = 5

// A process of the former version of the program is the predecessor and the successor of one of the present
// version, over the real folder and the passed socket, with requests in flight: none is lost and none is sent
// twice, the successor knows the endpoints' state, and operators' calls to the one are in force in the other.
func TestUpgradeBetweenVersions(t *testing.T) {
	command, env := testutil.SelfCommand()
	present := program{command, env}
	former := program{command: []string{testutil.BuildFormer(t, "cmd/yokestall-node")}}
	t.Run("from the former to the present", func(t *testing.T) { upgradeBetween(t, former, present) })
	t.Run("from the present to the former", func(t *testing.T) { upgradeBetween(t, present, former) })
}

// newUpgradeRig makes a rig whose boxes take so long for a request that each client has one in flight at any time.
func newUpgradeRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, true, upgradeBoxes)
	for _, b := range r.AppServers {
		b.SetDelay(10 * time.Millisecond)
	}
	r.AppServers[failing].SetFailing(true)
	return r
}

func upgradeBetween(t *testing.T, from, to program) {
	r := newUpgradeRig(t)
	r.use(from)
	predecessor := r.node()
	expect(t, predecessor.Call("DETACH box-0"), "+OK") // nothing has been sent to it yet
	l := platform.Drive(t.Context(), r.Addr, 16, 0)
	defer l.Stop()
	r.untilAvoided(l, failing)
	failures := r.Received(failing)

	r.use(to)
	successor := r.node()
	expect(t, successor.Call("PING"), "out of service: box-0")
	expect(t, successor.Call("DETACH box-2"), "+OK")
	expect(t, predecessor.Call("PING"), "out of service: box-0 box-2")
	r.stop(predecessor) // with requests in flight: the clients send the next one at once, and a box takes its time
	beforeDetach := r.Received(detachedAfter)
	r.untilServed(l, 300) // by the successor alone
	if n := r.Received(failing) - failures; n >= breakerRun {
		t.Errorf("%d requests came to the failing box over the upgrade: the successor does not know its state", n)
	}
	if before, after := r.Received(detachedBefore), r.Received(detachedAfter)-beforeDetach; before > 0 || after > 0 {
		t.Errorf("%d and %d requests came to the boxes that operators took out", before, after)
	}
	expect(t, successor.Call("ATTACH box-0"), "+OK")
	testutil.Until(t, "requests to the box that operators returned", func() bool { return r.Received(detachedBefore) > 0 })
	expectSnapshot(t, successor.Log())

	lost := l.Stop()
	t.Logf("%d served, %d refused, %d failed, %d lost, %d sent again, %d run twice",
		l.Served.Load(), l.Rejected.Load(), l.Failed.Load(), len(lost), l.Resent.Load(), r.Duplicates())
	if len(lost) > 0 || r.Duplicates() > 0 {
		t.Errorf("requests were lost or ran twice: %v", lost[:min(len(lost), 5)])
	}
	if failed, answers := l.Failed.Load(), int64(r.Received(failing)); failed > answers {
		t.Errorf("%d requests failed, %d by the failing box", failed, answers)
	}
	if l.Resent.Load() > 2 {
		t.Errorf("%d requests ended at the door, two an upgrade are the most", l.Resent.Load())
	}
}

// A successor that finds no predecessor sends the failing box as many requests as open a breaker: without a
// snapshot the check of TestUpgradeBetweenVersions would fail.
func TestNoSnapshotShows(t *testing.T) {
	r := newUpgradeRig(t)
	predecessor := r.node()
	l := platform.Drive(t.Context(), r.Addr, 16, 0)
	defer l.Stop()
	r.untilAvoided(l, failing)
	predecessor.Kill()
	seen := r.Received(failing)
	r.node()
	r.untilServed(l, 300)
	if n := r.Received(failing) - seen; n < breakerRun {
		t.Errorf("%d requests came to the failing box after a start without a snapshot: the comparison shows little", n)
	}
}

// untilServed waits until so many more requests were served.
func (r *rig) untilServed(l *platform.Clients, more int64) {
	r.t.Helper()
	target := l.Served.Load() + more
	what := strconv.FormatInt(more, 10) + " requests to be served"
	testutil.Until(r.t, what, func() bool { return l.Served.Load() >= target })
}

// untilAvoided waits until 300 requests in a row were served and none came to a box that fails.
func (r *rig) untilAvoided(l *platform.Clients, box int) {
	r.t.Helper()
	for end := time.Now().Add(testutil.WaitTimeout); ; {
		before := r.Received(box)
		r.untilServed(l, 300)
		if before >= breakerRun && r.Received(box) == before {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("box %d fails and is sent requests all the same", box)
		}
	}
}

// endpointsAttribute matches the attribute of a log line that counts the endpoints of a snapshot.
var endpointsAttribute = regexp.MustCompile(`\b(?:servers|endpoints)=(\d+)`)

// expectSnapshot expects that a process has logged that it restored a snapshot with all endpoints, and no warning
// or error. The words of the line differ between versions of the program, its attribute does not.
func expectSnapshot(t *testing.T, log []string) {
	t.Helper()
	restored := slices.ContainsFunc(log, func(line string) bool {
		count := endpointsAttribute.FindStringSubmatch(line)
		return strings.Contains(line, " INFO ") && count != nil && count[1] == strconv.Itoa(upgradeBoxes)
	})
	bad := slices.ContainsFunc(log, func(line string) bool {
		return strings.Contains(line, " WARN ") || strings.Contains(line, " ERROR ")
	})
	if !restored || bad {
		t.Errorf("snapshot restored: %v; warnings or errors: %v; the log:\n%s", restored, bad, strings.Join(log, "\n"))
	}
}
