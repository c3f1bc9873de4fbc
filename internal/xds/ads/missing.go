package ads

import (
	"iter"
	"slices"
	"time"
)

// A requested resource that has not come within Options.MissingTimeout counts as nonexistent. A timeout is needed
// because a state-of-the-world response of RDS or EDS can't say that a resource does not exist.

// startMissingTimeouts starts a timeout for each of the names whose resource is not known.
func (s *typeState) startMissingTimeouts(now time.Duration, names iter.Seq[string]) {
	for name := range names {
		if _, known := s.versions[name]; !known {
			s.pendingSince[name] = now
		}
	}
}

// Tick returns, as missing, the requested resources whose timeout has passed. Each timeout is reported once.
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

// NextTick returns the time at which the next timeout passes, and false if no timeout is running.
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
