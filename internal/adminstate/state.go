// Package adminstate implements the administrative state of a node: which instances its operators have taken
// out of service, and whether the node itself is in lame duck mode. The package does no I/O and reads no
// clock.
//
// The state is independent of the endpoint list and overrides it (State.Overlay). A detached instance drains,
// whatever lifecycle the list has for it, also after it has left the list and returned. A reattached instance
// counts as started when it was reattached, since operators may have restarted it while it was detached, and
// the endpoint list may show the restart late or never. Because of the new start, the policy discards what it
// learnt of the former process and warms the endpoint up.
package adminstate

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// MaxOverrides is the maximum number of instances that are detached, or that were reattached and for which
// the endpoint list has shown no later start since.
const MaxOverrides = 4096

// ErrUnknownInstance is returned by State.Validate for an instance id that neither the state nor the endpoint
// list has. Operators see its text.
var ErrUnknownInstance = errors.New("no server has this id")

// ErrTooManyOverrides is returned by State.Validate for a further Detach when MaxOverrides instances are
// detached. Operators see its text.
var ErrTooManyOverrides = fmt.Errorf("%d servers are out of service, which is the maximum: ATTACH one first", MaxOverrides)

// override is the administrative state of one instance.
type override struct {
	detached     bool
	reattachedMs int64 // when the instance was last reattached, Unix milliseconds; 0: never
}

// State is the administrative state of a node. In the zero value all instances are in service and lame duck
// mode is off. A State is not safe for concurrent use.
type State struct {
	version         uint64
	lameDuck        bool
	lameDuckSinceMs int64 // when lame duck mode was last entered or left, Unix milliseconds; 0: never
	overrides       map[string]override
}

// Version returns the number of changes that had an effect.
func (s *State) Version() uint64 { return s.version }

// LameDuckSince reports whether the node is in lame duck mode, and when it last entered or left the mode, in
// Unix milliseconds (0: never).
func (s *State) LameDuckSince() (sinceMs int64, active bool) { return s.lameDuckSinceMs, s.lameDuck }

// Detached reports whether an instance is out of service.
func (s *State) Detached(id string) bool { return s.overrides[id].detached }

// DetachedIDs returns the ids of all instances that are out of service, sorted.
func (s *State) DetachedIDs() []string {
	var ids []string
	for id, o := range s.overrides {
		if o.detached {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Validate returns ErrUnknownInstance or ErrTooManyOverrides if a change can't be applied. listed reports
// whether the endpoint list has, or recently had, an instance with this id. An instance that the state
// overrides need not be listed.
func (s *State) Validate(c Change, listed func(id string) bool) error {
	if !c.Operation.TargetsInstance() {
		return nil
	}
	if _, known := s.overrides[c.InstanceID]; known {
		return nil
	}
	if !listed(c.InstanceID) {
		return ErrUnknownInstance
	}
	if c.Operation == Detach && len(s.overrides) >= MaxOverrides && s.oldestReattached() == "" {
		return ErrTooManyOverrides
	}
	return nil
}

// HasEffect reports whether Apply of a change would alter the state.
func (s *State) HasEffect(c Change) bool {
	switch c.Operation {
	case Detach:
		return !s.overrides[c.InstanceID].detached
	case Attach:
		return s.overrides[c.InstanceID].detached // Attach must not warm up an instance in service again
	case LameDuck, Rejoin:
		return s.lameDuck != (c.Operation == LameDuck)
	}
	return false
}

// Apply applies a change that passed Validate in this or another process of the node, and reports whether
// the change altered the state.
func (s *State) Apply(c Change) (altered bool) {
	if !s.HasEffect(c) {
		return false
	}
	switch c.Operation {
	case Detach:
		s.detach(c.InstanceID)
	case Attach:
		s.reattach(c.InstanceID, c.RequestedAtMs)
	case LameDuck, Rejoin:
		s.lameDuck, s.lameDuckSinceMs = c.Operation == LameDuck, c.RequestedAtMs
	}
	s.version++
	return true
}

// detach takes an instance out of service. If that needs a new override and there are MaxOverrides already, detach
// drops the override of the instance in service that was reattached first.
func (s *State) detach(id string) {
	if _, known := s.overrides[id]; !known && len(s.overrides) >= MaxOverrides {
		delete(s.overrides, s.oldestReattached())
	}
	if s.overrides == nil {
		s.overrides = map[string]override{}
	}
	o := s.overrides[id]
	o.detached = true
	s.overrides[id] = o
}

// reattach returns a detached instance to service.
func (s *State) reattach(id string, atMs int64) {
	o := s.overrides[id]
	o.detached = false
	o.reattachedMs = max(atMs, o.reattachedMs+1) // later than the last reattachment even if the wall clock was set back
	s.overrides[id] = o
}

// oldestReattached returns the id of the instance in service that was reattached first, or "" if no instance
// with an override is in service.
func (s *State) oldestReattached() (oldest string) {
	oldestMs := int64(0)
	for id, o := range s.overrides {
		if o.detached {
			continue
		}
		if oldest == "" || o.reattachedMs < oldestMs || o.reattachedMs == oldestMs && id < oldest {
			oldest, oldestMs = id, o.reattachedMs
		}
	}
	return oldest
}

// MinimalChanges returns the shortest list of changes that leads from the zero State to this one.
func (s *State) MinimalChanges() []Change {
	var all []Change
	for id, o := range s.overrides {
		if o.reattachedMs != 0 {
			all = append(all, Change{Detach, id, o.reattachedMs}, Change{Attach, id, o.reattachedMs})
		}
		if o.detached {
			all = append(all, Change{Detach, id, o.reattachedMs})
		}
	}
	slices.SortStableFunc(all, func(x, y Change) int { return cmp.Compare(x.InstanceID, y.InstanceID) })
	if s.lameDuck {
		all = append(all, Change{Operation: LameDuck, RequestedAtMs: s.lameDuckSinceMs})
	}
	return all
}
