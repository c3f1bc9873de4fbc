// This file applies administrative changes, by which operators take endpoints out of service and return them to it.

package node

import (
	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
	"yokestall/policy"
)

// checkChange reports whether an administrative change would have an effect. The error says why the change is not allowed.
func (w *endpointWatcher) checkChange(change adminstate.Change) (differs bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.admin.HasEffect(change), w.admin.Validate(change, w.list.RecentlyListed)
}

// applyChange applies an administrative change. After it has returned, the policy selects a detached endpoint for no
// further attempt; an attempt that was decided before may still be sent within the engine's DrainSendGrace.
func (w *endpointWatcher) applyChange(change adminstate.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admin.Apply(change) || !change.Operation.TargetsInstance() {
		return
	}
	if instance, listed := w.list.Get(change.InstanceID); listed {
		w.publish(policy.DeltaUpdate, []discovery.Instance{instance})
	}
}

// adminChanges returns a minimal list of changes that leads to the present administrative state.
func (w *endpointWatcher) adminChanges() []adminstate.Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.admin.MinimalChanges()
}

// adminStatus returns the IDs of the endpoints that operators have taken out of service, and whether the node is in lame
// duck mode.
func (w *endpointWatcher) adminStatus() (outOfService []string, lameDuck bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, lameDuck = w.admin.LameDuckSince()
	return w.admin.DetachedIDs(), lameDuck
}
