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
	// maxConnsPerEndpoint is the largest number of connections to one endpoint. One connection carries as many streams as
	// the endpoint allows. Further connections are needed if it allows few, and while a connection takes no new streams.
	maxConnsPerEndpoint = 4
	// initialMaxStreams is the largest number of streams on a connection until the endpoint's settings have arrived. If
	// they allow fewer, the endpoint refuses the excess streams, whose requests have not run.
	initialMaxStreams = 100
)

// maxStreams returns the number of concurrent streams that the endpoint allows on the connection.
func (c *conn) maxStreams() int {
	if n := c.client.State().MaxConcurrentStreams; n > 0 {
		return int(n)
	}
	return initialMaxStreams
}

// connect reserves a stream on a connection to an endpoint, and opens a connection if none has a free stream. The caller
// returns the stream with release. If the status is not OK, no stream is reserved. The status is then ConnectFailed if
// the endpoint is unknown or the dial fails, and Rejected if all streams of maxConnsPerEndpoint connections are in use. It is
// NeverSent if maxConnections is reached and no connection is idle, or if the call ends while connect waits for the dial of
// another attempt.
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

// acquire counts a stream as in use on a connection with a free stream, and returns the connection; nil if there is none.
// The pool counts streams itself because a reservation on golang.org/x/net's ClientConn can't be returned if nothing is
// sent. The caller holds Pool.mu.
func (e *endpoint) acquire() *conn {
	for _, c := range e.conns {
		if c.client.CanTakeNewRequest() && c.inUse < c.maxStreams() {
			c.inUse++
			return c
		}
	}
	return nil
}

// release returns a stream that connect reserved.
func (p *Pool) release(e *endpoint, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.inUse--; c.inUse == 0 {
		c.idleSince = time.Now()
		p.closeUnused(e, time.Time{})
	}
}

// reserve counts a new connection, which the caller has to dial, and sets e.dialing. The status is not OK if no connection
// may be opened. The caller holds mu.
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

// dial opens the connection that reserve has counted. Other attempts may wait for the dial, so that it goes on if the attempt
// that started it is stopped. It returns false if there is no connection to use.
func (p *Pool) dial(e *endpoint, timeout time.Duration) bool {
	c, err := p.newConn(e.address, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(e.dialing)
	e.dialing = nil
	failed := err != nil
	if !failed && e.removed { // no attempt would use a connection to an endpoint that was removed during the dial
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
