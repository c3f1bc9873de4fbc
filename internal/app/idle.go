package app

import (
	"time"

	"yokestall/internal/engine"
)

// idleChecksPerTimeout is the number of checks for idle clusters within the time for which a cluster stays active without
// requests.
const idleChecksPerTimeout = 4

// activate returns the cluster's tiers, and starts their engines if the cluster is idle. The error is engine.ErrRetired
// if the cluster accepts no more requests.
func (m *managedCluster) activate() (*tiers, error) {
	if t := m.active.Load(); t != nil {
		return t, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := m.active.Load(); t != nil {
		return t, nil
	}
	if m.retired.Load() || m.ctx.Err() != nil {
		return nil, engine.ErrRetired
	}
	t := m.updateTiers(m.app.clock.Now())
	if m.aborted {
		for _, t := range m.tiers {
			t.engine.Abort()
		}
	}
	return t, nil
}

// deactivate ends the engines of a cluster that has had no request since a time on the app's clock and has no open
// stream, and caches the engines' snapshots. It returns false if the cluster is in use or already idle.
func (m *managedCluster) deactivate(since time.Duration) bool {
	if !m.unused(since) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.active.Load()
	if t == nil || m.retired.Load() {
		return false
	}
	taken := m.takeSnapshots()
	// A request increments inFlight before it reads active. So a concurrent request is either counted by unused below, or
	// finds the cluster idle and waits for m.mu to activate the cluster again.
	m.active.Store(nil)
	if !m.unused(since) {
		m.active.Store(t)
		return false
	}
	m.snapshots = taken
	for key, t := range m.tiers {
		delete(m.tiers, key)
		t.engine.Retire()
	}
	return true
}

// unused reports whether the cluster has had no request since a time on the app's clock and has no open stream with
// timeouts.
func (m *managedCluster) unused(since time.Duration) bool {
	return m.inFlight.Load() == 0 && time.Duration(m.lastUsed.Load()) < since && m.streams.count() == 0
}

// idleAfter returns how long the clusters of a state stay active without requests. This is at least long enough for
// endpoints that were warming up at the last request to complete their slow start, and for late answers to that request
// to arrive.
func (a *App) idleAfter(s *state) time.Duration {
	after := max(s.program.ClusterIdle, s.settings.Rules.SlowStartWindow+s.settings.Rules.OverloadDuration)
	if s.program.Repeats.Late {
		for i := range s.program.Classes {
			after = max(after, s.program.Classes[i].DedupWindow)
		}
	}
	return after
}

// deactivateIdle deactivates the clusters that have had no requests for the time of idleAfter. now is the current time on
// the app's clock. The result is the number of clusters that were deactivated.
func (a *App) deactivateIdle(now time.Duration) (deactivated int) {
	s := a.state.Load()
	since := now - a.idleAfter(s)
	for _, r := range s.clusters {
		if r.deactivate(since) {
			deactivated++
		}
	}
	return deactivated
}

// watchIdle deactivates idle clusters periodically until the app is closed.
func (a *App) watchIdle() {
	for {
		check := time.NewTimer(a.idleAfter(a.state.Load()) / idleChecksPerTimeout)
		select {
		case <-a.ctx.Done():
			check.Stop()
			return
		case <-check.C:
			a.deactivateIdle(a.clock.Now())
		}
	}
}

// ActiveClusters returns the number of clusters that currently have running engines.
func (a *App) ActiveClusters() (count int) {
	for _, r := range a.state.Load().clusters {
		if r.active.Load() != nil {
			count++
		}
	}
	return count
}
