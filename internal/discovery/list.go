// The endpoint list across responses: how full lists and deltas change it, and which instances are retained because
// their entries in a full list are unusable.

package discovery

import (
	"slices"
	"strings"

	"yokestall/policy"
)

// MaxRemovedIDs is the maximum number of removed IDs that a List remembers.
const MaxRemovedIDs = 512

// List is the endpoint list after the responses received so far. It holds each instance as the last usable entry
// described it. MaxInstances and MaxRemovedIDs bound its size. The zero value is a list before its first response. A
// List is not safe for concurrent use.
type List struct {
	byID       map[string]Instance // the instances on the list; nil before the first response
	removedIDs []string            // distinct IDs, earliest removal first; some may be on the list again
}

// Apply updates the list by a response and returns the instances of which the caller has to be informed: for a full
// response all instances, including the retained ones as they were last known; for a delta only the changed ones.
func (l *List) Apply(response *Response) []Instance {
	previous := l.byID
	replaces := previous == nil || response.Full
	if replaces {
		l.byID = make(map[string]Instance, len(response.Instances))
		for _, id := range response.RetainedIDs {
			if instance, listed := previous[id]; listed {
				l.byID[id] = instance
			}
		}
	}
	for _, instance := range response.Instances {
		l.store(instance)
	}
	if replaces {
		for id := range previous {
			l.rememberRemoved(id)
		}
	}
	if !response.Full {
		return response.Instances
	}
	return l.withRetained(response)
}

// store adds an instance to the list or replaces it there, or removes it if its state is removed. A new instance that
// would exceed MaxInstances is dropped.
func (l *List) store(instance Instance) {
	id := instance.InstanceID
	if instance.State() == policy.Removed {
		delete(l.byID, id)
		l.rememberRemoved(id)
		return
	}
	if _, listed := l.byID[id]; listed || len(l.byID) < MaxInstances {
		l.byID[id] = instance
	}
}

// withRetained returns the instances of a full response, followed by its retained instances as they are on the list.
func (l *List) withRetained(response *Response) []Instance {
	instances := response.Instances
	included := make(map[string]bool, len(instances))
	for _, instance := range instances {
		included[instance.InstanceID] = true
	}
	for _, id := range response.RetainedIDs {
		if instance, listed := l.byID[id]; listed && !included[id] {
			included[id] = true
			instances = append(instances, instance)
		}
	}
	return instances
}

// rememberRemoved adds an ID to removedIDs, unless it is on the list or remembered already. The oldest removed ID is
// dropped if there are MaxRemovedIDs already. An ID that is removed again keeps its place.
func (l *List) rememberRemoved(id string) {
	if l.RecentlyListed(id) {
		return
	}
	if len(l.removedIDs) == MaxRemovedIDs {
		l.removedIDs = slices.Delete(l.removedIDs, 0, 1)
	}
	l.removedIDs = append(l.removedIDs, id)
}

// Len returns the number of instances on the list.
func (l *List) Len() int { return len(l.byID) }

// Instances returns the instances on the list, ordered by ID.
func (l *List) Instances() []Instance {
	instances := make([]Instance, 0, len(l.byID))
	for _, instance := range l.byID {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b Instance) int { return strings.Compare(a.InstanceID, b.InstanceID) })
	return instances
}

// Get returns the instance with the given ID, if it is on the list.
func (l *List) Get(id string) (instance Instance, listed bool) {
	instance, listed = l.byID[id]
	return instance, listed
}

// RecentlyListed reports whether an ID is on the list or among the remembered removed IDs, MaxRemovedIDs at most. Removed
// IDs are included because an instance that is being replaced under the same ID is off the list for a while.
func (l *List) RecentlyListed(id string) bool {
	_, listed := l.byID[id]
	return listed || slices.Contains(l.removedIDs, id)
}

// HasReady reports whether an instance on the list may get new requests.
func (l *List) HasReady() bool {
	for _, instance := range l.byID {
		if instance.State() == policy.Ready {
			return true
		}
	}
	return false
}
