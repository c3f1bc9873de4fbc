package app

import (
	"fmt"
	"reflect"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
)

// Apply puts a configuration version in force. When it returns, the engines have been updated. When it has returned and
// engine.DefaultDrainSendGrace has passed since the call, nothing more is sent to an endpoint that the version lacks or
// marks as not serving. If Apply fails, nothing has changed.
func (a *App) Apply(s *files.Configuration) error { return a.ApplyAt(time.Now(), s) }

// ApplyAt is like Apply, for a version that was delivered earlier. engine.DefaultDrainSendGrace counts from the time of
// delivery.
func (a *App) ApplyAt(delivered time.Time, s *files.Configuration) error {
	return a.ApplyRejecting(delivered, s, nil)
}

// ApplyRejecting is like ApplyAt, and rejects the requests of some classes until the next version. rejectedClasses has
// the reason by the name of the class.
func (a *App) ApplyRejecting(delivered time.Time, s *files.Configuration, rejectedClasses map[string]string) error {
	deliveredAt := a.clock.Now() - time.Since(delivered)
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.state.Load()
	next, err := newState(old, s, rejectedClasses)
	if err != nil {
		return err
	}
	if err := a.assignClusters(old, next); err != nil {
		return err
	}
	for name, c := range s.Version.Clusters {
		r := next.clusters[name]
		r.update(deliveredAt, c)
		if previous := old.clusters[name]; previous != nil && previous != r {
			r.inheritSnapshots(previous)
		}
	}
	a.state.Store(next)
	a.undefinedClusters.Clear()
	for name, r := range old.clusters {
		if next.clusters[name] != r {
			r.retire(deliveredAt)
		}
	}
	a.warnUndefinedClusters(old, next)
	return nil
}

// assignClusters sets the clusters of the next state: clusters of the old state whose settings are unchanged, and new
// clusters, which are idle. If it fails, the new clusters are discarded and those of the old state are unchanged.
func (a *App) assignClusters(old, next *state) error {
	var started []*managedCluster
	for name, c := range next.version.Clusters {
		if r := old.clusters[name]; r != nil && r.hasSettings(next, c.Transport) {
			next.clusters[name] = r
			continue
		}
		r, err := a.newManagedCluster(name, next, c.Transport)
		if err != nil {
			for _, r := range started {
				r.discard()
			}
			return fmt.Errorf("cluster %s: %w", name, err)
		}
		started = append(started, r)
		next.clusters[name] = r
	}
	return nil
}

// hasSettings reports whether the cluster was created with the policy settings and upstream settings of a state and with
// this transport, so that the state can keep the cluster. Policy settings are compared by pointer, since newSettings
// returns the previous pointer for equal settings.
func (m *managedCluster) hasSettings(s *state, transport cluster.Transport) bool {
	return m.settings == s.settings && m.upstream == s.program.Upstream && reflect.DeepEqual(m.transport, transport)
}

// warnUndefinedClusters logs each cluster that routes name and the next state does not define, if the routes are new or
// the old state defined the cluster.
func (a *App) warnUndefinedClusters(old, next *state) {
	newRoutes := old.program == nil || old.program.Table != next.program.Table
	for _, name := range next.program.Table.Clusters() {
		if next.clusters[name] == nil && (newRoutes || old.clusters[name] != nil) {
			a.Log.Warn("routes name an undefined cluster, rejecting their requests", "cluster", name)
		}
	}
}

// ApplyClusters updates some clusters without building a new state, so that the cost does not depend on the number of
// other clusters. It returns false and changes nothing if one of the clusters is not defined yet or its transport
// differs.
func (a *App) ApplyClusters(delivered time.Time, changed []*cluster.Config) bool {
	deliveredAt := a.clock.Now() - time.Since(delivered)
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.state.Load()
	for _, c := range changed {
		if r := state.clusters[c.Name]; r == nil || !reflect.DeepEqual(r.transport, c.Transport) {
			return false
		}
	}
	for _, c := range changed {
		state.clusters[c.Name].update(deliveredAt, c)
	}
	return true
}

// validFrom returns, by class, the sequence of the first state whose routed requests may still send attempts in the next
// state. The requests of all earlier states may not if the class is rejected or new, or if its idempotency, its
// deduplication scope or its deduplication window changed.
func validFrom(old, next *state) map[string]uint64 {
	out := map[string]uint64{}
	for i := range next.program.Classes {
		c := &next.program.Classes[i]
		from := old.validFrom[c.Name]
		if old.program != nil && (next.rejectedClasses[c.Name] != "" || !hasSameGuarantees(old.program, c)) {
			from = next.sequence
		}
		if from > 0 {
			out[c.Name] = from
		}
	}
	return out
}

// hasSameGuarantees reports whether a program has a class of this name with the same idempotency, deduplication scope and
// deduplication window.
func hasSameGuarantees(p *config.Program, c *config.Class) bool {
	i := p.Class(c.Name)
	if i < 0 {
		return false
	}
	known := &p.Classes[i]
	return known.Idempotency == c.Idempotency && known.DedupScope == c.DedupScope && known.DedupWindow == c.DedupWindow
}
