// Administrative changes: operators take endpoints out of service and return them.

package node

import (
	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
	"yokestall/policy"
)

// checkChange reports whether an administrative change would make a difference. The error says why it is not allowed.
func (w *endpointWatcher) checkChange(change adminstate.Change) (differs bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.admin.HasEffect(change), w.admin.Validate(change, w.list.RecentlyListed)
}

// applyChange applies an administrative change. When it returns, no attempt is decided for a detached endpoint any
// more; one that was decided before may still be sent within the engine's DrainSendGrace.
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

// adminChanges returns the changes that lead to the administrative state.
func (w *endpointWatcher) adminChanges() []adminstate.Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.admin.MinimalChanges()
}

// adminStatus returns the IDs of the endpoints that operators took out of service, and whether the node is in lame duck
// mode.
func (w *endpointWatcher) adminStatus() (outOfService []string, lameDuck bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, lameDuck = w.admin.LameDuckSince()
	return w.admin.DetachedIDs(), lameDuck
}
