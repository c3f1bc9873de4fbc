package fleet

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	maxRelayConns    = 4096     // both sides' connections of a relay; further ones are reset
	relayBufferBytes = 16 << 10 // of each direction of a connection
	relayDialTimeout = time.Second
)

// Relay carries TCP connections to a target, as its link lets it. Create it with NewRelay; its methods are safe for
// concurrent use.
type Relay struct {
	Addr     string // where it listens
	listener net.Listener

	mu      sync.Mutex
	target  string
	link    Link
	changed chan struct{} // closed when link changes
	conns   map[net.Conn]bool
	closed  bool
	running sync.WaitGroup
}

// NewRelay starts a relay on a free port of 127.0.0.1. Its error is the listener's.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{
		Addr:     l.Addr().String(),
		listener: l,
		target:   target,
		changed:  make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	r.running.Go(r.accept)
	return r, nil
}

// SetLink changes the link. Connections that lost bytes can't go on, and are reset when the loss ends.
func (r *Relay) SetLink(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l == r.link || r.closed {
		return
	}
	lossEnds := r.link.lossy() && !l.lossy()
	r.link = l
	close(r.changed)
	r.changed = make(chan struct{})
	if l.Reset || lossEnds {
		r.resetConns()
	}
}

// SetTarget sets the target of new connections.
func (r *Relay) SetTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.changed)
		r.listener.Close()
		r.resetConns()
	}
	r.mu.Unlock()
	r.running.Wait()
}

// resetConns resets all connections; r.mu is locked.
func (r *Relay) resetConns() {
	for c := range r.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a connection that ended before it was accepted
		}
		if !r.register(c) {
			reset(c)
			continue
		}
		r.running.Go(func() { r.serve(c) })
	}
}

// register adds a connection, and reports whether the relay's state allows it.
func (r *Relay) register(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.link.Reset || len(r.conns) >= maxRelayConns {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) closeConn(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	reset(c)
}

// serve carries a client's connection until it ends.
func (r *Relay) serve(client net.Conn) {
	defer r.closeConn(client)
	if !r.waitForHandshake() {
		return
	}
	r.mu.Lock()
	addr := r.target
	r.mu.Unlock()
	target, err := net.DialTimeout("tcp", addr, relayDialTimeout)
	if err != nil {
		return
	}
	if !r.register(target) {
		reset(target)
		return
	}
	defer r.closeConn(target)
	var both sync.WaitGroup
	both.Go(func() { r.copy(target, client, true) })
	both.Go(func() { r.copy(client, target, false) })
	both.Wait()
}

// waitForHandshake waits until a handshake with the target can succeed: a link that forwards nothing delays it too. It
// returns false if the connection has to end.
func (r *Relay) waitForHandshake() bool {
	for {
		l, changed, closed := r.state()
		if closed || l.Reset {
			return false
		}
		if !l.lossy() && !l.Buffer {
			return true
		}
		<-changed
	}
}

func (r *Relay) state() (l Link, changed <-chan struct{}, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link, r.changed, r.closed
}

// copy carries one direction of a connection until either end closes.
func (r *Relay) copy(to, from net.Conn, outbound bool) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.forward(to, buffer[:n], outbound) {
			break
		}
		if err != nil {
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok && t.CloseWrite() == nil {
		return // the other direction may have more
	}
	to.Close()
}

// forward forwards a piece as the link lets it. It returns false if the connection has to end.
func (r *Relay) forward(to net.Conn, piece []byte, outbound bool) bool {
	for {
		l, changed, closed := r.state()
		wait := l.wait(len(piece))
		switch {
		case closed || l.Reset:
			return false
		case outbound && l.DropOutbound || !outbound && l.DropInbound:
			return true // lost
		case l.Buffer:
			<-changed
			continue
		case wait > 0 && !sleepUnless(changed, wait):
			continue
		}
		_, err := to.Write(piece)
		return err == nil
	}
}

// sleepUnless waits for a duration. It returns false at once when changed is closed.
func sleepUnless(changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-changed:
		return false
	}
}
