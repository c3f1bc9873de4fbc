package h1server

import (
	"bytes"
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

// clientConns carries out on sockets what the table of client connections decides.
type clientConns struct {
	zero    time.Time
	changed chan struct{} // poked when one ends or changes its phase
	ended   chan struct{} // closed with the listener
	ahead   atomic.Int64  // bytes that were read ahead, of all connections
	end     sync.Once

	mu       sync.Mutex
	table    *connlimit.Table
	draining bool
	duck     adminstate.LameDuckMode
	refill   context.CancelFunc // ends empty; set while the duck is lame
	// resting are HTTP/2 connections with no stream open. They count as at work: to close one
	// without a GOAWAY could cross a request (RFC 9113, 6.8). net/http's server ends them,
	// when they were idle for long or at the end.
	resting map[*clientConn]struct{}
}

func newClientConns(limits connlimit.Limits) *clientConns {
	return &clientConns{
		zero: time.Now(), changed: make(chan struct{}, 1), ended: make(chan struct{}),
		table: connlimit.New(limits), resting: map[*clientConn]struct{}{},
	}
}

func (cs *clientConns) now() time.Duration { return time.Since(cs.zero) }

// clientConn is a connection in the table.
type clientConn struct {
	net.Conn
	conns *clientConns
	entry *connlimit.Conn // guarded by conns.mu, as is
	http2 bool            // a request came over HTTP/2
	seen  fieldScan       // of what is read
	known int             // lengths that its requests had; of their handlers alone
	raw   syscall.RawConn // nil if it has none

	side sync.Mutex // guards what follows; conns.mu is not taken under it
	reading
}

// doubtful tells whether a request has a transfer coding and the connection's bytes held a length
// that belongs to no request so far: one of the two is this one's, or comes behind it, or is in a
// body. Called once for each request, in their order.
func (c *clientConn) doubtful(r *http.Request) bool {
	if len(r.Header["Content-Length"]) > 0 {
		c.known++
	}
	return len(r.TransferEncoding) > 0 && int(c.seen.lengths.Load()) > c.known
}

// coded tells whether the connection's bytes held a transfer coding.
func (c *clientConn) coded() bool { return c.seen.codings.Load() > 0 }

// fieldScan counts the lines in a stream of bytes that begin like the fields which frame a
// message. Lines of bodies count too: it errs on the side of seeing one.
type fieldScan struct {
	start   [len("transfer-encoding") + 1]byte // of the line that is being read
	length  int
	lengths atomic.Int32
	codings atomic.Int32

	// Of the request that is being read; guarded by conns.mu.
	lines  int  // of its head
	headed bool // that has ended
	framed bool // and had, or has so far, a field that tells of a body
}

// whole tells that the request that is being read has come to its end: it has no body.
func (s *fieldScan) whole() bool { return s.headed && !s.framed }

// next has the scan look for the next request's head.
func (s *fieldScan) next() { s.lines, s.headed, s.framed = 0, false, false }

func (s *fieldScan) feed(p []byte) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		s.length += copy(s.start[s.length:], line)
		if end < 0 {
			return
		}
		name, _, _ := bytes.Cut(s.start[:s.length], []byte(":"))
		switch name = bytes.TrimRight(name, " \t\r"); {
		case bytes.EqualFold(name, []byte("content-length")):
			s.lengths.Add(1)
			s.framed = s.framed || !s.headed
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			s.codings.Add(1)
			s.framed = s.framed || !s.headed
		case len(name) == 0 && s.lines > 0: // RFC 9112, 2.2: empty lines ahead of a request are none of it
			s.headed = true
		}
		s.lines++
		s.length = 0
		p = p[end+1:]
	}
}

// Read implements net.Conn. What has been read from a connection that was closed
// meanwhile counts as not read: its client sends the request again elsewhere, so
// nobody may serve it here.
func (c *clientConn) Read(p []byte) (int, error) {
	n, socket, err := c.take(p)
	if socket {
		n, err = c.readSocket(p)
		c.gave(err)
	}
	if n == 0 {
		return n, err
	}
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.seen.feed(p[:n])
	open := cs.spoke(c)
	c.noted()
	if !open {
		return 0, net.ErrClosed
	}
	if c.seen.whole() {
		cs.table.RequestBuffered(cs.now(), c.entry)
	}
	return n, err
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.close(c)
}

// CloseWrite lets a client that still sends see the end of its answer.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// cutUnless has the connection end with a reset where its answer is not whole.
func (c *clientConn) cutUnless(whole bool) {
	if whole {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// whole tells that a request has come to its last byte. Not open: the connection was
// closed before that, and its client asks again elsewhere; over: there is a place for
// the client only to be told when to come back.
func (c *clientConn) whole(http2 bool) (open, over bool) {
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.http2 = http2
	c.seen.next()
	cs.table.RequestComplete(cs.now(), c.entry)
	cs.poke()
	return !c.entry.Removed(), c.entry.Overflow()
}

// last tells whether the answer that is now given had better end the connection.
func (c *clientConn) last() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.table.Saturated()
}

// spoke notes that bytes came, and makes room for who sent them. False if the
// connection is closed. cs.mu is held.
func (cs *clientConns) spoke(c *clientConn) bool {
	if c.entry.Removed() {
		return false
	}
	if cs.table.BytesReceived(cs.now(), c.entry) {
		cs.trim()
		if !cs.table.AssignPlace(c.entry) {
			cs.close(c)
		}
	}
	cs.poke()
	return !c.entry.Removed()
}

// trim closes those that have to make room; cs.mu is held.
func (cs *clientConns) trim() {
	for {
		now := cs.now()
		victim := cs.table.NextToClose(now)
		if victim == nil {
			return
		}
		if c := victim.Owner.(*clientConn); c.rests() {
			cs.close(c)
		} else {
			cs.table.ExtendGrace(now, victim) // what has come meanwhile would be lost on its way
		}
	}
}

// close ends a connection, once; cs.mu is held.
func (cs *clientConns) close(c *clientConn) error {
	if c.entry.Removed() {
		return nil
	}
	cs.table.Remove(c.entry)
	delete(cs.resting, c)
	cs.poke()
	defer c.drop()
	return c.Conn.Close()
}

func (cs *clientConns) poke() {
	select {
	case cs.changed <- struct{}{}:
	default:
	}
}

// state follows which connections are between two requests.
func (cs *clientConns) state(nc net.Conn, s http.ConnState) {
	c := inTable(nc)
	if c == nil || s != http.StateIdle && s != http.StateActive {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case c.http2 && s == http.StateIdle && !c.entry.Removed():
		cs.resting[c] = struct{}{}
		cs.poke()
		return
	case s == http.StateActive:
		delete(cs.resting, c)
		return
	}
	cs.table.ResponseSent(cs.now(), c.entry)
	if cs.draining || cs.duck.ClosesIdle(cs.now()) {
		cs.restEnds(0, never)
	}
	cs.trim()
	cs.poke()
}

// never is longer than any connection rests.
const never = time.Duration(math.MaxInt64)

// emptyEvery is how often a node that is emptied looks at its connections.
const emptyEvery = 50 * time.Millisecond

// empty has the connections closed as the state of the node wants it, until that ends or ctx does.
func (cs *clientConns) empty(ctx context.Context) {
	tick := time.NewTicker(emptyEvery)
	defer tick.Stop()
	for {
		cs.mu.Lock()
		if cs.duck.ClosesIdle(cs.now()) {
			cs.restEnds(0, adminstate.LameDuckNotice)
		}
		cs.mu.Unlock()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// admit takes in a new connection; nil if the listener ended before it had a place.
func (cs *clientConns) admit(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, conns: cs}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.read = c.readNow
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for {
		entry, victim, wait := cs.table.Admit(cs.now(), c)
		switch {
		case entry != nil:
			c.entry = entry
			return c
		case victim != nil:
			if v := victim.Owner.(*clientConn); v.rests() {
				cs.close(v)
			} else {
				cs.spoke(v) // this node was too busy to listen
			}
			continue
		}
		cs.mu.Unlock()
		stopped := cs.pause(wait)
		cs.mu.Lock()
		if stopped {
			return nil
		}
	}
}

// pause waits until something changes, for so long at most; true if the listener ended.
func (cs *clientConns) pause(most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cs.changed:
	case <-cs.ended:
		return true
	}
	return false
}

// leave waits until no connection is left or ctx ends. Those that were idle for patience are
// closed, unless something has come over them; all others end with their next answer.
func (cs *clientConns) leave(ctx context.Context, patience time.Duration) {
	tick := time.NewTicker(emptyEvery)
	defer tick.Stop()
	for {
		cs.mu.Lock()
		cs.restEnds(patience, patience)
		left := cs.table.Len()
		cs.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// restEnds closes connections that have been idle, or silent, for so long, but for those over which
// bytes have come: these are read and answered. cs.mu is held.
func (cs *clientConns) restEnds(idle, silent time.Duration) {
	for now := cs.now(); ; {
		e := cs.table.NextExpired(now, idle, silent)
		if e == nil {
			return
		}
		if c := e.Owner.(*clientConn); c.rests() {
			cs.close(c)
		} else {
			cs.spoke(c)
		}
	}
}

// drain closes connections as they fall idle and waits until none is left but such as rest.
func (cs *clientConns) drain(ctx context.Context) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	cs.restEnds(0, never)
	for cs.table.Len() > len(cs.resting) && ctx.Err() == nil {
		cs.mu.Unlock()
		select {
		case <-cs.changed:
		case <-ctx.Done():
		}
		cs.mu.Lock()
	}
}

// cappedListener counts what it accepts.
type cappedListener struct {
	net.Listener
	conns *clientConns
}

// Accept implements net.Listener.
func (l cappedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// Close implements net.Listener.
func (l cappedListener) Close() error {
	l.conns.end.Do(func() { close(l.conns.ended) })
	return l.Listener.Close()
}
