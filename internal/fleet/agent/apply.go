package agent

import (
	"errors"
	"math"
	"time"

	"yokestall/internal/fleet/consensus"
)

// minReconcileDelay is the shortest delay until reconcile's timer starts another round. A wake-up starts one at once.
const minReconcileDelay = time.Millisecond

// reconcile brings the versions that the program acts on, and the tasks that this process owns, in line with the lease
// and the log, until the node stops.
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

// reconcileVersions applies the desired versions, which the lease permits, if the program does not act on them yet. If
// there are none, it applies the disconnected policy when the lease no longer permits the versions that the program acts
// on, or when the program has applied no version within a lease's duration after started.
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

// applyVersions makes the program act on active, which the lease permits, and confirms that to the voters. If the
// program can't apply the versions, it keeps acting on the previous ones.
func (n *Node) applyVersions(active consensus.ActiveVersions) {
	effective, ok := n.effectiveVersion(active)
	if !ok {
		return // a version has been evicted from the cache and is fetched again
	}
	previous := n.bindToLease(active)
	if err := n.Apply(effective); err != nil {
		n.applied.Store(previous) // the program still acts on the previous versions
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

// effectiveVersion returns the active version, or its stricter combination with the pending version if active has one.
// It returns false if one of the versions is not cached. If the combination is laxer than one of the two, which would be
// a fault of consensus.Stricter, all classes are refused.
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
			stricter.RejectedClasses[c.Name] = "the active and the pending version could not be combined safely"
		}
	}
	return stricter, true
}

// bindToLease makes MayServe depend on the lease for the versions that are about to be applied, if the program has acted
// on no version or by the disconnected policy so far. It has to be called before Apply. It returns what the program has
// acted on so far.
func (n *Node) bindToLease(active consensus.ActiveVersions) *appliedVersions {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	current := n.applied.Load()
	if current == nil || current.disconnected {
		n.applied.Store(&appliedVersions{versions: active, until: n.leaseEnd(active)})
	}
	return current
}

// markUnusable records that the program can't apply the newer of the versions, and removes that version from the cache.
// If the version is pending, it is also reported to the voters.
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

// saveLastVersion saves a version's manifest in the store, for a start at which no quorum answers.
func (n *Node) saveLastVersion(number uint64) {
	m, err := n.fetchManifest(n.ctx, number)
	if err == nil {
		err = n.store.SaveLastVersion(m)
	}
	if err != nil && n.ctx.Err() == nil {
		n.Log.Warn("last version not saved for a disconnected start", "version", number, "err", err)
	}
}

// enterDisconnected applies the disconnected policy to the versions that the program acted on under the expired lease.
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

// startDisconnected applies the disconnected policy to the version that saveLastVersion saved before the restart, on a
// node that has applied no version since its start.
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

// applyDisconnected makes the program act on a version as the disconnected policy restricts it, and reports whether that
// succeeded. last are the versions that the program acted on before.
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
