package agent

import (
	"errors"
	"math"
	"time"

	"yokestall/internal/fleet/consensus"
)

// minReconcileDelay is the shortest time between two rounds of reconcile that nothing woke.
const minReconcileDelay = time.Millisecond

// reconcile makes the program act on what the lease permits, until the node stops.
func (n *Node) reconcile() {
	started := n.Clock()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.wake:
		case <-t.C:
		}
		n.applyOwnership()
		n.reconcileVersions(started)
		next := n.Lease.RenewInterval()
		if a := n.applied.Load(); a != nil && !a.disconnected {
			next = min(next, a.until-n.Clock())
		}
		t.Reset(max(next, minReconcileDelay))
	}
}

// reconcileVersions applies other versions where the lease permits them, and the disconnected policy where there is no
// lease.
func (n *Node) reconcileVersions(started time.Duration) {
	n.leaseMu.Lock()
	now := n.Clock()
	desired := n.lease.DesiredVersions(now)
	current := n.applied.Load()
	permitted := current != nil && (current.disconnected || n.lease.Permits(now, current.versions))
	n.leaseMu.Unlock()
	switch {
	case desired.Version != 0 && (current == nil || current.disconnected || desired != current.versions):
		n.applyVersions(desired)
	case !permitted && current != nil:
		n.enterDisconnected(current.versions)
	case current == nil && now-started > n.Lease.Duration:
		n.startDisconnected()
	}
}

// applyVersions makes the program act on versions that the lease permits.
func (n *Node) applyVersions(active consensus.ActiveVersions) {
	effective, ok := n.effectiveVersion(active)
	if !ok {
		return // a version was evicted meanwhile, and is being refetched
	}
	previous := n.bindToLease(active)
	if err := n.Apply(effective); err != nil {
		n.applied.Store(previous) // the program still acts on that
		n.markUnusable(active, err)
		return
	}
	n.leaseMu.Lock()
	n.lease.ConfirmVersions(active)
	n.applied.Store(&appliedVersions{versions: active, until: n.leaseEnd(active)})
	n.leaseMu.Unlock()
	n.Log.Info("versions applied", "versions", active.String(), "epoch", active.Epoch, "boot_time_ns", int64(BootTime()))
	n.notifyApplied(active, false)
	n.renewLeasesNow() // sends the confirmation to the voters
	if active.PendingVersion == 0 {
		n.background.Go(func() { n.saveLastVersion(active.Version) })
	}
}

// effectiveVersion returns the version, or the stricter of two, that active stands for; false: one of them is not
// cached.
func (n *Node) effectiveVersion(active consensus.ActiveVersions) (consensus.EffectiveVersion, bool) {
	n.versionsMu.Lock()
	version, pending := n.versions[active.Version], n.versions[active.PendingVersion]
	n.versionsMu.Unlock()
	switch {
	case version == nil || active.PendingVersion != 0 && pending == nil:
		return consensus.EffectiveVersion{}, false
	case active.PendingVersion == 0:
		return consensus.EffectiveVersion{Version: version}, true
	}
	stricter := consensus.Stricter(version, pending)
	err := errors.Join(consensus.CheckNotLaxer(stricter, version), consensus.CheckNotLaxer(stricter, pending))
	if err != nil {
		n.Log.Error("combined version is laxer than one of its parts, refusing all classes",
			"versions", active.String(), "err", err)
		for _, c := range stricter.Program.Classes {
			stricter.RefusedClasses[c.Name] = "the rules change"
		}
	}
	return stricter, true
}

// bindToLease binds a program that acts on nothing, or without a lease, to the lease of the versions that it is about
// to apply, so that it is bound from the first moment on. It returns what the program acts on.
func (n *Node) bindToLease(active consensus.ActiveVersions) *appliedVersions {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	current := n.applied.Load()
	if current == nil || current.disconnected {
		n.applied.Store(&appliedVersions{versions: active, until: n.leaseEnd(active)})
	}
	return current
}

// markUnusable records that the program can't apply the newer of the versions, and reports it while that version is
// pending.
func (n *Node) markUnusable(active consensus.ActiveVersions, err error) {
	newest := max(active.Version, active.PendingVersion)
	n.versionsMu.Lock()
	n.unusable[newest] = err.Error()
	delete(n.versions, newest)
	n.versionsMu.Unlock()
	n.Log.Error("version not applied", "versions", active.String(), "err", err)
	if active.PendingVersion != 0 {
		n.background.Go(func() { n.reportUnusable(active.PendingVersion, err.Error()) })
	}
}

// saveLastVersion records a version as the one for a start without a quorum.
func (n *Node) saveLastVersion(number uint64) {
	m, err := n.fetchManifest(n.ctx, number)
	if err == nil {
		err = n.store.SaveLastVersion(m)
	}
	if err != nil && n.ctx.Err() == nil {
		n.Log.Warn("last version not saved for a disconnected start", "version", number, "err", err)
	}
}

// enterDisconnected restricts the program to the disconnected policy after the lease has expired.
func (n *Node) enterDisconnected(last consensus.ActiveVersions) {
	n.versionsMu.Lock()
	active, pending := n.versions[last.Version], n.versions[last.PendingVersion]
	n.versionsMu.Unlock()
	var effective consensus.EffectiveVersion
	switch {
	case active != nil && pending != nil:
		effective = consensus.Stricter(active, pending)
	case active != nil:
		effective = consensus.EffectiveVersion{Version: active}
	default:
		return
	}
	if n.applyDisconnected(effective, last) {
		n.Log.Warn("lease expired, disconnected policy applied",
			"versions", last.String(), "boot_time_ns", int64(BootTime()))
	}
}

// startDisconnected is enterDisconnected for a node that has reached no quorum since its start.
func (n *Node) startDisconnected() {
	m, err := n.store.LastVersion()
	if m == nil || err != nil {
		return
	}
	v, err := n.parseVersion(n.ctx, m)
	if err != nil {
		n.Log.Error("last version not readable", "err", err)
		return
	}
	n.versionsMu.Lock()
	n.cacheVersion(m, v)
	n.versionsMu.Unlock()
	last := consensus.ActiveVersions{Version: m.Number}
	if n.applyDisconnected(consensus.EffectiveVersion{Version: v}, last) {
		n.Log.Warn("no lease since the start, disconnected policy applied",
			"versions", last.String(), "boot_time_ns", int64(BootTime()))
	}
}

// applyDisconnected makes the program act on what the disconnected policy leaves of a version, and reports whether the
// program does.
func (n *Node) applyDisconnected(effective consensus.EffectiveVersion, last consensus.ActiveVersions) bool {
	if err := n.Apply(consensus.DisconnectedVersion(effective, n.Disconnected, time.Now())); err != nil {
		n.Log.Error("disconnected policy not applied", "err", err)
		return false
	}
	until := time.Duration(math.MaxInt64)
	if limit := n.Disconnected.MaxDuration; limit > 0 {
		until = n.Clock() + limit
	}
	n.applied.Store(&appliedVersions{versions: last, disconnected: true, until: until})
	n.notifyApplied(last, true)
	return true
}
