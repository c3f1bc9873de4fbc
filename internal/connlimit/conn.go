package connlimit

import "time"

// phase is the state of a connection with regard to its requests.
type phase uint8

const (
	phaseNew        phase = iota // nothing was received on the connection
	phasePartial                 // a part of a request was received
	phaseIdle                    // no request is in progress, after the first request
	phaseIdleReused              // no request is in progress, after the second or a later request
	phaseBusy                    // a complete request was received, and its response was not sent yet
	phaseRemoved                 // the connection is no longer in the table
	phaseCount
)

// Conn is a connection in a Table. Table.Admit creates it.
type Conn struct {
	// Owner is the owner that was given to Table.Admit. The package does not use it.
	Owner any

	phase      phase
	phaseSince time.Duration
	requests   int  // number of complete requests
	pipelined  bool // bytes of a further request were received while the connection was busy
	overflow   bool

	// previous and next are the neighbours in the connList of the phase.
	previous, next *Conn
}

// Overflow reports whether the connection exceeds Limits.Active and only gets a response with Retry-After.
func (c *Conn) Overflow() bool { return c.overflow }

// Partial reports whether a part of a request was received, and not all of it as far as the table was told.
func (c *Conn) Partial() bool { return c.phase == phasePartial }

// Removed reports whether the connection has left the table.
func (c *Conn) Removed() bool { return c.phase == phaseRemoved }

// connList is a doubly linked list of connections. The links are fields of Conn, so that a change of the phase, which
// happens several times for each request, needs no allocation.
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
