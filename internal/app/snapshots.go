package app

import (
	"context"
	"slices"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/priority"
	"yokestall/policy"
)

// snapshotTimeout bounds the time that an engine may take for its snapshot; without one its successor starts anew.
const snapshotTimeout = 200 * time.Millisecond

// snapshots is what the engines of a cluster had learnt when they ended.
type snapshots struct {
	takenAt time.Time
	classes []config.Class // in the order of each snapshot's classes
	tiers   map[priority.Key]policy.Snapshot
}

// takeSnapshots returns the snapshots of the engines that run, or the cached ones of an idle cluster; r.mu is locked.
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

// inheritSnapshots takes over the snapshots of a cluster with other settings: the capacity and health of endpoints
// don't depend on them.
func (r *managedCluster) inheritSnapshots(from *managedCluster) {
	from.mu.Lock()
	taken := from.takeSnapshots()
	from.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active.Load() == nil { // an active cluster has learnt by itself
		r.snapshots = taken
	}
}

// restoreSnapshot has a tier that was just started begin with its cached snapshot, if there is one; r.mu is locked.
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
// cached one has its initial snapshot.
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
