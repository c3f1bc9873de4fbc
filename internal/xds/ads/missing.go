package ads

import (
	"iter"
	"slices"
	"time"
)

// A resource that is subscribed to and does not come within MissingTimeout does not exist for the control plane: a
// state-of-the-world response of RDS and EDS has no way to say so.

// awaitUnknown starts the timeout of those names that are not known.
func (s *typeState) awaitUnknown(now time.Duration, names iter.Seq[string]) {
	for name := range names {
		if _, known := s.versions[name]; !known {
			s.pendingSince[name] = now
		}
	}
}

// Tick returns the names that do not exist since their timeout has passed. Each is returned once.
func (m *Machine) Tick(now time.Duration) (out []Update) {
	for t := range TypeCount {
		s := &m.types[t]
		var missing []string
		for name, since := range s.pendingSince {
			if now-since >= m.options.MissingTimeout {
				missing = append(missing, name)
				delete(s.pendingSince, name)
			}
		}
		if len(missing) > 0 {
			slices.Sort(missing)
			out = append(out, Update{Type: t, Missing: missing})
		}
	}
	return out
}

// NextTick returns the time at which Tick returns names; false if no timeout runs.
func (m *Machine) NextTick() (at time.Duration, ok bool) {
	for t := range m.types {
		for _, since := range m.types[t].pendingSince {
			if due := since + m.options.MissingTimeout; !ok || due < at {
				at, ok = due, true
			}
		}
	}
	return at, ok
}
