// Package discovery is the pure part of following the platform's discovery: which lines of an
// answer count, what of a list holds when an answer is spoilt, and when to ask again. It opens
// no socket and reads no clock.
//
// A line counts as it stands if all that is needed of it can be read and lies in its range. Of
// the others
//
//   - one that has an id and says that its server drains or is gone counts as that, whatever
//     else is wrong with it: it only allows less;
//   - one that has an id leaves its server as it was known, and adds none;
//   - one without an id leaves the list incomplete: nothing is taken for gone by not being on it.
//
// Of two lines with one id the one that allows less counts. An answer with any line that does
// not count as it stands, or with an id twice, is doubtful: the whole list is to be asked for
// again. One that can't be read to its end changes nothing.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"yokestall/policy"
)

// The bounds of an answer.
const (
	MaxBytes     = 2 << 20 // of its body
	MaxInstances = 10000
	MaxIDBytes   = 128 // bytes of an id, a zone, an address
	MaxLeft      = 512 // ids that are remembered once they have left the list
	maxSize      = 1e6 // of a weight
	maxCell      = math.MaxInt32
	// aheadMost is how far ahead of this node's clock a start may lie.
	aheadMost = time.Minute
)

// Instance is a line of the list.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"` // Unix time; 0: long ago
}

// ID is the same at every node, which the module's ring of servers relies on.
func (l *Instance) ID() policy.EndpointID {
	h := fnv.New64a()
	io.WriteString(h, l.InstanceID)
	return policy.EndpointID(h.Sum64())
}

// State takes a word that it doesn't know for one that allows nothing new.
func (l *Instance) State() policy.EndpointState {
	switch l.Lifecycle {
	case "Ready":
		return policy.Ready
	case "Gone":
		return policy.Removed
	}
	return policy.Draining
}

// Answer is what of an answer of discovery's counts.
type Answer struct {
	Generation uint64
	Reset      bool       // the list is whole: what is not on it is gone
	Lines      []Instance // ids are distinct
	// Kept are ids on a whole list whose lines don't count: their servers stay as known.
	Kept []string
	// Doubt tells why the whole list is to be asked for again; nil: no need.
	Doubt error
}

// Parse reads an answer, at most MaxBytes of it; whole says that all was asked for, whatever the
// answer says of itself. now is the wall time that starts are held against. The error names what can't be read; nothing of the answer counts then.
func Parse(text []byte, whole bool, now time.Time) (*Answer, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("list: over %d bytes", MaxBytes)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	a := &Answer{}
	var wire struct {
		Generation *uint64         `json:"generation"`
		Reset      bool            `json:"reset"`
		Instances  json.RawMessage `json:"instances"`
	}
	if err := d.Decode(&wire); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, fmt.Errorf("list: cut short after %d bytes", len(text))
		}
		return nil, fmt.Errorf("list: %w", err)
	}
	switch rest, err := d.Token(); {
	case err == nil:
		return nil, fmt.Errorf("list: goes on behind its end with %v", rest)
	case !errors.Is(err, io.EOF):
		return nil, fmt.Errorf("list: behind its end: %w", err)
	case wire.Generation == nil:
		return nil, errors.New("list: generation is missing")
	case wire.Instances == nil:
		return nil, errors.New("list: instances are missing")
	}
	var lines []json.RawMessage // null is how some write an empty list
	if err := json.Unmarshal(wire.Instances, &lines); err != nil {
		return nil, fmt.Errorf("list: instances: %w", err)
	}
	if len(lines) > MaxInstances {
		return nil, fmt.Errorf("list: %d lines; %d at most", len(lines), MaxInstances)
	}
	a.Generation, a.Reset = *wire.Generation, whole || wire.Reset
	a.take(lines, now)
	return a, nil
}

// take sorts the lines into those that count and those that don't.
func (a *Answer) take(lines []json.RawMessage, now time.Time) {
	a.Lines = make([]Instance, 0, len(lines))
	places := make(map[string]int, len(lines))
	doubt := func(i int, err error) {
		if a.Doubt == nil {
			a.Doubt = fmt.Errorf("line %d: %w", i+1, err)
		}
	}
	whole := a.Reset
	for i, text := range lines {
		l, err := parseLine(text, now)
		if err != nil {
			doubt(i, err)
			switch {
			case l.InstanceID == "":
				whole = false
				continue
			case l.Lifecycle != "Terminating" && l.Lifecycle != "Gone":
				a.Kept = append(a.Kept, l.InstanceID)
				continue
			}
			l = Instance{InstanceID: l.InstanceID, HostPort: l.HostPort, Lifecycle: l.Lifecycle}
		}
		if first, twice := places[l.InstanceID]; twice {
			doubt(i, fmt.Errorf("%q is on the list twice", l.InstanceID))
			if allows(l.State()) < allows(a.Lines[first].State()) {
				a.Lines[first] = l
			}
			continue
		}
		places[l.InstanceID] = len(a.Lines)
		a.Lines = append(a.Lines, l)
	}
	a.Reset = whole
	if !whole {
		a.Kept = nil
	}
}

// allows ranks states by what they allow.
func allows(s policy.EndpointState) int {
	switch s {
	case policy.Ready:
		return 2
	case policy.Draining:
		return 1
	}
	return 0
}

// parseLine gives the line; with an error, of what could be read the id and the lifecycle alone
// are of use.
func parseLine(text json.RawMessage, now time.Time) (Instance, error) {
	var l Instance
	if err := json.Unmarshal(text, &l); err != nil {
		// Field by field: a wrong type in one must not hide a drain in another.
		var id struct {
			InstanceID string `json:"instanceId"`
		}
		var cycle struct {
			Lifecycle string `json:"lifecycle"`
		}
		if json.Unmarshal(text, &id) != nil {
			id.InstanceID = ""
		}
		if json.Unmarshal(text, &cycle) != nil {
			cycle.Lifecycle = ""
		}
		if len(id.InstanceID) > MaxIDBytes {
			id.InstanceID = ""
		}
		return Instance{InstanceID: id.InstanceID, Lifecycle: cycle.Lifecycle}, err
	}
	err := l.check(now)
	if len(l.InstanceID) > MaxIDBytes {
		l.InstanceID = ""
	}
	return l, err
}

func (l *Instance) check(now time.Time) error {
	bad := func(field string, v any) error { return fmt.Errorf("%s can't be %v", field, v) }
	switch {
	case l.InstanceID == "":
		return errors.New("instanceId is missing")
	case len(l.InstanceID) > MaxIDBytes:
		return fmt.Errorf("instanceId is longer than %d bytes", MaxIDBytes)
	case len(l.Zone) > MaxIDBytes:
		return fmt.Errorf("zone is longer than %d bytes", MaxIDBytes)
	case l.Lifecycle == "":
		return errors.New("lifecycle is missing")
	case l.Weight < 0 || l.Weight > maxSize:
		return bad("weight", l.Weight)
	case l.Cell < 0 || l.Cell > maxCell:
		return bad("cell", l.Cell)
	case l.StartedAtMs < 0 || l.StartedAtMs > float64(now.Add(aheadMost).UnixMilli()):
		return bad("startedAtMs", l.StartedAtMs)
	}
	if l.State() != policy.Ready {
		return nil // it needs no address
	}
	host, port, err := net.SplitHostPort(l.HostPort)
	if n, perr := strconv.Atoi(port); err != nil || perr != nil || host == "" || n < 1 || n > 65535 || len(l.HostPort) > MaxIDBytes {
		return bad("hostPort", strconv.Quote(l.HostPort[:min(len(l.HostPort), MaxIDBytes)]))
	}
	return nil
}

// Known is the list as an endless stream of answers leaves it: the last good line of each server.
// Its size is bounded by MaxLines and MaxLeft.
type Known struct {
	lines map[string]Instance
	left  []string // ids that have left the list, the latest at the end; MaxLeft at most
}

// Whole makes of an answer a list that stands by itself: where it is whole and some of its lines
// don't count, the lines last known stand for them. It takes the answer up.
func (k *Known) Whole(a *Answer) []Instance {
	if k.lines == nil || a.Reset {
		old := k.lines
		k.lines = make(map[string]Instance, len(a.Lines))
		defer func() {
			for id := range old {
				k.leave(id)
			}
		}()
		for _, id := range a.Kept {
			if l, known := old[id]; known {
				k.lines[id] = l
			}
		}
	}
	for _, l := range a.Lines {
		if l.State() == policy.Removed {
			delete(k.lines, l.InstanceID)
			k.leave(l.InstanceID)
		} else if _, known := k.lines[l.InstanceID]; known || len(k.lines) < MaxInstances {
			k.lines[l.InstanceID] = l
		}
	}
	lines := a.Lines
	if a.Reset {
		listed := make(map[string]bool, len(lines))
		for _, l := range lines {
			listed[l.InstanceID] = true
		}
		for _, id := range a.Kept {
			if l, known := k.lines[id]; known && !listed[id] {
				listed[id] = true
				lines = append(lines, l)
			}
		}
	}
	return lines
}

// leave remembers an id that is not on the list any more.
func (k *Known) leave(id string) {
	if _, listed := k.lines[id]; listed || slices.Contains(k.left, id) {
		return
	}
	if len(k.left) == MaxLeft {
		k.left = slices.Delete(k.left, 0, 1)
	}
	k.left = append(k.left, id)
}

// Len is how many servers are on the list.
func (k *Known) Len() int { return len(k.lines) }

// Lines gives the last good lines of all servers on the list, by their ids.
func (k *Known) Lines() []Instance {
	lines := make([]Instance, 0, len(k.lines))
	for _, l := range k.lines {
		lines = append(lines, l)
	}
	slices.SortFunc(lines, func(x, y Instance) int { return strings.Compare(x.InstanceID, y.InstanceID) })
	return lines
}

// Line gives the last good line of a server that is on the list.
func (k *Known) Line(id string) (Instance, bool) {
	l, listed := k.lines[id]
	return l, listed
}

// Seen tells whether an id is on the list, or was and is remembered: a server that is just
// being replaced under its id is nobody's for a while.
func (k *Known) Seen(id string) bool {
	_, listed := k.lines[id]
	return listed || slices.Contains(k.left, id)
}

// Serves tells whether a server is known that may be sent to.
func (k *Known) Serves() bool {
	for _, l := range k.lines {
		if l.State() == policy.Ready {
			return true
		}
	}
	return false
}

// Pace says when discovery is asked again. All nodes lose it together and start together: what
// they do next must not come in step.
type Pace struct {
	First, Most time.Duration // the wait after the first failure, and the longest
	next        time.Duration
}

// Failed gives the wait after a call that failed, or whose answer is in doubt; draw is
// from 0 to 1 and spreads it from half of the wait to the whole.
func (p *Pace) Failed(draw float64) time.Duration {
	p.next = min(max(2*p.next, p.First), p.Most)
	return time.Duration(float64(p.next) * (0.5 + draw/2))
}

// Good is told of one that went well.
func (p *Pace) Good() { p.next = 0 }
