package agent

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

// releaseOwner returns the index of the voter that may act as the owner of the release task, and its token. The index is
// -1 if there is no such voter.
func (f *testFleet) releaseOwner() (at int, token uint64) {
	for i := range f.voters {
		if n := f.nodes[i]; n.stop != nil {
			if token, ok := n.node.Owns(ReleaseTask); ok {
				return i, token
			}
		}
	}
	return -1, 0
}

// controlRelease sends a command on releases until a voter replies.
func (f *testFleet) controlRelease(command ReleaseCommand) *ReleaseReply {
	f.t.Helper()
	var out *ReleaseReply
	testutil.Until(f.t, "a reply to the release command", func() bool {
		r, err := f.client.ControlRelease(f.context(), command)
		out = r
		return err == nil
	})
	return out
}

// waitForReleaseEnd waits until the latest release has ended.
func (f *testFleet) waitForReleaseEnd() {
	f.t.Helper()
	testutil.Until(f.t, "the latest release to end", func() bool {
		return f.controlRelease(ReleaseCommand{}).Progress.Result != ""
	})
}

// A release continues after its owner was killed: each wave is taken out once and put back once, one wave at a time, and
// the next owner has a higher token. A release that is not feasible is refused before its first step.
func TestRelease(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.publish("one", 0, versionWithEndpoints(6))
	f.waitForEffect(3, "safe")
	r := consensus.Release{ID: "r", Cluster: "rooms", Floor: 0.6, Drain: 20 * time.Millisecond,
		Restart: 20 * time.Millisecond, Warm: 20 * time.Millisecond}
	for i := range 3 {
		r.Waves = append(r.Waves, []string{fmt.Sprintf("s-%05d", 2*i), fmt.Sprintf("s-%05d", 2*i+1)})
	}
	for _, tc := range []struct {
		change func(r *consensus.Release)
		want   string
	}{
		{func(r *consensus.Release) { r.Floor = 0.9 }, "floor: taking wave 1 out leaves 4 of the 6"},
		{func(r *consensus.Release) { r.Waves = [][]string{{"s-none"}} }, "s-none, which is not in use"},
		{func(r *consensus.Release) { r.Waves = [][]string{{"s-00001"}, {"s-00001"}} }, "listed more than once"},
		{func(r *consensus.Release) { r.Cluster = "suites" }, "has no cluster suites"},
	} {
		invalid := r
		tc.change(&invalid)
		out := f.controlRelease(ReleaseCommand{Start: &invalid})
		if !strings.Contains(out.Error, tc.want) || out.Progress != nil {
			t.Errorf("infeasible release: reply %+v, want no progress and an error with %q", out, tc.want)
		}
	}
	if out := f.controlRelease(ReleaseCommand{Start: &r}); out.Error != "" {
		t.Fatalf("start of the release: reply %+v, want no error", out)
	}
	testutil.Until(t, "the first wave to be taken out", func() bool {
		s, err := f.client.LatestStatus(f.context())
		return err == nil && s.LogStatus.ActiveVersion >= 2
	})
	first, before := f.releaseOwner()
	if first < 0 {
		t.Fatal("no voter owns the release task")
	}
	f.kill(first)
	testutil.Until(t, "the release to end", func() bool {
		out := f.controlRelease(ReleaseCommand{})
		return out.Progress != nil && out.Progress.Result != ""
	})
	if out := f.controlRelease(ReleaseCommand{}); out.Progress.Result != "done" {
		t.Errorf("progress %+v after the release ended, want the result \"done\"", out.Progress)
	}
	if at, after := f.releaseOwner(); at < 0 || at == first || after <= before {
		t.Errorf("owner: voter %d with token %d, want another voter than %d, with a higher token than %d", at, after, first, before)
	}
	f.start(first)
	s, err := f.client.LatestStatus(f.context())
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, m := range s.History[1:] {
		ids = append(ids, m.ID)
	}
	want := []string{"release/r/0/out", "release/r/0/in", "release/r/1/out", "release/r/1/in", "release/r/2/out",
		"release/r/2/in"}
	if !slices.Equal(ids, want) {
		t.Errorf("versions %v, want %v", ids, want)
	}
	v := f.nodes[3].node
	testutil.Until(t, "the non-voter to cache the last version", func() bool {
		v.versionsMu.Lock()
		defer v.versionsMu.Unlock()
		return v.versions[s.LogStatus.ActiveVersion] != nil
	})
	v.versionsMu.Lock()
	defer v.versionsMu.Unlock()
	for _, e := range v.versions[s.LogStatus.ActiveVersion].Clusters["rooms"].Endpoints {
		if !e.Serves() || e.StartedMs == 0 {
			t.Errorf("endpoint %+v, want it in use and with a start time", e)
		}
	}
}

// A release that is paused and then aborted puts the wave that is out back into use, once, and ends. Only one release can
// be in progress.
func TestReleaseStops(t *testing.T) {
	f := newTestFleet(t, 3, 0)
	f.publish("one", 0, versionWithEndpoints(4))
	r := consensus.Release{ID: "r", Cluster: "rooms", Waves: [][]string{{"s-00000"}, {"s-00001"}}, Restart: time.Hour}
	if out := f.controlRelease(ReleaseCommand{Action: "pause"}); out.Error != "no release is in progress" {
		t.Errorf("pause without a release: reply %+v, want an error that none is in progress", out)
	}
	if out := f.controlRelease(ReleaseCommand{Start: &r}); out.Error != "" {
		t.Fatalf("start of the release: reply %+v, want no error", out)
	}
	testutil.Until(t, "the first wave to be in the phase Restarting",
		func() bool { p := f.controlRelease(ReleaseCommand{}).Progress; return p.Phase == consensus.Restarting })
	if out := f.controlRelease(ReleaseCommand{Action: "pause"}); !out.Progress.Paused {
		t.Errorf("pause: reply %+v, want a paused release", out)
	}
	other := r
	other.ID = "other"
	if out := f.controlRelease(ReleaseCommand{Start: &other}); !strings.Contains(out.Error, "is still in progress") {
		t.Errorf("start of a second release: reply %+v, want an error that another is in progress", out)
	}
	if out := f.controlRelease(ReleaseCommand{Action: "abort", Reason: "the new program fails"}); out.Error != "" {
		t.Errorf("abort: reply %+v, want no error", out)
	}
	f.waitForReleaseEnd()
	if p := f.controlRelease(ReleaseCommand{}).Progress; p.Result != "abort: the new program fails" {
		t.Errorf("progress %+v after the abort, want the abort with its reason as the result", p)
	}
	s, err := f.client.LatestStatus(f.context())
	if err != nil || len(s.History) != 3 || s.History[2].ID != "release/r/0/in" {
		t.Errorf("history %+v, %v; want three versions, the last of which puts the wave back", s.History, err)
	}
}

// A voter that has just started with an old log takes into account everything that was committed while it was stopped
// when it answers an operator. Guards against answers from the state that the voter has applied so far.
func TestVoterThatIsBehindAnswersByTheLog(t *testing.T) {
	f := newTestFleet(t, 3, 0)
	for i := range 3 {
		f.kill(i)
		if i == 0 {
			f.publish("one", 0, versionWithEndpoints(4))
		}
		r := consensus.Release{ID: fmt.Sprint("r", i), Cluster: "rooms", Waves: [][]string{{fmt.Sprint("s-0000", i)}},
			Restart: time.Hour}
		if i > 0 { // the stopped voter misses the start of this release
			if out := f.controlRelease(ReleaseCommand{Start: &r}); out.Error != "" {
				t.Fatalf("start of release %s: reply %+v, want no error", r.ID, out)
			}
		}
		f.start(i)
		n := f.nodes[i].node
		sendCommand := func(in ReleaseCommand) (out *ReleaseReply) {
			testutil.Until(t, "the restarted voter to answer a release command", func() bool {
				var err error
				out, err = n.serveReleaseCommand(f.context(), &in)
				return err == nil
			})
			return out
		}
		if i == 0 {
			if out := sendCommand(ReleaseCommand{Start: &r}); out.Error != "" {
				t.Errorf("start at the voter that missed the version: reply %+v, want no error", out)
			}
		}
		if out := sendCommand(ReleaseCommand{}); out.Error != "" || out.Progress.Release.ID != r.ID {
			t.Errorf("progress from restarted voter %d: reply %+v, want release %s", i, out, r.ID)
		}
		if out := sendCommand(ReleaseCommand{Action: "abort", Reason: "test"}); out.Error != "" {
			t.Errorf("abort at restarted voter %d: reply %+v, want no error", i, out)
		}
		f.waitForReleaseEnd()
	}
	// The reply to a publisher names the version that is active now, not the one that the voter has applied so far.
	var s *Status
	testutil.Until(t, "the version that ended the last release to be in force", func() (settled bool) {
		var err error
		s, err = f.client.LatestStatus(f.context())
		return err == nil && s.LogStatus.PendingVersion == 0
	})
	parts := f.nodes[1].node.state().Version(1).Parts
	f.kill(0)
	f.waitForOutcome(f.publish("two", s.LogStatus.ActiveVersion, versionWithEndpoints(5)).Number)
	f.start(0)
	n := f.nodes[0].node
	testutil.Until(t, "the restarted voter to answer a publish", func() bool {
		out, err := n.servePublish(f.context(), &PublishRequest{ID: "three", Base: s.LogStatus.ActiveVersion, Parts: parts})
		if err == nil && out.ActiveVersion != s.LogStatus.ActiveVersion+1 {
			t.Errorf("publish at the restarted voter: reply %+v, want version %d as the active one", out, s.LogStatus.ActiveVersion+1)
		}
		return err == nil
	})
}
