// Package adminstate is the administrative state of a node: which instances its operators have taken
// out of service, and whether the node itself is in lame duck mode. It is pure: it does no I/O and
// reads no clock.
//
// The state is independent of the endpoint list and overrides it (Overlay): a detached instance
// drains, whatever the list says of it, also when it leaves the list and returns. A reattached
// instance counts as started at that moment, since operators restart it meanwhile and the endpoint
// list may show that late or never: policy then discards what it learnt of the former process and
// warms the endpoint up.
package adminstate

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// MaxOverrides bounds the instances that are detached, or were reattached and have not been seen to
// start since.
const MaxOverrides = 4096

// ErrUnknownInstance is returned by State.Validate for an id that neither the state nor the endpoint
// list has. Operators see its text.
var ErrUnknownInstance = errors.New("no server has this id")

// ErrTooManyOverrides is returned by State.Validate where MaxOverrides instances are detached.
// Operators see its text.
var ErrTooManyOverrides = fmt.Errorf("%d servers are out or just back, which is the most", MaxOverrides)

// override is what the state says of one instance.
type override struct {
	detached     bool
	reattachedMs int64 // when it was last reattached, Unix milliseconds; 0: never
}

// State is the administrative state. The zero value has all instances in service and lame duck mode
// off. It is not safe for concurrent use.
type State struct {
	version         uint64
	lameDuck        bool
	lameDuckSinceMs int64 // Unix milliseconds of the last LameDuck or Rejoin
	overrides       map[string]override
}

// Version returns the number of changes that had an effect.
func (s *State) Version() uint64 { return s.version }

// LameDuckSince reports whether the node is in lame duck mode, and since when in Unix milliseconds.
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

// Validate returns why a change can't be applied: ErrUnknownInstance or ErrTooManyOverrides. listed
// reports whether the endpoint list has, or lately had, an id; a detached instance is known without it.
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

// HasEffect reports whether applying a change would alter the state.
func (s *State) HasEffect(c Change) bool {
	switch c.Operation {
	case Detach:
		return !s.overrides[c.InstanceID].detached
	case Attach:
		return s.overrides[c.InstanceID].detached // an instance in service is not warmed up anew
	case LameDuck, Rejoin:
		return s.lameDuck != (c.Operation == LameDuck)
	}
	return false
}

// Apply applies a change that passed Validate, here or in another process of the node, and reports
// whether it altered the state.
func (s *State) Apply(c Change) (altered bool) {
	if !s.HasEffect(c) {
		return false
	}
	switch c.Operation {
	case Detach:
		s.detach(c.InstanceID)
	case Attach:
		s.reattach(c.InstanceID, c.AtMs)
	case LameDuck, Rejoin:
		s.lameDuck, s.lameDuckSinceMs = c.Operation == LameDuck, c.AtMs
	}
	s.version++
	return true
}

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
	o.reattachedMs = max(atMs, o.reattachedMs+1) // a new start, also where the wall clock went back
	s.overrides[id] = o
}

// oldestReattached returns the id of the instance in service that was reattached first; "": none.
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
		all = append(all, Change{Operation: LameDuck, AtMs: s.lameDuckSinceMs})
	}
	return all
}
