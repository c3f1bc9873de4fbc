// Package fleet is a rig of many real processes of the program on loopback: each with a folder of its own,
// every link between two parties through a relay that can fail, signals and kills by a script that is data.
// What happened is judged by records that the parties around the program wrote, not by the program.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Link is what is wrong with a link at present; the zero value is a good one.
type Link struct {
	DropOutbound, DropInbound bool          // what is sent towards the target, or back from it, is lost unseen
	Reset                     bool          // connections are reset, and new ones
	Delay                     time.Duration // before each piece goes on
	Rate                      int           // bytes a second; 0: no limit
	Buffer                    bool          // what is sent is kept, and goes on when this ends
}

const (
	maxRelayConns    = 4096     // connections of a relay at most; further ones are reset
	relayBufferBytes = 16 << 10 // bytes that a direction of a connection keeps at most
)

// Relay carries TCP connections to a target, as its link lets it. Create it with NewRelay.
type Relay struct {
	Addr   string
	listen net.Listener

	mu      sync.Mutex
	target  string
	link    Link
	changed chan struct{} // closed when link changes
	conns   map[net.Conn]bool
	closed  bool
	run     sync.WaitGroup
}

// NewRelay starts a relay on a free port of 127.0.0.1.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{Addr: l.Addr().String(), target: target, listen: l, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.run.Go(r.accept)
	return r, nil
}

// SetLink changes the link. Connections that lost bytes can't go on and are reset when the loss ends.
func (r *Relay) SetLink(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l == r.link || r.closed {
		return
	}
	lossy := r.link.DropInbound || r.link.DropOutbound
	r.link = l
	close(r.changed)
	r.changed = make(chan struct{})
	if l.Reset || lossy && !l.DropInbound && !l.DropOutbound {
		for c := range r.conns {
			reset(c)
		}
	}
}

// SetTarget leads new connections to another address; those there are go on.
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
		r.listen.Close()
		for c := range r.conns {
			reset(c)
		}
	}
	r.mu.Unlock()
	r.run.Wait()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (r *Relay) accept() {
	for {
		c, err := r.listen.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a connection that went before it was taken
		}
		if !r.register(c) {
			reset(c)
			continue
		}
		r.run.Go(func() { r.serve(c) })
	}
}

// register books a connection; false: it may not be.
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

func (r *Relay) serve(c net.Conn) {
	defer r.closeConn(c)
	for { // a link that loses all towards the target loses the handshake too
		l, changed, closed := r.state()
		if closed || l.Reset {
			return
		}
		if !l.DropOutbound && !l.DropInbound && !l.Buffer {
			break
		}
		<-changed
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	to, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	if !r.register(to) {
		reset(to)
		return
	}
	defer r.closeConn(to)
	var both sync.WaitGroup
	both.Go(func() { r.copy(to, c, true) })
	both.Go(func() { r.copy(c, to, false) })
	both.Wait()
}

func (r *Relay) state() (Link, <-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link, r.changed, r.closed
}

// copy carries one direction, a piece at a time, until either end is over.
func (r *Relay) copy(to, from net.Conn, out bool) {
	piece := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && !r.forward(to, piece[:n], out) {
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

// forward sends a piece on as the link lets it; false: the connection is over.
func (r *Relay) forward(to net.Conn, piece []byte, out bool) bool {
	for {
		l, changed, closed := r.state()
		wait := l.Delay
		if l.Rate > 0 {
			wait += time.Duration(len(piece)) * time.Second / time.Duration(l.Rate)
		}
		switch {
		case closed || l.Reset:
			return false
		case out && l.DropOutbound || !out && l.DropInbound:
			return true // lost
		case l.Buffer:
			<-changed
			continue
		case wait > 0:
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-changed:
				t.Stop()
				continue
			}
		}
		_, err := to.Write(piece)
		return err == nil
	}
}
