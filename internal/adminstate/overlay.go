package adminstate

import "yokestall/internal/discovery"

// Lifecycles of instances in the endpoint list. For a detached instance, Overlay replaces lifecycleReady by
// lifecycleTerminating.
const (
	lifecycleReady       = "Ready"
	lifecycleTerminating = "Terminating"
)

// Overlay applies the state to instances of the endpoint list, in place, and returns them. A detached
// instance drains. A reattached instance counts as started when it was reattached, unless the list has a
// later start. Once the list has a later start, Overlay drops the override of an instance in service.
func (s *State) Overlay(instances []discovery.Instance) []discovery.Instance {
	if len(s.overrides) == 0 {
		return instances
	}
	for i := range instances {
		instance := &instances[i]
		o, known := s.overrides[instance.InstanceID]
		if !known {
			continue
		}
		if !o.detached && o.reattachedMs > 0 && instance.StartedAtMs > float64(o.reattachedMs) {
			delete(s.overrides, instance.InstanceID)
			continue
		}
		instance.StartedAtMs = max(instance.StartedAtMs, float64(o.reattachedMs))
		if o.detached && instance.Lifecycle == lifecycleReady {
			instance.Lifecycle = lifecycleTerminating
		}
	}
	return instances
}
