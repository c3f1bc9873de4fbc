package adminstate

import "yokestall/internal/discovery"

// The lifecycles of the endpoint list that an override replaces, and by what.
const (
	lifecycleReady       = "Ready"
	lifecycleTerminating = "Terminating"
)

// Overlay overrides lines of the endpoint list by the state, in place, and returns them. A detached
// instance drains. A reattached one has started at that moment at the earliest; once the list has a
// later start, the override is dropped.
func (s *State) Overlay(lines []discovery.Instance) []discovery.Instance {
	if len(s.overrides) == 0 {
		return lines
	}
	for i := range lines {
		line := &lines[i]
		o, known := s.overrides[line.InstanceID]
		if !known {
			continue
		}
		if !o.detached && o.reattachedMs > 0 && line.StartedAtMs > float64(o.reattachedMs) {
			delete(s.overrides, line.InstanceID)
			continue
		}
		line.StartedAtMs = max(line.StartedAtMs, float64(o.reattachedMs))
		if o.detached && line.Lifecycle == lifecycleReady {
			line.Lifecycle = lifecycleTerminating
		}
	}
	return lines
}
