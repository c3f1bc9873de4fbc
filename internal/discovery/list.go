// The endpoint list across responses: deltas, full lists, and what stands in for instances whose lines are unusable.

package discovery

import (
	"slices"
	"strings"

	"yokestall/policy"
)

// MaxRemovedIDs limits the IDs that a List remembers after they left it.
const MaxRemovedIDs = 512

// List is the endpoint list as the responses so far leave it: each instance as it was last usable. MaxInstances and
// MaxRemovedIDs bound its size. The zero value is a list before its first response. It is not safe for concurrent use.
type List struct {
	byID       map[string]Instance // the instances on the list; nil before the first response
	removedIDs []string            // distinct IDs that left the list, oldest first; some may be listed again
}

// Apply takes a response into the list and returns the instances to pass on: all if the response is full,
// with those that it retains as they were last known, and the changed ones if it is a delta.
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

// store takes one instance into the list. A new instance beyond MaxInstances is dropped.
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

// withRetained returns the instances of a full response, followed by those that it retains.
func (l *List) withRetained(response *Response) []Instance {
	instances := response.Instances
	named := make(map[string]bool, len(instances))
	for _, instance := range instances {
		named[instance.InstanceID] = true
	}
	for _, id := range response.RetainedIDs {
		if instance, listed := l.byID[id]; listed && !named[id] {
			named[id] = true
			instances = append(instances, instance)
		}
	}
	return instances
}

// rememberRemoved remembers an ID that is no longer on the list, in place of the oldest one where there are too many.
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

// RecentlyListed reports whether an ID is on the list, or is among the last MaxRemovedIDs that left it: an instance
// that is being replaced under its ID is off the list for a while.
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
