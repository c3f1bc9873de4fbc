// Package connlimit decides which client connections a front keeps. It is pure: it
// does no I/O and has no clock. Whoever owns the sockets tells it what happens on
// them and closes those that it names.
//
// A connection is in one of five phases: silent (nothing has come yet), partial (a
// part of a request has), at work (a whole one has), and idle, either after its first
// request or after a later one. All but the silent ones have asked, and share the
// clients' part of the descriptors; a flood that says nothing has places of its own
// and can take none of those.
//
// Where something between the clients and this node grants them only so many
// connections, a newcomer that finds them all taken never shows here. So places are
// kept free ahead of it: as soon as the connections that have asked grow into the
// reserve, an idle one goes.
package connlimit

import (
	"fmt"
	"time"
)

const (
	// SilentGrace is how long a connection that says nothing is kept where others
	// want its place. A client connects because it has something to ask.
	SilentGrace = 20 * time.Millisecond
	// PartialGrace is the same for one that has sent a part of a request.
	PartialGrace = 150 * time.Millisecond
	// comesBack is how many times as long as one that asked once a connection that
	// has come back may be idle before it goes first. It is a ratio, not an order: a
	// place that a former regular no longer uses has to fall to the next one.
	comesBack = 8
)

// Limits are the places of a table. All are counts of connections, 0 or more.
type Limits struct {
	Asked   int // for connections that have asked, the reserve included; at least 1
	Reserve int // of those, kept free of idle ones for newcomers; less than Asked
	Silent  int // for connections that have sent nothing yet; at least 1
	Over    int // past Asked, for those that are only told to come back
}

// Split divides descriptors among silent connections, those over their part and those
// that have asked. places is what a front may hold in all, at least 8; part is the
// clients' part, the most that may have asked. What part leaves of places goes to the
// silent ones; where that is too little, part gives way.
func Split(places, part int) (Limits, error) {
	if places < 8 || part < 4 {
		return Limits{}, fmt.Errorf("%d places and a clients' part of %d: 8 and 4 are the least", places, part)
	}
	over := max(1, places/11)
	silent := max(2, places/6) // a flood of them turns over every SilentGrace
	asked := min(part, places-over-silent)
	return Limits{
		Asked: asked, Reserve: max(1, asked/16), Silent: places - over - asked, Over: over,
	}, nil
}

type phase uint8

const (
	silent phase = iota
	partial
	idleOnce  // idle since its first request
	idleOften // idle since a later one
	atWork
	ended
	phases
)

// Conn is one connection of a table. The zero value is not usable; Arrive makes them.
type Conn struct {
	// Owner is whatever the caller wants to find again with the connection.
	Owner any

	phase    phase
	before   *Conn // in its phase's list
	behind   *Conn
	since    time.Duration // in this phase
	requests int           // whole ones
	ahead    bool          // bytes of a further request came while at work
	over     bool
}

// Over tells whether the connection has a place only to be told to come back.
func (c *Conn) Over() bool { return c.over }

// Ended tells whether the connection has left the table.
func (c *Conn) Ended() bool { return c.phase == ended }

// Table keeps the connections of one front. It is not safe for concurrent use. Times
// are on any clock that does not go back.
type Table struct {
	limits Limits
	lists  [phases]queue // the longest in its phase first
	asked  int           // connections that have asked, without those over
	over   int
}

// New makes a table. Limits out of their range are a mistake of the program's and panic.
func New(l Limits) *Table {
	l.check()
	return &Table{limits: l}
}

func (l Limits) check() {
	if l.Asked < 1 || l.Reserve < 0 || l.Reserve >= l.Asked || l.Silent < 1 || l.Over < 0 {
		panic(fmt.Sprintf("conntable: limits %+v", l))
	}
}

// Resize changes the limits, which have to be as New wants them. Connections over smaller ones
// make room as newcomers come; the caller closes what Surplus names.
func (t *Table) Resize(l Limits) {
	l.check()
	t.limits = l
}

// Open is how many connections are in the table; never more than
// Limits.Asked + Limits.Silent + Limits.Over, but for what a Resize has left over.
func (t *Table) Open() int { return t.asked + t.over + t.lists[silent].length }

// Idle is how many of them are between two requests.
func (t *Table) Idle() int { return t.lists[idleOnce].length + t.lists[idleOften].length }

// Arrive takes in a new connection. Where the silent ones leave no room it gives, in
// place of it, the one that has to go first (the caller closes it and calls End, or
// calls Spoke if it has bytes to read), or how long to wait before asking again.
func (t *Table) Arrive(now time.Duration, owner any) (c, victim *Conn, wait time.Duration) {
	if t.lists[silent].length >= t.limits.Silent {
		first := t.first(silent)
		if left := SilentGrace - (now - first.since); left > 0 {
			return nil, nil, left
		}
		return nil, first, 0
	}
	c = &Conn{Owner: owner, phase: silent}
	c.since = now
	t.lists[silent].push(c)
	return c, nil, 0
}

// Spoke tells that bytes came. If they are a connection's first ones the caller makes
// room, by Surplus, and then asks Place.
func (t *Table) Spoke(now time.Duration, c *Conn) (first bool) {
	switch c.phase {
	case silent:
		t.asked++
		t.move(now, c, partial)
		return true
	case idleOnce, idleOften:
		t.move(now, c, partial)
	case atWork:
		c.ahead = true
	}
	return false
}

// Read tells that all bytes of a request that needs no more of them were read: from here on it counts
// as at work. To close its connection then would lose it, however late its handler begins.
func (t *Table) Read(now time.Duration, c *Conn) {
	if c.phase == partial && !c.over {
		t.move(now, c, atWork)
	}
}

// Delay gives one that Surplus named another grace: the node had been too busy to read
// what has come.
func (t *Table) Delay(now time.Duration, c *Conn) {
	if c.phase == partial {
		t.move(now, c, partial)
	} else {
		t.Spoke(now, c)
	}
}

// Surplus gives the next connection that has to make room, nil if none has to or can.
// The caller closes it and calls End, or calls Delay if it has bytes to read.
//
// An idle one goes as soon as the reserve is touched: the one idle for longest, where
// the time of those that came back counts an eighth. Before one of these, and where no
// idle one is left and the clients' part is full, goes one that has not sent all of
// its request for PartialGrace.
func (t *Table) Surplus(now time.Duration) *Conn {
	if t.asked <= t.limits.Asked-t.limits.Reserve {
		return nil
	}
	once, often, part := t.first(idleOnce), t.first(idleOften), t.first(partial)
	if part != nil && now-part.since < PartialGrace {
		part = nil
	}
	switch {
	case once != nil && (often == nil || now-often.since <= comesBack*(now-once.since)):
		return once
	case often != nil && part == nil:
		return often
	case part != nil && (often != nil || t.asked > t.limits.Asked):
		return part
	}
	return nil
}

// Place finds a place for a connection that has just begun to ask. Past the clients'
// part it is one over it; false if those have no place left either and the caller has
// to close it and call End.
func (t *Table) Place(c *Conn) bool {
	if c.phase != partial || c.over || t.asked <= t.limits.Asked {
		return true
	}
	t.asked--
	t.over++
	c.over = true
	return t.over <= t.limits.Over
}

// Whole tells that a request has come to its last byte.
func (t *Table) Whole(now time.Duration, c *Conn) {
	if c.phase == ended {
		return
	}
	c.requests++
	t.move(now, c, atWork)
}

// Crowded tells that connections at work have grown into the reserve, with no idle
// one left to go. An answer then had better say that its connection ends: that makes
// room without a close that could cross a request.
func (t *Table) Crowded() bool {
	return t.asked > t.limits.Asked-t.limits.Reserve && t.Idle() == 0
}

// Answered tells that the answer to a request is out and the connection stays. It is
// idle, unless bytes of the next request came ahead.
func (t *Table) Answered(now time.Duration, c *Conn) {
	switch {
	case c.phase == ended:
	case c.ahead:
		c.ahead = false
		t.move(now, c, partial)
	case c.requests > 1:
		t.move(now, c, idleOften)
	default:
		t.move(now, c, idleOnce)
	}
}

// End takes a connection out; more than once is harmless.
func (t *Table) End(c *Conn) {
	switch {
	case c.phase == ended:
		return
	case c.over:
		t.over--
	case c.phase != silent:
		t.asked--
	}
	t.lists[c.phase].remove(c)
	c.phase = ended
}

// Resting gives a connection that has been between two requests, or silent since it came, for so
// long; nil if there is none.
func (t *Table) Resting(now, idle, quiet time.Duration) *Conn {
	for _, p := range []phase{idleOnce, idleOften, silent} {
		least := idle
		if p == silent {
			least = quiet
		}
		if c := t.first(p); c != nil && now-c.since >= least {
			return c
		}
	}
	return nil
}

func (t *Table) first(p phase) *Conn { return t.lists[p].head }

func (t *Table) move(now time.Duration, c *Conn, to phase) {
	t.lists[c.phase].remove(c)
	c.phase, c.since = to, now
	t.lists[to].push(c)
}

// queue is a list of connections that are linked by their own fields: one changes its
// phase several times a request.
type queue struct {
	head, tail *Conn
	length     int
}

func (q *queue) push(c *Conn) {
	c.before, c.behind = q.tail, nil
	if q.tail != nil {
		q.tail.behind = c
	} else {
		q.head = c
	}
	q.tail = c
	q.length++
}

func (q *queue) remove(c *Conn) {
	if c.before != nil {
		c.before.behind = c.behind
	} else {
		q.head = c.behind
	}
	if c.behind != nil {
		c.behind.before = c.before
	} else {
		q.tail = c.before
	}
	c.before, c.behind = nil, nil
	q.length--
}
