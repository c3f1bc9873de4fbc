package app

import (
	"testing"
	"time"

	"yokestall/internal/files"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

// learntState returns what a cluster's only engine has learnt, or the snapshot where the cluster is idle.
func (s *serving) learntState(name string) policy.Snapshot {
	s.t.Helper()
	r := s.app.state.Load().clusters[name]
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.takeSnapshots()
	if m == nil || len(m.tiers) != 1 {
		s.t.Fatalf("cluster %s remembers %v", name, m)
	}
	for _, k := range m.tiers {
		return k
	}
	return policy.Snapshot{}
}

// What was learnt of servers outlives the engines: through idleness, a change of settings while idle, and both again.
func TestSnapshotsOutliveEngines(t *testing.T) {
	bad := testutil.StartAppServer(t, "bad")
	bad.SetFailing(true)
	first := servicesSnapshot(t, 1, bad)
	s := serve(t, first)
	opened := func() (count int) {
		for _, k := range s.learntState("s0").Endpoints {
			if k.BreakerOpen {
				count++
			}
		}
		return count
	}
	testutil.Until(t, "the failing server's breaker to open", func() bool { s.requestStatus(0); return opened() == 1 })
	if s.app.deactivateIdle(s.app.idleNow()); opened() != 1 {
		t.Error("an idle cluster forgot the open breaker")
	}
	for round := range 2 {
		changed := *first.Program
		changed.Limits.MaxRetryAfter += time.Duration(round+1) * time.Millisecond
		if err := s.app.Apply(&files.Configuration{Program: &changed, Version: first.Version}); err != nil {
			t.Fatal(err)
		}
		if s.app.ActiveClusters() != 0 || opened() != 1 {
			t.Errorf("change %d of settings: %d active clusters, %d open breakers remembered",
				round, s.app.ActiveClusters(), opened())
		}
	}
	s.requestStatus(0)
	if s.app.ActiveClusters() != 1 || opened() != 1 {
		t.Error("an engine that was started anew forgot the open breaker")
	}
}
