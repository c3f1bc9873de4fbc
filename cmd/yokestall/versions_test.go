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

// shortVersions is a run that is short enough for a test, with a lease that ends in the middle of most faults.
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

// Five processes that agree on versions, each of which contradicts the one before, while they are stopped, killed and
// cut off from each other: no two act on versions that contradict for longer than the bound, and no server that a
// version takes out of service gets requests by it.
func TestVersionsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	for seed := range uint64(3) {
		t.Run("", func(t *testing.T) { playVersions(t, shortVersions(seed+1)) })
	}
}

// All processes lose power at one moment, twice, and come back one by one, one of them on an emptied disk: what was
// acknowledged is there, and those that come back first act on nothing that later ones contradict.
func TestVersionsThroughPowerLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	for seed := range uint64(2) {
		v := shortVersions(seed + 1)
		v.PowerLoss = true
		t.Run("", func(t *testing.T) { playVersions(t, v) })
	}
}

// A release goes on while its owners are stopped, killed and cut off: each step is one version, and no owner acts by
// a token that a later one has replaced.
func TestReleaseUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	for seed := range uint64(2) {
		v := shortVersions(seed + 1)
		v.Release, v.Servers = true, 8
		t.Run("", func(t *testing.T) { playVersions(t, v) })
	}
}

// Processes of the former version of the program vote on versions, and act on them, beside processes of this one, while
// they are killed, stopped and cut off: each version is agreed on and in force in all, by valid leases.
func TestVersionsBetweenPrograms(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	former := testutil.BuildFormer(t, "cmd/yokestall")
	for _, c := range []struct {
		name  string
		nodes []int // of the former version; the first three vote
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
			playVersions(t, v)
		})
	}
}

// playVersions plays a run with real processes; no rule is broken, and the bound of contradiction is kept.
func playVersions(t *testing.T, v versions.Experiment) {
	itself, env := testutil.SelfCommand()
	dir := t.TempDir()
	o, err := versions.Play(t.Context(), v, dir, itself, env)
	if err != nil {
		showLogs(t, dir)
		t.Fatal(err)
	}
	if o.Longest > o.Bound {
		t.Errorf("two acted on versions that contradict for %v, and the bound is %v: %+v after the first of %d",
			o.Longest, o.Bound, o.Worst, o.NewerVersion)
	}
	found := slices.DeleteFunc(o.Findings, func(f fleet.Finding) bool { return f.Timing })
	if len(found) > 0 || o.Served < o.Asked/4 {
		t.Errorf("%d of %d served; rules broken: %v", o.Served, o.Asked, found)
	}
	if t.Failed() {
		t.Log(o.Script)
		showLogs(t, dir)
	}
	t.Logf("%d versions, in force after %v at half of them and %v at most; contradiction %v (%d attempts) of %v; "+
		"%d owners; %d asked, %d served, %d refused, %d failed; %d late at servers that were out",
		o.Published, o.ActivationTimes[len(o.ActivationTimes)/2], o.ActivationTimes[len(o.ActivationTimes)-1], o.Longest, o.Count, o.Bound,
		o.Owners, o.Asked, o.Served, o.Rejected, o.Failed, len(o.Findings))
}
