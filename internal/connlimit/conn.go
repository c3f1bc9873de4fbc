package connlimit

import "time"

type phase uint8

const (
	fresh      phase = iota // nothing was received
	partial                 // a part of a request was received
	idle                    // between two requests, after the first
	idleReused              // between two requests, after a later one
	busy                    // a complete request was received, and its response is not sent
	removed                 // no longer in the table
	phaseCount
)

// Conn is a connection in a Table. Table.Admit makes them.
type Conn struct {
	// Owner is for the caller, to find its connection again.
	Owner any

	phase      phase
	phaseSince time.Duration
	requests   int  // complete ones
	pipelined  bool // bytes of a further request were received while busy
	overflow   bool

	// Neighbours in the list of the phase.
	previous, next *Conn
}

// Overflow reports whether the connection is beyond Limits.Active, and only gets a response with Retry-After.
func (c *Conn) Overflow() bool { return c.overflow }

// Removed reports whether the connection has left the table.
func (c *Conn) Removed() bool { return c.phase == removed }

// connList is a list of connections, linked by their own fields: a connection changes its phase several times a
// request, which costs no allocation.
type connList struct {
	head, tail *Conn
	length     int
}

func (l *connList) pushBack(c *Conn) {
	c.previous, c.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = c
	} else {
		l.head = c
	}
	l.tail = c
	l.length++
}

func (l *connList) remove(c *Conn) {
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		l.head = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.tail = c.previous
	}
	c.previous, c.next = nil, nil
	l.length--
}
