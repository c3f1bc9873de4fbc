package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// silentGrace is how long a new connection that says nothing is kept where
	// others want its place. A client connects because it has something to ask.
	silentGrace = 20 * time.Millisecond
	// partGrace is the same for one that has sent a part of a request.
	partGrace = 150 * time.Millisecond
)

// clientConns keeps the number of client connections under a cap. Over it, those
// make room that say nothing, then the longest idle ones, then those that don't say
// all: a flood of them must not turn away clients that ask. Idle ones go at once: to
// wait for them to age would hold up all that come behind, to the end of their time.
// A newcomer waits only while one of the others is about to come of age. Where all are at work it is answered with a
// refusal, as long as spare descriptors last.
type clientConns struct {
	max, spare int
	changed    chan struct{} // poked when one ends or changes its phase
	ended      chan struct{} // closed with the listener
	end        sync.Once

	mu       sync.Mutex
	open     int
	silent   list.List // of *clientConn that has sent nothing yet, the longest first
	partial  list.List // the same of those with a part of a request
	idle     list.List // and of those between two requests
	draining bool
}

func newClientConns(max, spare int) *clientConns {
	return &clientConns{max: max, spare: spare, changed: make(chan struct{}, 1), ended: make(chan struct{})}
}

// clientConn is a connection that counts. It is in one of the lists, or at work.
type clientConn struct {
	net.Conn
	conns *clientConns
	over  bool // accepted over the cap

	// The fields below are guarded by conns.mu.
	in    *list.List
	place *list.Element
	since time.Time // in this list
	ahead bool      // bytes came while it was at work
	shut  bool
}

// Read implements net.Conn. What has been read from a connection that was shut
// meanwhile counts as not read: nobody is going to answer it.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case c.shut:
		return 0, net.ErrClosed
	case c.in == &cs.silent, c.in == &cs.idle:
		cs.move(c, &cs.partial)
	case c.in == nil:
		c.ahead = true
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

// whole tells that a request has come to its last byte.
func (c *clientConn) whole() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.shut {
		c.conns.move(c, nil)
	}
}

// close ends a connection, once; cs.mu is held.
func (cs *clientConns) close(c *clientConn) error {
	if c.shut {
		return nil
	}
	c.shut = true
	cs.open--
	cs.move(c, nil)
	return c.Conn.Close()
}

// move puts a connection into a list, or nil for one at work; cs.mu is held.
func (cs *clientConns) move(c *clientConn, to *list.List) {
	if c.in != nil {
		c.in.Remove(c.place)
	}
	c.in, c.place, c.since = to, nil, time.Now()
	if to != nil {
		c.place = to.PushBack(c)
	}
	select {
	case cs.changed <- struct{}{}:
	default:
	}
}

// state follows which connections are between two requests.
func (cs *clientConns) state(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok || s != http.StateIdle {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case c.shut:
	case c.ahead: // the next request, or a part of it, is in net/http's hands
		c.ahead = false
		cs.move(c, &cs.partial)
	case cs.draining:
		cs.close(c)
	default:
		cs.move(c, &cs.idle)
	}
}

// oldest gives the connection that has to make room first, and in how long it
// may be asked to; nil if all are at work. cs.mu is held.
func (cs *clientConns) oldest() (first *clientConn, wait time.Duration) {
	now := time.Now()
	for e := cs.silent.Front(); e != nil; e = cs.silent.Front() {
		c := e.Value.(*clientConn)
		if now.Sub(c.since) < silentGrace || quiet(c.Conn) {
			break
		}
		cs.move(c, &cs.partial) // it has spoken: this node was too busy to listen
	}
	for _, l := range []struct {
		conns *list.List
		grace time.Duration
	}{{&cs.silent, silentGrace}, {&cs.idle, 0}, {&cs.partial, partGrace}} {
		if e := l.conns.Front(); e != nil {
			c := e.Value.(*clientConn)
			if left := l.grace - now.Sub(c.since); first == nil || left < wait {
				first, wait = c, left
			}
			if wait <= 0 {
				break
			}
		}
	}
	return first, wait
}

// admit counts a new connection; nil if there is no place for it.
func (cs *clientConns) admit(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, conns: cs}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for cs.open >= cs.max {
		first, wait := cs.oldest()
		if first == nil {
			if cs.open >= cs.max+cs.spare {
				return nil
			}
			c.over = true
			break
		}
		if wait <= 0 {
			cs.close(first)
			continue
		}
		cs.mu.Unlock()
		stopped := cs.pause(wait)
		cs.mu.Lock()
		if stopped {
			return nil
		}
	}
	cs.open++
	cs.move(c, &cs.silent)
	return c
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

// drain closes connections as they fall idle and waits until none is left.
func (cs *clientConns) drain(ctx context.Context) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	for e := cs.idle.Front(); e != nil; e = cs.idle.Front() {
		cs.close(e.Value.(*clientConn))
	}
	for cs.open > 0 && ctx.Err() == nil {
		cs.mu.Unlock()
		select {
		case <-cs.changed:
		case <-ctx.Done():
		}
		cs.mu.Lock()
	}
}

// quiet tells that nothing can be read from a connection that is open: no
// bytes, no end.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Control(func(fd uintptr) { // not Read: it would wait for one that reads already
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && nothing
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
