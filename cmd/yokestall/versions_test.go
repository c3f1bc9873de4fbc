package main

import (
	"slices"
	"testing"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleet/lease"
	"yokestall/internal/lab/versions"
	"yokestall/internal/testutil"
)

// shortVersions returns an experiment that is short enough for a test. Its lease is so short that it expires during most
// faults.
func shortVersions(seed uint64) versions.Experiment {
	return versions.Experiment{
		Seed:       seed,
		Nodes:      5,
		Voters:     3,
		Servers:    4,
		Count:      21,
		Length:     6 * time.Second,
		Faults:     6,
		Rate:       150,
		SkewClocks: true,
		Lease: lease.Config{
			Duration: 600 * time.Millisecond, MaxClockDrift: 0.1, ApplyTimeout: 250 * time.Millisecond,
		},
	}
}

// Five processes agree on versions, each of which contradicts the one before, while processes are paused, killed and cut
// off from each other. No two processes act on contradicting versions for longer than the bound, and a process that acts
// on a version sends no requests to a server that this version takes out of service.
func TestVersionsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	for seed := range uint64(3) {
		t.Run("", func(t *testing.T) { runVersions(t, shortVersions(seed+1)) })
	}
}

// All processes lose power at the same moment, twice, and come back one by one, one of them with an empty disk. All
// acknowledged versions must still be there, and the processes that come back first must not act on a version that
// contradicts the versions of later ones.
func TestVersionsThroughPowerLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	for seed := range uint64(2) {
		v := shortVersions(seed + 1)
		v.PowerLoss = true
		t.Run("", func(t *testing.T) { runVersions(t, v) })
	}
}

// A release continues while its owners are paused, killed and cut off. Each step of the release is one version, and no
// owner acts with a token that a later token has replaced.
func TestReleaseUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	for seed := range uint64(2) {
		v := shortVersions(seed + 1)
		v.Release, v.Servers = true, 8
		t.Run("", func(t *testing.T) { runVersions(t, v) })
	}
}

// Processes of a former build of the program and of the present one form a fleet, vote on versions and act on them,
// while processes are killed, paused and cut off. All processes agree on each version, and the version comes into force
// in all of them under valid leases.
func TestVersionsBetweenPrograms(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	former := testutil.BuildFormer(t, "cmd/yokestall")
	for _, c := range []struct {
		name  string
		nodes []int // nodes that run the former build; nodes 0 to 2 vote
	}{
		{"former voters and present followers", []int{0, 1, 2}},
		{"present voters and former followers", []int{3, 4}},
		{"one former voter and one former follower", []int{0, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := shortVersions(1)
			v.Programs = map[int][]string{}
			for _, node := range c.nodes {
				v.Programs[node] = []string{former}
			}
			runVersions(t, v)
		})
	}
}

// runVersions runs an experiment with real processes. It checks that no contradiction lasts longer than the bound, that
// there are no findings except those that depend on times, and that at least a quarter of the requests are served.
func runVersions(t *testing.T, v versions.Experiment) {
	command, env := testutil.SelfCommand()
	dir := t.TempDir()
	o, err := versions.Play(t.Context(), v, dir, command, env)
	if err != nil {
		showLogs(t, dir)
		t.Fatal(err)
	}
	if o.Longest > o.Bound {
		t.Errorf("two processes acted on contradicting versions for %v, want at most %v: attempt %+v after the first one of version %d",
			o.Longest, o.Bound, o.Worst, o.NewerVersion)
	}
	findings := slices.DeleteFunc(o.Findings, func(f fleet.Finding) bool { return f.Timing })
	if len(findings) > 0 || o.Served < o.Asked/4 {
		t.Errorf("%d of %d requests served, want at least a quarter; got findings, want none: %v", o.Served, o.Asked, findings)
	}
	if t.Failed() {
		t.Log(o.Script)
		showLogs(t, dir)
	}
	t.Logf("%d versions, in force after %v at half of them and %v at most; contradiction %v (%d attempts) of %v; "+
		"%d owners; %d asked, %d served, %d refused, %d failed; %d late at servers that were out",
		o.Published, o.ActivationTimes[len(o.ActivationTimes)/2], o.ActivationTimes[len(o.ActivationTimes)-1],
		o.Longest, o.Count, o.Bound,
		o.Owners, o.Asked, o.Served, o.Rejected, o.Failed, len(o.Findings))
}
