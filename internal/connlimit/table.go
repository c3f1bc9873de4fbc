package connlimit

import "time"

const (
	// NewGrace is how long a connection on which nothing was received is kept when its place is needed for another
	// connection.
	NewGrace = 20 * time.Millisecond
	// PartialGrace is how long a connection on which only a part of a request was received is kept when its place is
	// needed for another connection.
	PartialGrace = 150 * time.Millisecond
	// reusedIdleFactor is a ratio of idle times: a connection with several requests is closed before a connection with
	// one request only if it has been idle for more than reusedIdleFactor times as long. The rule is a ratio
	// rather than an absolute preference, so that a client that no longer sends requests loses its connection
	// eventually.
	reusedIdleFactor = 8
)

// Table holds the connections of one server. It is not safe for concurrent use. The times that the caller passes to its
// methods may be on any clock that does not go back.
type Table struct {
	limits   Limits
	byPhase  [phaseCount]connList // the connections of each phase, the one that entered it first at the head
	active   int                  // number of connections that are neither new nor overflow
	overflow int
}

// New returns an empty table. It panics if a limit is out of its range.
func New(l Limits) *Table {
	l.mustBeValid()
	return &Table{limits: l}
}

// Resize changes the limits. It panics if a limit is out of its range. Connections that exceed smaller limits are not
// closed at once but as others are admitted: the caller closes the connections that NextToClose returns.
func (t *Table) Resize(l Limits) {
	l.mustBeValid()
	t.limits = l
}

// Len returns the number of connections. It is at most Limits.Active + Limits.New + Limits.Overflow, unless connections
// were admitted before a Resize to smaller limits.
func (t *Table) Len() int { return t.active + t.overflow + t.byPhase[phaseNew].length }

// Idle returns the number of connections that are idle after a request.
func (t *Table) Idle() int { return t.byPhase[phaseIdle].length + t.byPhase[phaseIdleReused].length }

// Admit adds a new connection and returns it as c. If Limits.New is reached, it adds none and returns either a victim,
// the connection that has to be closed first, or how long the caller has to wait before it calls Admit again. The caller
// closes the victim and calls Remove, or calls BytesReceived if the victim has bytes to read.
func (t *Table) Admit(now time.Duration, owner any) (c, victim *Conn, wait time.Duration) {
	if t.byPhase[phaseNew].length >= t.limits.New {
		first := t.oldest(phaseNew)
		if left := NewGrace - (now - first.phaseSince); left > 0 {
			return nil, nil, left
		}
		return nil, first, 0
	}
	c = &Conn{Owner: owner, phase: phaseNew, phaseSince: now}
	t.byPhase[phaseNew].pushBack(c)
	return c, nil, 0
}

// BytesReceived records that bytes were received on a connection, and reports whether they are the connection's first. If
// they are, the caller closes the connections that NextToClose returns, and then calls AssignSlot.
func (t *Table) BytesReceived(now time.Duration, c *Conn) (first bool) {
	switch c.phase {
	case phaseNew:
		t.active++
		t.move(now, c, phasePartial)
		return true
	case phaseIdle, phaseIdleReused:
		t.move(now, c, phasePartial)
	case phaseBusy:
		c.pipelined = true
	}
	return false
}

// AssignSlot assigns a place to a connection on which the first bytes were received. If Limits.Active is exceeded, the
// connection becomes an overflow connection. AssignSlot returns false if that exceeds Limits.Overflow; the caller then
// has to close the connection and call Remove.
func (t *Table) AssignSlot(c *Conn) bool {
	if c.phase != phasePartial || c.overflow || t.active <= t.limits.Active {
		return true
	}
	t.active--
	t.overflow++
	c.overflow = true
	return t.overflow <= t.limits.Overflow
}

// RequestBuffered records that all bytes of a request were read from the connection, before the request's handler has
// seen them. The connection is busy from then on, because closing it would lose the request. RequestBuffered has no effect
// on overflow connections.
func (t *Table) RequestBuffered(now time.Duration, c *Conn) {
	if c.phase == phasePartial && !c.overflow {
		t.move(now, c, phaseBusy)
	}
}

// RequestComplete records that the last byte of a request was received.
func (t *Table) RequestComplete(now time.Duration, c *Conn) {
	if c.phase == phaseRemoved {
		return
	}
	c.requests++
	t.move(now, c, phaseBusy)
}

// ResponseSent records that the response was sent and the connection stays open. The connection is then idle, or partial
// if bytes of the next request were received already.
func (t *Table) ResponseSent(now time.Duration, c *Conn) {
	switch {
	case c.phase == phaseRemoved:
	case c.pipelined:
		c.pipelined = false
		t.move(now, c, phasePartial)
	case c.requests > 1:
		t.move(now, c, phaseIdleReused)
	default:
		t.move(now, c, phaseIdle)
	}
}

// ExtendGrace keeps a connection that NextToClose returned but that has bytes to read. The connection's grace starts
// again; an idle connection becomes partial.
func (t *Table) ExtendGrace(now time.Duration, c *Conn) {
	if c.phase == phasePartial {
		t.move(now, c, phasePartial)
	} else {
		t.BytesReceived(now, c)
	}
}

// NextToClose returns the next connection to close in order to free the reserve or to get back to Limits.Active, or nil if
// there is none. The caller closes the connection and calls Remove, or calls ExtendGrace if the connection has bytes to
// read.
//
// While the reserve is in use, NextToClose returns the first of these connections that exists. A reused connection is one
// with two or more requests.
//   - The connection that has been idle after its first request for longest, unless a reused connection has been idle for
//     more than reusedIdleFactor times as long.
//   - The connection that has been partial for longest, if its grace has passed, and if there is a reused idle connection
//     or Limits.Active is exceeded.
//   - The reused connection that has been idle for longest.
func (t *Table) NextToClose(now time.Duration) *Conn {
	if !t.reserveInUse() {
		return nil
	}
	idleOnce, idleReused, oldestPartial := t.oldest(phaseIdle), t.oldest(phaseIdleReused), t.oldest(phasePartial)
	if oldestPartial != nil && now-oldestPartial.phaseSince < PartialGrace {
		oldestPartial = nil
	}
	switch {
	case idleOnce != nil && (idleReused == nil || now-idleReused.phaseSince <= reusedIdleFactor*(now-idleOnce.phaseSince)):
		return idleOnce
	case oldestPartial != nil && (idleReused != nil || t.active > t.limits.Active):
		return oldestPartial
	}
	return idleReused
}

// Saturated reports whether the reserve is in use and no idle connection is left to close. Responses should then close
// their connections, since a close that comes with the response cannot race with the client's next request.
func (t *Table) Saturated() bool { return t.reserveInUse() && t.Idle() == 0 }

// reserveInUse reports whether the active connections extend into the reserve.
func (t *Table) reserveInUse() bool { return t.active > t.limits.Active-t.limits.Reserve }

// NextExpired returns a connection that has been idle for idleTimeout or new for newTimeout, or nil if there is none.
func (t *Table) NextExpired(now, idleTimeout, newTimeout time.Duration) *Conn {
	for _, p := range []phase{phaseIdle, phaseIdleReused, phaseNew} {
		timeout := idleTimeout
		if p == phaseNew {
			timeout = newTimeout
		}
		if c := t.oldest(p); c != nil && now-c.phaseSince >= timeout {
			return c
		}
	}
	return nil
}

// Remove removes a connection from the table. A second call for the same connection has no effect.
func (t *Table) Remove(c *Conn) {
	switch {
	case c.phase == phaseRemoved:
		return
	case c.overflow:
		t.overflow--
	case c.phase != phaseNew:
		t.active--
	}
	t.byPhase[c.phase].remove(c)
	c.phase = phaseRemoved
}

// oldest returns the connection that has been in a phase for longest, or nil if there is none.
func (t *Table) oldest(p phase) *Conn { return t.byPhase[p].head }

// move puts a connection into a phase, as of now.
func (t *Table) move(now time.Duration, c *Conn, to phase) {
	t.byPhase[c.phase].remove(c)
	c.phase, c.phaseSince = to, now
	t.byPhase[to].pushBack(c)
}
