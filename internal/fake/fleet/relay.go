package fleet

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	maxRelayConns    = 4096     // client and target connections of a relay together; further ones are reset
	relayBufferBytes = 16 << 10 // read buffer of each direction of a connection
	relayDialTimeout = time.Second
)

// Relay forwards TCP connections to a target, subject to the faults of its Link. Create it with NewRelay. Its methods
// are safe for concurrent use.
type Relay struct {
	Addr     string // the address that the relay listens on
	listener net.Listener

	mu      sync.Mutex
	target  string
	link    Link
	changed chan struct{} // closed when link changes
	conns   map[net.Conn]bool
	closed  bool
	running sync.WaitGroup
}

// NewRelay starts a relay on a free port of 127.0.0.1. It fails only if it can't listen.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening as a relay to %s: %w", target, err)
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

// SetLink changes the state of the link. When a fault that discards bytes ends, all connections are reset, since their
// streams may have gaps.
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

// Close closes the relay, resets its connections and waits until its goroutines have ended.
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

// resetConns resets all connections. The caller holds r.mu.
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
			continue // the connection ended before it was accepted
		}
		if !r.register(c) {
			reset(c)
			continue
		}
		r.running.Go(func() { r.serve(c) })
	}
}

// register adds a connection to the relay's connections. It returns false if the relay is closed, the link resets
// connections or maxRelayConns is reached.
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

// serve forwards a client's connection until it ends.
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

// waitForHandshake waits until the link neither discards nor buffers bytes, since such a link would also hold up the TCP
// handshake with the target. It returns false if the connection has to end.
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

// copy forwards one direction of a connection until either end closes.
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
		return // the other direction may still carry data
	}
	to.Close()
}

// forward forwards, delays or discards a piece according to the link. It returns false if the connection has to end.
func (r *Relay) forward(to net.Conn, piece []byte, outbound bool) bool {
	for {
		l, changed, closed := r.state()
		wait := l.wait(len(piece))
		switch {
		case closed || l.Reset:
			return false
		case outbound && l.DropOutbound || !outbound && l.DropInbound:
			return true // the piece is discarded
		case l.Buffer:
			<-changed
			continue
		case wait > 0 && !sleepUnlessClosed(changed, wait):
			continue
		}
		_, err := to.Write(piece)
		return err == nil
	}
}

// sleepUnlessClosed waits for d and returns true, or returns false as soon as changed is closed.
func sleepUnlessClosed(changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-changed:
		return false
	}
}
