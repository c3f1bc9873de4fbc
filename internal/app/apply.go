package app

import (
	"fmt"
	"reflect"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
)

// Apply puts a configuration version in force. When it returns, the engines have been updated, and from
// engine.DefaultDrainSendGrace later nothing is sent to an endpoint that the version does not have, or has as not
// serving. After an error nothing has changed.
func (a *App) Apply(s *files.Configuration) error { return a.ApplyAt(time.Now(), s) }

// ApplyAt is Apply for a version that was delivered at an earlier time, from which the grace counts.
func (a *App) ApplyAt(delivered time.Time, s *files.Configuration) error {
	return a.ApplyRejecting(delivered, s, nil)
}

// ApplyRejecting is ApplyAt with classes whose requests are rejected, each with the reason, until the next version.
func (a *App) ApplyRejecting(delivered time.Time, s *files.Configuration, refusedClasses map[string]string) error {
	deliveredAt := a.clock.Now() - time.Since(delivered)
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.state.Load()
	next, err := newState(old, s, refusedClasses)
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

// assignClusters gives the next state its clusters: those of the old one whose settings stay, and new ones, which are
// idle. After an error nothing has changed.
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

// hasSettings reports whether the cluster can stay in a state, since all that it was started with is the same. Settings
// are compared by identity: newSettings returns the previous ones where they are equal.
func (r *managedCluster) hasSettings(s *state, transport cluster.Transport) bool {
	return r.settings == s.settings && r.upstream == s.program.Upstream && reflect.DeepEqual(r.transport, transport)
}

// warnUndefinedClusters logs the clusters that routes name and the version does not define, when the routes are new or
// the cluster was defined before.
func (a *App) warnUndefinedClusters(old, next *state) {
	newRoutes := old.program == nil || old.program.Table != next.program.Table
	for _, name := range next.program.Table.Clusters() {
		if next.clusters[name] == nil && (newRoutes || old.clusters[name] != nil) {
			a.Log.Warn("routes name an undefined cluster, rejecting their requests", "cluster", name)
		}
	}
}

// ApplyClusters puts new versions of some clusters in force, at the cost of these alone. It reports false, with nothing
// changed, if one of them is not defined yet or its transport is another.
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

// validFrom returns, by class, the sequence from which decisions are valid in the next state. Earlier decisions become
// invalid where the class is rejected or new, and where its idempotency, or the scope or window of its deduplication,
// changed.
func validFrom(old, next *state) map[string]uint64 {
	out := map[string]uint64{}
	for i := range next.program.Classes {
		c := &next.program.Classes[i]
		from := old.validFrom[c.Name]
		if old.program != nil && (next.refusedClasses[c.Name] != "" || !hasSameGuarantees(old.program, c)) {
			from = next.sequence
		}
		if from > 0 {
			out[c.Name] = from
		}
	}
	return out
}

// hasSameGuarantees reports whether a program has the class with the same idempotency, scope and window.
func hasSameGuarantees(p *config.Program, c *config.Class) bool {
	i := p.Class(c.Name)
	if i < 0 {
		return false
	}
	o := &p.Classes[i]
	return o.Idempotency == c.Idempotency && o.DedupScope == c.DedupScope && o.DedupWindow == c.DedupWindow
}
