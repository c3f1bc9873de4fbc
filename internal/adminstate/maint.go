// Package adminstate is the administrative state of a node: which servers its operators have taken
// out of service, and whether the node itself is to be emptied. It is pure: it does no I/O and
// reads no clock.
//
// The state stands beside what discovery says and is laid over it: a server that is out takes
// nothing new, whatever the list says of it, also when it leaves the list and returns. A server
// that is called back counts as started at that moment, since operators restart it meanwhile and
// discovery may tell of that late or never: the decision module then forgets what it knew of
// the former process and takes the server for cold.
package adminstate

import (
	"errors"
	"fmt"
	"slices"

	"yokestall/internal/discovery"
)

// MaxEntries bounds the servers that are out or were called back and have not been
// seen to start since.
const MaxEntries = 4096

// Op is what a change does.
type Op uint8

// The changes. Doing one twice is doing it once.
const (
	Detach   Op = 1 + iota // leave a server out
	Attach                 // it may serve again
	LameDuck               // empty the node
	Rejoin                 // back to work
)

// String gives the operators' word.
func (o Op) String() string {
	switch o {
	case Detach:
		return "DETACH"
	case Attach:
		return "ATTACH"
	case LameDuck:
		return "LAMEDUCK"
	case Rejoin:
		return "REJOIN"
	}
	return fmt.Sprintf("Op(%d)", uint8(o))
}

// OfServer tells that the change names a server.
func (o Op) OfServer() bool { return o == Detach || o == Attach }

// Change is one thing that operators asked for.
type Change struct {
	Op     Op
	Server string // for Detach and Attach
	AtMs   int64  // wall time, Unix milliseconds
}

// ErrUnknown tells that nobody has the server's id.
var ErrUnknown = errors.New("no server has this id")

// ErrFull tells that MaxEntries servers are out or were called back.
var ErrFull = fmt.Errorf("%d servers are out or just back, which is the most", MaxEntries)

type entry struct {
	out    bool
	backMs int64 // when it was last called back; 0: never was
}

// State is what operators have asked for. The zero value is a node at work with all servers
// in service.
type State struct {
	version uint64
	lame    bool
	lameMs  int64 // since when
	entries map[string]entry
}

// Version grows with each change that made a difference.
func (s *State) Version() uint64 { return s.version }

// Lame tells that the node is to be empty, and since when (Unix milliseconds).
func (s *State) Lame() (sinceMs int64, lame bool) { return s.lameMs, s.lame }

// Out tells that a server is out of service.
func (s *State) Out(id string) bool { return s.entries[id].out }

// OutOfService gives the ids of all that are out, sorted.
func (s *State) OutOfService() []string {
	var ids []string
	for id, e := range s.entries {
		if e.out {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Check tells why a change can't be taken; nil: it can. known says whether anybody has an id:
// a server that is out is known here, whether or not the list still has it.
func (s *State) Check(c Change, known func(id string) bool) error {
	if !c.Op.OfServer() {
		return nil
	}
	if _, here := s.entries[c.Server]; here {
		return nil
	}
	if !known(c.Server) {
		return ErrUnknown
	}
	if c.Op == Detach && len(s.entries) >= MaxEntries && s.oldestBack() == "" {
		return ErrFull
	}
	return nil
}

// Differs tells whether a change would make a difference.
func (s *State) Differs(c Change) bool {
	switch c.Op {
	case Detach:
		return !s.entries[c.Server].out
	case Attach:
		return s.entries[c.Server].out // what serves is not made cold
	case LameDuck, Rejoin:
		return s.lame != (c.Op == LameDuck)
	}
	return false
}

// Apply takes a change that Check has passed, or that another process of the node has taken.
// It tells whether the change made a difference.
func (s *State) Apply(c Change) bool {
	if !s.Differs(c) {
		return false
	}
	e := s.entries[c.Server]
	switch c.Op {
	case Detach:
		if _, here := s.entries[c.Server]; !here && len(s.entries) >= MaxEntries {
			delete(s.entries, s.oldestBack())
		}
		e.out = true
		s.set(c.Server, e)
	case Attach:
		e.out = false
		e.backMs = max(c.AtMs, e.backMs+1) // another start than the last one, whatever the clock did
		s.set(c.Server, e)
	case LameDuck, Rejoin:
		s.lame, s.lameMs = c.Op == LameDuck, c.AtMs
	}
	s.version++
	return true
}

func (s *State) set(id string, e entry) {
	if s.entries == nil {
		s.entries = map[string]entry{}
	}
	s.entries[id] = e
}

// oldestBack gives the server that is in service and was called back first; "": none is.
func (s *State) oldestBack() (id string) {
	oldest := int64(0)
	for at, e := range s.entries {
		if !e.out && (id == "" || e.backMs < oldest || e.backMs == oldest && at < id) {
			id, oldest = at, e.backMs
		}
	}
	return id
}

// Changes gives the fewest changes that make an empty state this one.
func (s *State) Changes() []Change {
	var all []Change
	for id, e := range s.entries {
		if e.backMs != 0 {
			all = append(all, Change{Detach, id, e.backMs}, Change{Attach, id, e.backMs})
		}
		if e.out {
			all = append(all, Change{Detach, id, e.backMs})
		}
	}
	slices.SortStableFunc(all, func(x, y Change) int {
		switch {
		case x.Server < y.Server:
			return -1
		case x.Server > y.Server:
			return 1
		}
		return 0
	})
	if s.lame {
		all = append(all, Change{Op: LameDuck, AtMs: s.lameMs})
	}
	return all
}

// Overlay lays the state over lines of discovery's list, in place. A server that is out drains.
// One that was called back started then at the earliest, until the list has a later start.
func (s *State) Overlay(lines []discovery.Instance) []discovery.Instance {
	if len(s.entries) == 0 {
		return lines
	}
	for i := range lines {
		l := &lines[i]
		e, here := s.entries[l.InstanceID]
		if !here {
			continue
		}
		if e.backMs > 0 && l.StartedAtMs > float64(e.backMs) && !e.out {
			delete(s.entries, l.InstanceID) // it has started since: the list says all of it
			continue
		}
		l.StartedAtMs = max(l.StartedAtMs, float64(e.backMs))
		if e.out && l.Lifecycle == "Ready" {
			l.Lifecycle = "Terminating"
		}
	}
	return lines
}
