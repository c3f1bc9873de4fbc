package h1server

// The table of client connections: what package connlimit decides is carried out on the sockets here.

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yokestall/internal/adminstate"
	"yokestall/internal/connlimit"
)

const (
	// unlimitedIdle is longer than any connection is idle.
	unlimitedIdle = time.Duration(math.MaxInt64)
	// idleCheckInterval is how often lame duck mode and a drain to the successor look for idle connections.
	idleCheckInterval = 50 * time.Millisecond
)

// clientConns are the connections of a server's clients.
type clientConns struct {
	changed        chan struct{} // of capacity 1; holds a token after a connection ended or changed its phase
	listenerClosed chan struct{}
	closeListener  sync.Once
	readAheadBytes atomic.Int64 // of all connections

	// mu guards the fields below.
	mu           sync.Mutex
	start        time.Time // the zero of the table's times
	table        *connlimit.Table
	draining     bool
	lameDuck     adminstate.LameDuckMode
	stopLameDuck context.CancelFunc // ends runLameDuck; set in lame duck mode
	// idleHTTP2 are the HTTP/2 connections with no open stream. The table counts them as busy: closing one without a
	// GOAWAY could cross a request (RFC 9113, 6.8). net/http's server closes them after keepAliveTimeout or when it
	// shuts down.
	idleHTTP2 map[*clientConn]struct{}
}

func newClientConns(limits connlimit.Limits) *clientConns {
	return &clientConns{
		changed: make(chan struct{}, 1), listenerClosed: make(chan struct{}),
		start: time.Now(), table: connlimit.New(limits), idleHTTP2: map[*clientConn]struct{}{},
	}
}

// now returns the time since the start. mu is locked.
func (cs *clientConns) now() time.Duration { return time.Since(cs.start) }

// admit gives a new connection a place, waiting for one if necessary. It returns nil if the listener is closed before.
func (cs *clientConns) admit(nc net.Conn) *clientConn {
	c := newClientConn(nc, cs)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for {
		entry, victim, wait := cs.table.Admit(cs.now(), c)
		switch {
		case entry != nil:
			c.entry = entry
			return c
		case victim != nil:
			cs.closeIfIdle(victim)
			continue
		}
		cs.mu.Unlock()
		listenerClosed := cs.awaitChange(wait)
		cs.mu.Lock()
		if listenerClosed {
			return nil
		}
	}
}

// awaitChange waits until a connection changes, at most for limit. It returns true if the listener is closed.
func (cs *clientConns) awaitChange(limit time.Duration) (listenerClosed bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cs.changed:
	case <-cs.listenerClosed:
		return true
	}
	return false
}

// notifyChanged wakes awaitChange and drain.
func (cs *clientConns) notifyChanged() {
	select {
	case cs.changed <- struct{}{}:
	default:
	}
}

// bytesReceived reports to the table that bytes were received, and makes room for their sender. It returns false if
// the connection is closed. mu is locked.
func (cs *clientConns) bytesReceived(c *clientConn) (open bool) {
	if c.entry.Removed() {
		return false
	}
	if cs.table.BytesReceived(cs.now(), c.entry) {
		cs.closeVictims()
		if !cs.table.AssignPlace(c.entry) {
			cs.close(c)
		}
	}
	cs.notifyChanged()
	return !c.entry.Removed()
}

// closeVictims closes the connections that have to make room. mu is locked.
func (cs *clientConns) closeVictims() {
	for {
		now := cs.now()
		victim := cs.table.NextToClose(now)
		if victim == nil {
			return
		}
		if c := victim.Owner.(*clientConn); c.stopReadingIfIdle() {
			cs.close(c)
		} else {
			cs.table.ExtendGrace(now, victim) // a request that has arrived meanwhile would be lost
		}
	}
}

// closeExpired closes the connections that were idle for idleTimeout, or on which nothing was received for newTimeout,
// except those with received bytes that were not read yet: these are served. mu is locked.
func (cs *clientConns) closeExpired(idleTimeout, newTimeout time.Duration) {
	for now := cs.now(); ; {
		entry := cs.table.NextExpired(now, idleTimeout, newTimeout)
		if entry == nil {
			return
		}
		cs.closeIfIdle(entry)
	}
}

// closeIfIdle closes a connection that the table takes for idle. If bytes were received that the table does not know
// of, it reports them instead. mu is locked.
func (cs *clientConns) closeIfIdle(entry *connlimit.Conn) {
	if c := entry.Owner.(*clientConn); c.stopReadingIfIdle() {
		cs.close(c)
	} else {
		cs.bytesReceived(c)
	}
}

// close closes a connection, once. mu is locked.
func (cs *clientConns) close(c *clientConn) error {
	if c.entry.Removed() {
		return nil
	}
	cs.table.Remove(c.entry)
	delete(cs.idleHTTP2, c)
	cs.notifyChanged()
	defer c.discardReadAhead()
	return c.Conn.Close()
}

// onStateChange is the ConnState hook of net/http's server. It follows which connections are between two requests.
func (cs *clientConns) onStateChange(nc net.Conn, state http.ConnState) {
	c := unwrapClientConn(nc)
	if c == nil || state != http.StateIdle && state != http.StateActive {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case c.http2 && state == http.StateIdle && !c.entry.Removed():
		cs.idleHTTP2[c] = struct{}{}
		cs.notifyChanged()
		return
	case state == http.StateActive:
		delete(cs.idleHTTP2, c)
		return
	}
	cs.table.ResponseSent(cs.now(), c.entry)
	if cs.draining || cs.lameDuck.ClosesIdle(cs.now()) {
		cs.closeExpired(0, unlimitedIdle)
	}
	cs.closeVictims()
	cs.notifyChanged()
}

// runLameDuck closes idle connections as lame duck mode requires, until ctx ends.
func (cs *clientConns) runLameDuck(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		cs.mu.Lock()
		if cs.lameDuck.ClosesIdle(cs.now()) {
			cs.closeExpired(0, adminstate.LameDuckNotice)
		}
		cs.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainToSuccessor closes connections that were idle, or new, for idleTimeout, and waits until none is left or ctx
// ends. All others end with their next response.
func (cs *clientConns) drainToSuccessor(ctx context.Context, idleTimeout time.Duration) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		cs.mu.Lock()
		cs.closeExpired(idleTimeout, idleTimeout)
		remaining := cs.table.Len()
		cs.mu.Unlock()
		if remaining == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drain closes connections as they become idle, and waits until none is left but idle HTTP/2 connections, or ctx ends.
func (cs *clientConns) drain(ctx context.Context) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	cs.closeExpired(0, unlimitedIdle)
	for cs.table.Len() > len(cs.idleHTTP2) && ctx.Err() == nil {
		cs.mu.Unlock()
		select {
		case <-cs.changed:
		case <-ctx.Done():
		}
		cs.mu.Lock()
	}
}

// newClientConn returns a connection without an entry in the table.
func newClientConn(nc net.Conn, cs *clientConns) *clientConn {
	c := &clientConn{Conn: nc, conns: cs}
	if sc, ok := nc.(syscall.Conn); ok {
		c.rawConn, _ = sc.SyscallConn()
	}
	c.readFunc = c.readAvailable
	return c
}
