package h1server

// This file carries out on the sockets what package connlimit decides about the table of client connections.

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
	"yokestall/internal/fairshare"
)

const (
	// unlimitedIdle is a timeout that no connection reaches.
	unlimitedIdle = time.Duration(math.MaxInt64)
	// idleCheckInterval is how often lame duck mode and drains look for idle connections to close.
	idleCheckInterval = 50 * time.Millisecond
	// drainIdleTimeout is how long a connection stays open in a drain after an answer that did not announce the close, since
	// its head was sent before. The client's next request may be on its way; its answer announces the close.
	drainIdleTimeout = 100 * time.Millisecond
)

// clientConns holds the client connections of one server.
type clientConns struct {
	countsFields   bool          // see clientConn.countsFields
	events         *eventLog     // nil: connections are not logged
	changed        chan struct{} // capacity 1; holds a value after a connection was closed or changed its phase
	listenerClosed chan struct{} // closed with the listener
	closeListener  sync.Once     // closes listenerClosed
	readAheadBytes atomic.Int64  // bytes read ahead on all connections, with those reserved for reads in progress

	start  time.Time // time zero of the durations that the table and shares are given
	shares fairshare.Ledger
	ends   [endReasonCount]int64 // number of connections that have ended, by reason; guarded by mu

	// mu guards the fields below.
	mu           sync.Mutex
	table        *connlimit.Table
	lameDuck     adminstate.LameDuckMode
	stopLameDuck context.CancelFunc // ends runLameDuck; not nil once lame duck mode was entered
	// idleHTTP2 holds the HTTP/2 connections that have no open stream. The table counts them as busy, because closing
	// such a connection without a GOAWAY could lose a request that is on its way (RFC 9113, 6.8). net/http's server
	// closes them after keepAliveTimeout or when it shuts down.
	idleHTTP2 map[*clientConn]struct{}
}

func newClientConns(limits connlimit.Limits) *clientConns {
	return &clientConns{
		changed: make(chan struct{}, 1), listenerClosed: make(chan struct{}),
		start: time.Now(), table: connlimit.New(limits), idleHTTP2: map[*clientConn]struct{}{},
	}
}

// now returns the time since cs.start. The caller holds mu.
func (cs *clientConns) now() time.Duration { return cs.sinceStart() }

// sinceStart returns the time since cs.start, which never changes.
func (cs *clientConns) sinceStart() time.Duration { return time.Since(cs.start) }

// admit gives a new connection a place in the table and waits for one if necessary. It returns nil if the listener is
// closed while it waits.
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

// awaitChange waits until notifyChanged is called, the listener is closed or limit has passed. It reports whether the
// listener is closed.
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

// notifyChanged wakes the goroutine that waits in awaitChange or drain, or the next one to wait there.
func (cs *clientConns) notifyChanged() {
	select {
	case cs.changed <- struct{}{}:
	default:
	}
}

// bytesReceived reports to the table that bytes were received on a connection. If they are the connection's first, it
// closes other connections to make room, or this one if there is no room. It returns false if the connection is closed.
// The caller holds mu.
func (cs *clientConns) bytesReceived(c *clientConn) (open bool) {
	if c.entry.Removed() {
		return false
	}
	if cs.table.BytesReceived(cs.now(), c.entry) {
		cs.closeVictims()
		if !cs.table.AssignSlot(c.entry) {
			c.endsBecause(endNoPlace)
			cs.close(c)
		}
	}
	cs.notifyChanged()
	return !c.entry.Removed()
}

// closeVictims closes the connections that the table selects to make room, except those with unread bytes. The caller
// holds mu.
func (cs *clientConns) closeVictims() {
	for {
		now := cs.now()
		victim := cs.table.NextToClose(now)
		if victim == nil {
			return
		}
		c := victim.Owner.(*clientConn)
		if (!victim.Partial() || c.awaitsClient(now)) && c.stopReadingIfIdle() {
			c.endsBecause(endPlaceWanted)
			cs.close(c)
		} else {
			cs.table.ExtendGrace(now, victim) // closing it would lose a request that has arrived
		}
	}
}

// closeExpired closes the connections that have been idle for idleTimeout, and those that were accepted newTimeout ago
// or earlier and on which nothing has been received yet. Connections with received bytes that were not read yet stay
// open, and their requests are served. The caller holds mu.
func (cs *clientConns) closeExpired(idleTimeout, newTimeout time.Duration) {
	for now := cs.now(); ; {
		entry := cs.table.NextExpired(now, idleTimeout, newTimeout)
		if entry == nil {
			return
		}
		cs.closeIfIdle(entry)
	}
}

// closeIfIdle closes a connection that is idle or new according to the table. If bytes were received of which the table
// was not told, closeIfIdle reports them to the table instead. The caller holds mu.
func (cs *clientConns) closeIfIdle(entry *connlimit.Conn) {
	if c := entry.Owner.(*clientConn); c.stopReadingIfIdle() {
		c.endsBecause(endIdle)
		cs.close(c)
	} else {
		cs.bytesReceived(c)
	}
}

// close closes a connection and removes it from the table. Further calls have no effect. The caller holds mu.
func (cs *clientConns) close(c *clientConn) error {
	if c.entry.Removed() {
		return nil
	}
	cs.table.Remove(c.entry)
	cs.recordEnd(c)
	delete(cs.idleHTTP2, c)
	cs.shares.Close(&c.share)
	cs.notifyChanged()
	defer c.discardReadAhead()
	return c.Conn.Close()
}

// onStateChange is the ConnState hook of net/http's server. It records which connections are idle between two requests,
// and closes those that the limits require to be closed.
func (cs *clientConns) onStateChange(nc net.Conn, state http.ConnState) {
	c := unwrapClientConn(nc)
	if c == nil || state != http.StateIdle && state != http.StateActive {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if _, ok := nc.(http2Conn); ok {
		cs.onHTTP2StateChange(c, state)
		return
	}
	if state == http.StateActive {
		return
	}
	c.answerFinished()
	c.framing.expectHeader()
	c.lingers.Store(false) // net/http has read the body to its end
	cs.table.ResponseSent(cs.now(), c.entry)
	cs.closeVictims()
	cs.notifyChanged()
}

// http2Conn is implemented by the connections for which HTTP/2's server calls the ConnState hook.
type http2Conn interface{ HTTP2() }

// onHTTP2StateChange records whether a connection over HTTP/2 has open streams. It leaves the table as it is: a connection is
// idle before its first stream too, while the stream's request may have been read with the first bytes of the connection. The
// caller holds mu.
func (cs *clientConns) onHTTP2StateChange(c *clientConn, state http.ConnState) {
	if state == http.StateActive {
		c.handlerBegins() // the handler of the first stream begins some time after the hook
		delete(cs.idleHTTP2, c)
		return
	}
	c.answerFinished()
	if !c.entry.Removed() {
		cs.idleHTTP2[c] = struct{}{}
		cs.notifyChanged()
	}
}

// runLameDuck closes idle connections as lame duck mode requires, until ctx ends.
func (cs *clientConns) runLameDuck(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		cs.mu.Lock()
		if cs.lameDuck.ClosesIdle(cs.now()) {
			cs.closeExpired(drainIdleTimeout, adminstate.UnreadyPropagationDelay)
		}
		cs.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainToSuccessor closes the connections that have been idle, or new, for idleTimeout, and returns when no connection
// is left or ctx ends. The caller has all other connections closed with their next response.
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

// drain closes the connections that have been idle for drainIdleTimeout. It returns when only idle HTTP/2 connections are left or
// ctx ends. The caller has all other connections closed with their next response.
func (cs *clientConns) drain(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for {
		cs.closeExpired(drainIdleTimeout, unlimitedIdle)
		if cs.table.Len() <= len(cs.idleHTTP2) || ctx.Err() != nil {
			return
		}
		cs.mu.Unlock()
		select {
		case <-cs.changed:
		case <-ticker.C:
		case <-ctx.Done():
		}
		cs.mu.Lock()
	}
}

// newClientConn returns a connection that has no entry in the table yet.
func newClientConn(nc net.Conn, cs *clientConns) *clientConn {
	c := &clientConn{Conn: nc, conns: cs, countsFields: cs.countsFields}
	c.framing.expectHeader()
	if sc, ok := nc.(syscall.Conn); ok {
		c.rawConn, _ = sc.SyscallConn()
	}
	c.readFunc = c.readAvailable
	return c
}
