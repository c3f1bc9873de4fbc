package connlimit

import "time"

const (
	// NewGrace is how long a connection on which nothing was received keeps its place where others want it.
	NewGrace = 20 * time.Millisecond
	// PartialGrace is the same for a connection on which a part of a request was received.
	PartialGrace = 150 * time.Millisecond
	// reusedIdleFactor is how many times as long as others a connection with more than one request may be idle
	// before it is closed first. It is a ratio, not an order: a client that no longer returns has to lose its
	// place in the end.
	reusedIdleFactor = 8
)

// Table holds the connections of one server. It is not safe for concurrent use. Times are on any clock that does
// not go back.
type Table struct {
	limits   Limits
	phases   [phaseCount]connList // by phase, the longest in it first
	active   int                  // connections that are neither new nor overflow
	overflow int
}

// New makes a table. It panics on limits that are out of their range.
func New(l Limits) *Table {
	l.mustBeValid()
	return &Table{limits: l}
}

// Resize changes the limits, which have to be as New wants them. Connections beyond smaller limits are closed as
// others are admitted: the caller closes those that NextToClose gives.
func (t *Table) Resize(l Limits) {
	l.mustBeValid()
	t.limits = l
}

// Len gives the number of connections. It is at most Limits.Active + Limits.New + Limits.Overflow, but for
// connections that were there before a Resize.
func (t *Table) Len() int { return t.active + t.overflow + t.phases[fresh].length }

// Idle gives the number of connections between two requests.
func (t *Table) Idle() int { return t.phases[idle].length + t.phases[idleReused].length }

// Admit takes in a new connection. If the limit of new ones is reached it gives instead either the one that has
// to be closed first (the caller closes it and calls Remove, or calls BytesReceived if it has bytes to read), or
// how long to wait before the next call.
func (t *Table) Admit(now time.Duration, owner any) (c, victim *Conn, wait time.Duration) {
	if t.phases[fresh].length >= t.limits.New {
		first := t.first(fresh)
		if left := NewGrace - (now - first.phaseSince); left > 0 {
			return nil, nil, left
		}
		return nil, first, 0
	}
	c = &Conn{Owner: owner, phase: fresh, phaseSince: now}
	t.phases[fresh].pushBack(c)
	return c, nil, 0
}

// BytesReceived records that bytes were received, and reports whether they are the connection's first. If they
// are, the caller closes what NextToClose gives, and then calls AssignPlace.
func (t *Table) BytesReceived(now time.Duration, c *Conn) (first bool) {
	switch c.phase {
	case fresh:
		t.active++
		t.move(now, c, partial)
		return true
	case idle, idleReused:
		t.move(now, c, partial)
	case busy:
		c.pipelined = true
	}
	return false
}

// AssignPlace finds a place for a connection on which the first bytes were received. Beyond Limits.Active it
// becomes an overflow connection. It reports false if there is no place for that either, and the caller has to
// close the connection and call Remove.
func (t *Table) AssignPlace(c *Conn) bool {
	if c.phase != partial || c.overflow || t.active <= t.limits.Active {
		return true
	}
	t.active--
	t.overflow++
	c.overflow = true
	return t.overflow <= t.limits.Overflow
}

// RequestBuffered records that all bytes of a request were read from the connection, before its handler has seen
// them. The connection is busy from here on: closing it would lose the request.
func (t *Table) RequestBuffered(now time.Duration, c *Conn) {
	if c.phase == partial && !c.overflow {
		t.move(now, c, busy)
	}
}

// RequestComplete records that a request has been received to its last byte.
func (t *Table) RequestComplete(now time.Duration, c *Conn) {
	if c.phase == removed {
		return
	}
	c.requests++
	t.move(now, c, busy)
}

// ResponseSent records that the response was sent and the connection stays open. It is idle, unless bytes of the
// next request were received already.
func (t *Table) ResponseSent(now time.Duration, c *Conn) {
	switch {
	case c.phase == removed:
	case c.pipelined:
		c.pipelined = false
		t.move(now, c, partial)
	case c.requests > 1:
		t.move(now, c, idleReused)
	default:
		t.move(now, c, idle)
	}
}

// ExtendGrace keeps a connection that NextToClose gave, since bytes on it were not read yet: its grace begins
// anew.
func (t *Table) ExtendGrace(now time.Duration, c *Conn) {
	if c.phase == partial {
		t.move(now, c, partial)
	} else {
		t.BytesReceived(now, c)
	}
}

// NextToClose gives the next connection to close for the reserve or for Limits.Active; nil if there is none. The
// caller closes it and calls Remove, or calls ExtendGrace if it has bytes to read.
//
// While the reserve is in use, the first of these that exists is closed:
//   - the connection that is idle after its first request for longest, unless a reused one has been idle for
//     reusedIdleFactor times as long;
//   - the connection that is partial for longest, if it is past its grace, and either there is a reused idle one or
//     Limits.Active is exceeded;
//   - the reused connection that is idle for longest.
func (t *Table) NextToClose(now time.Duration) *Conn {
	if !t.reserveInUse() {
		return nil
	}
	once, reused, part := t.first(idle), t.first(idleReused), t.first(partial)
	if part != nil && now-part.phaseSince < PartialGrace {
		part = nil
	}
	switch {
	case once != nil && (reused == nil || now-reused.phaseSince <= reusedIdleFactor*(now-once.phaseSince)):
		return once
	case part != nil && (reused != nil || t.active > t.limits.Active):
		return part
	}
	return reused
}

// Saturated reports whether the reserve is in use and no idle connection is left to close. A response had better
// close its connection then: a close by the response can't cross a request.
func (t *Table) Saturated() bool { return t.reserveInUse() && t.Idle() == 0 }

func (t *Table) reserveInUse() bool { return t.active > t.limits.Active-t.limits.Reserve }

// NextExpired gives a connection that was idle for idleTimeout, or new for newTimeout; nil if there is none.
func (t *Table) NextExpired(now, idleTimeout, newTimeout time.Duration) *Conn {
	for _, p := range []phase{idle, idleReused, fresh} {
		timeout := idleTimeout
		if p == fresh {
			timeout = newTimeout
		}
		if c := t.first(p); c != nil && now-c.phaseSince >= timeout {
			return c
		}
	}
	return nil
}

// Remove takes a connection out. A second call for it has no effect.
func (t *Table) Remove(c *Conn) {
	switch {
	case c.phase == removed:
		return
	case c.overflow:
		t.overflow--
	case c.phase != fresh:
		t.active--
	}
	t.phases[c.phase].remove(c)
	c.phase = removed
}

// first gives the connection that is longest in a phase; nil if there is none.
func (t *Table) first(p phase) *Conn { return t.phases[p].head }

func (t *Table) move(now time.Duration, c *Conn, to phase) {
	t.phases[c.phase].remove(c)
	c.phase, c.phaseSince = to, now
	t.phases[to].pushBack(c)
}
