package app

import (
	"testing"
	"time"

	"yokestall/internal/files"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

// engineSnapshot returns a snapshot of the only engine of a cluster, or the cached snapshot if the cluster is idle.
func (s *testApp) engineSnapshot(name string) policy.Snapshot {
	s.t.Helper()
	r := s.app.state.Load().clusters[name]
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.takeSnapshots()
	if m == nil || len(m.tiers) != 1 {
		s.t.Fatalf("cluster %s has the snapshots %v, want the snapshot of one tier", name, m)
	}
	for _, k := range m.tiers {
		return k
	}
	return policy.Snapshot{}
}

// The open breaker of a failing server must be retained when the engines of its cluster end: while the cluster is idle,
// over changes of settings in that time, and when the cluster becomes active again.
func TestSnapshotsOutliveEngines(t *testing.T) {
	bad := testutil.StartAppServer(t, "bad")
	bad.SetFailing(true)
	first := servicesConfiguration(t, 1, bad)
	s := serve(t, first)
	opened := func() (count int) {
		for _, k := range s.engineSnapshot("s0").Endpoints {
			if k.BreakerOpen {
				count++
			}
		}
		return count
	}
	testutil.Until(t, "the failing server's breaker to open", func() bool { s.requestStatus(0); return opened() == 1 })
	if s.app.deactivateIdle(s.app.afterIdleTimeout()); opened() != 1 {
		t.Errorf("snapshot of the idle cluster: %d open breakers, want 1", opened())
	}
	for round := range 2 {
		changed := *first.Program
		changed.Limits.MaxRetryAfter += time.Duration(round+1) * time.Millisecond
		if err := s.app.Apply(&files.Configuration{Program: &changed, Version: first.Version}); err != nil {
			t.Fatal(err)
		}
		if s.app.ActiveClusters() != 0 || opened() != 1 {
			t.Errorf("change %d of settings: %d active clusters, %d open breakers in the snapshot; want 0 and 1",
				round, s.app.ActiveClusters(), opened())
		}
	}
	s.requestStatus(0)
	if s.app.ActiveClusters() != 1 || opened() != 1 {
		t.Errorf("after a request to the idle cluster: %d active clusters, %d open breakers; want 1 and 1",
			s.app.ActiveClusters(), opened())
	}
}
