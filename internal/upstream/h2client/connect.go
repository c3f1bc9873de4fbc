package h2client

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over each client connection that net/http does not offer

import (
	"context"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

const (
	// maxConnsPerEndpoint limits the connections to one endpoint. One carries as many streams as the endpoint allows;
	// further ones serve while one ends.
	maxConnsPerEndpoint = 4
	// initialMaxStreams is the number of streams that a connection carries until the endpoint's settings have arrived.
	// A stream that exceeds them is refused, and has not run.
	initialMaxStreams = 100
)

// maxStreams returns how many streams the endpoint allows on a connection.
func (c *conn) maxStreams() int {
	if n := c.client.State().MaxConcurrentStreams; n > 0 {
		return int(n)
	}
	return initialMaxStreams
}

// connect returns a place for a stream on a connection, which release takes back. Otherwise the status is
// ConnectFailed, NeverSent at the limit on connections, or Rejected where the endpoint allows no more streams at
// present.
func (p *Pool) connect(call *engine.Call, id policy.EndpointID) (*endpoint, *conn, policy.Status) {
	for {
		p.mu.Lock()
		e := p.endpoints[id]
		if e == nil {
			p.mu.Unlock()
			return nil, nil, policy.ConnectFailed
		}
		if c := e.acquire(); c != nil {
			p.mu.Unlock()
			return e, c, policy.OK
		}
		dialing, timeout, status := e.dialing, p.connectTimeout, policy.OK
		if dialing == nil {
			status = p.reserve(e)
		}
		p.mu.Unlock()
		if status != policy.OK {
			return nil, nil, status
		}
		if dialing == nil {
			if !p.dial(e, timeout) {
				return nil, nil, policy.ConnectFailed
			}
			continue
		}
		select {
		case <-dialing:
		case <-call.Context().Done():
			return nil, nil, policy.NeverSent
		}
	}
}

// acquire returns a connection with a free stream and counts it as in use; nil if there is none. The reservations of
// golang.org/x/net's ClientConn can't be returned where nothing is sent. Pool.mu is locked.
func (e *endpoint) acquire() *conn {
	for _, c := range e.conns {
		if c.client.CanTakeNewRequest() && c.inUse < c.maxStreams() {
			c.inUse++
			return c
		}
	}
	return nil
}

// release takes back a place on a connection.
func (p *Pool) release(e *endpoint, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.inUse--; c.inUse == 0 {
		c.idleSince = time.Now()
		p.closeUnused(e, time.Time{})
	}
}

// reserve counts a connection that the caller has to dial, and sets e.dialing; the status is not OK if none may be
// opened. mu is locked.
func (p *Pool) reserve(e *endpoint) policy.Status {
	p.closeUnused(e, time.Time{})
	switch {
	case len(e.conns) >= maxConnsPerEndpoint:
		return policy.Rejected
	case p.connections >= p.maxConnections && !p.evictOldest():
		return policy.NeverSent
	}
	p.connections++
	e.dialing = make(chan struct{})
	return policy.OK
}

// dial opens the connection that reserve has counted. Other attempts may wait for it, so that it does not end with the
// attempt that began it. It returns false if it fails.
func (p *Pool) dial(e *endpoint, timeout time.Duration) bool {
	c, err := p.newConn(e.address, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(e.dialing)
	e.dialing = nil
	failed := err != nil
	if !failed && e.removed { // meanwhile: no attempt would use the connection
		c.client.Close()
		failed = true
	}
	if failed {
		p.connections--
		return false
	}
	e.conns = append(e.conns, c)
	return true
}

func (p *Pool) newConn(address string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	nc, err := h1client.Dial(ctx, address, p.options.TLS, "h2")
	if err != nil {
		return nil, err
	}
	client, err := p.transport.NewClientConn(nc)
	if err != nil {
		nc.Close()
		return nil, err
	}
	return &conn{client: client, idleSince: time.Now()}, nil
}
