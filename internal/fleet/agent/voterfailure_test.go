package agent

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

// A publisher gets the result of its publish even if the leader is killed meanwhile. A non-voter that reaches no voter
// applies the disconnected policy, also after its own restart.
func TestVotersDie(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.publish("one", 0, versionWithEffect("safe"))
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
	s, err := f.client.LatestStatus(f.context())
	if err != nil {
		t.Fatal(err)
	}
	leader := 0
	for i, v := range f.voters {
		if v.Name == s.Leader {
			leader = i
		}
	}
	done := make(chan *PublishReply, 1)
	go func() { done <- f.publish("two", 1, versionWithEffect("unsafe")) }()
	f.kill(leader)
	if p := testutil.Wait(t, done, "the reply to the publish"); p.Number != 2 || !f.waitForOutcome(2).InForce {
		t.Fatalf("publish while the leader is killed: reply %+v, want version 2 in force", p)
	}
	f.waitForEffect(3, "unsafe")
	f.start(leader)
	f.waitForEffect(leader, "unsafe")
	for i := range f.voters {
		f.kill(i)
	}
	f.waitForEffect(3, "-") // a disconnected node refuses unsafe requests
	f.kill(3)
	f.nodes[3].effects = nil
	f.start(3)
	// The log's status arrives without a grant, as it does from one voter that has no quorum.
	f.nodes[3].node.handleLeaseReply(nil, &consensus.LogStatus{Index: 1, ActiveVersion: 2})
	f.waitForEffect(3, "-")
	for i := range f.voters {
		f.start(i)
	}
	f.waitForEffect(3, "unsafe")
}

// A voter whose disk fails stops voting and reports the error in its status. The node continues as a non-voter, and the
// other voters still are a quorum.
func TestDiskFails(t *testing.T) {
	f := newTestFleet(t, 3, 0)
	f.publish("one", 0, versionWithEffect("safe"))
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
	f.nodes[1].node.store.Close() // from here on, all of the node's writes and reads of its store fail
	if p := f.publish("two", 1, versionWithEffect("unsafe")); !f.waitForOutcome(p.Number).InForce {
		t.Fatalf("publish with one failed disk: reply %+v, want the version in force", p)
	}
	for i := range f.nodes {
		f.waitForEffect(i, "unsafe")
	}
	testutil.Until(t, "the voter to report its failed disk", func() bool {
		a := f.client.Status(f.context())[1]
		return a.Status != nil && !a.Status.Voter &&
			strings.Contains(a.Status.VotingError, "no more writes until the node is restarted")
	})
	f.publish("three", 2, versionWithEffect("safe"))
	f.waitForEffect(1, "safe")
}

// A voter that starts on an old copy of its disk does not vote, and reports the reason in its status. The node continues
// as a non-voter, and the other voters still are a quorum.
func TestOldCopyOfADisk(t *testing.T) {
	f := newTestFleet(t, 3, 0)
	f.publish("one", 0, versionWithEffect("safe"))
	f.kill(1)
	path := filepath.Join(f.dir, "n1", "agree.db")
	old, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	f.start(1)
	f.waitForEffect(1, "safe")
	if p := f.publish("two", 1, versionWithEffect("unsafe")); !f.waitForOutcome(p.Number).InForce {
		t.Fatalf("publish with all voters: reply %+v, want the version in force", p)
	}
	f.kill(1)
	if err := os.WriteFile(path, old, 0o600); err != nil {
		t.Fatal(err)
	}
	f.start(1)
	testutil.Until(t, "the voter to report the old copy of its disk", func() bool {
		a := f.client.Status(f.context())[1]
		return a.Status != nil && !a.Status.Voter &&
			strings.Contains(a.Status.VotingError, "an old copy of this voter's disk")
	})
	if p := f.publish("three", 2, versionWithEffect("safe")); !f.waitForOutcome(p.Number).InForce {
		t.Fatalf("publish with one voter on an old disk: reply %+v, want the version in force", p)
	}
	f.waitForEffect(1, "safe")
}
