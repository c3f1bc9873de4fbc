package app

import (
	"context"
	"slices"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/priority"
	"yokestall/policy"
)

// snapshotTimeout bounds how long an engine may take to return its snapshot. If it takes longer, its successor starts
// without a snapshot.
const snapshotTimeout = 200 * time.Millisecond

// snapshots holds what a cluster's engines have learned, such as the capacity and health of endpoints, as of takenAt.
type snapshots struct {
	takenAt time.Time
	classes []config.Class // in the order of the classes in each policy.Snapshot
	tiers   map[priority.Key]policy.Snapshot
}

// takeSnapshots returns snapshots of the running engines, or the cached snapshots if the cluster is idle. The caller holds
// r.mu.
func (r *managedCluster) takeSnapshots() *snapshots {
	if len(r.tiers) == 0 {
		return r.snapshots
	}
	ctx, cancel := context.WithTimeout(r.ctx, snapshotTimeout)
	defer cancel()
	s := &snapshots{takenAt: time.Now(), classes: r.classes, tiers: map[priority.Key]policy.Snapshot{}}
	for key, t := range r.tiers {
		if k, err := t.engine.Snapshot(ctx); err == nil {
			s.tiers[key] = k
		}
	}
	return s
}

// inheritSnapshots takes over the snapshots of the predecessor, which had other settings. The capacity and health of
// endpoints do not depend on the settings.
func (r *managedCluster) inheritSnapshots(from *managedCluster) {
	from.mu.Lock()
	taken := from.takeSnapshots()
	from.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active.Load() == nil { // the engines of an active cluster have newer state of their own
		r.snapshots = taken
	}
}

// restoreSnapshot restores the cached snapshot of a tier that was just started, if there is one. The caller holds r.mu.
func (r *managedCluster) restoreSnapshot(key priority.Key, t *tier) {
	if r.snapshots == nil {
		return
	}
	cached, ok := r.snapshots.tiers[key]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, snapshotTimeout)
	defer cancel()
	initial, err := t.engine.Snapshot(ctx)
	if err != nil {
		return
	}
	cached.Classes = reorderClasses(cached.Classes, initial.Classes, r.snapshots.classes, r.classes)
	t.engine.Restore(cached, time.Since(r.snapshots.takenAt))
}

// reorderClasses returns the cached class snapshots in the order of the new classes, matched by name. A class without a
// cached snapshot gets its initial snapshot.
func reorderClasses(
	cached, initial []policy.ClassSnapshot, oldClasses, newClasses []config.Class,
) []policy.ClassSnapshot {
	out := slices.Clone(initial)
	for i := range out {
		for j := range cached {
			if i < len(newClasses) && j < len(oldClasses) && newClasses[i].Name == oldClasses[j].Name {
				out[i] = cached[j]
			}
		}
	}
	return out
}
