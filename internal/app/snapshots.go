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
// m.mu.
func (m *managedCluster) takeSnapshots() *snapshots {
	if len(m.tiers) == 0 {
		return m.snapshots
	}
	ctx, cancel := context.WithTimeout(m.ctx, snapshotTimeout)
	defer cancel()
	s := &snapshots{takenAt: time.Now(), classes: m.classes, tiers: map[priority.Key]policy.Snapshot{}}
	for key, t := range m.tiers {
		if k, err := t.engine.Snapshot(ctx); err == nil {
			s.tiers[key] = k
		}
	}
	return s
}

// inheritSnapshots takes over the snapshots of the predecessor, which had other settings. The capacity and health of
// endpoints do not depend on the settings.
func (m *managedCluster) inheritSnapshots(from *managedCluster) {
	from.mu.Lock()
	taken := from.takeSnapshots()
	from.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active.Load() == nil { // the engines of an active cluster have newer state of their own
		m.snapshots = taken
	}
}

// restoreSnapshot restores the cached snapshot of a tier that was just started, if there is one. The caller holds m.mu.
func (m *managedCluster) restoreSnapshot(key priority.Key, t *tier) {
	if m.snapshots == nil {
		return
	}
	cached, ok := m.snapshots.tiers[key]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, snapshotTimeout)
	defer cancel()
	initial, err := t.engine.Snapshot(ctx)
	if err != nil {
		return
	}
	cached.Classes = reorderClasses(cached.Classes, initial.Classes, m.snapshots.classes, m.classes)
	t.engine.Restore(cached, time.Since(m.snapshots.takenAt))
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
