package h2client

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over each client connection that net/http does not offer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

const (
	// streamWindowBytes is the flow-control window of a stream (RFC 9113, 5.2). An endpoint may send this much ahead of the
	// client, so that it is also the largest amount that is buffered for a client that reads nothing.
	streamWindowBytes  = 512 << 10
	maxHeaderListBytes = 64 << 10
	// pingInterval is the time without a frame from an endpoint, while streams are open, after which the endpoint is sent a
	// PING. It is also the time in which the endpoint must answer the PING.
	pingInterval = 5 * time.Second
	// evictionsPerIdleTime is how often EvictIdle looks for idle connections within Options.EndpointIdleTimeout, with at
	// least minEvictionInterval in between.
	evictionsPerIdleTime = 8
	minEvictionInterval  = 10 * time.Millisecond
)

// Pool holds the endpoints' addresses and the connections to the endpoints. A connection carries many attempts at a time. Pool
// is an engine.Exchanger for payloads of type *h1client.Request and answers of type *h1client.Answer. Create it with New.
type Pool struct {
	options   h1client.Options
	transport *http2.Transport

	// mu guards the fields below, and those of the endpoints and their connections.
	mu             sync.Mutex
	endpoints      map[policy.EndpointID]*endpoint
	connections    int // number of connections to all endpoints, including those that are being opened
	maxConnections int
	connectTimeout time.Duration
}

var _ engine.Exchanger = (*Pool)(nil)

// endpoint is an h1client.Endpoint with its connections.
type endpoint struct {
	address     string
	incarnation float64
	removed     bool // removed, or replaced after a restart or a new address; its connections end with their last stream
	conns       []*conn
	dialing     chan struct{} // closed when the dial in progress ends; nil: no dial is in progress
}

// conn is a connection to an endpoint.
type conn struct {
	client    *http2.ClientConn
	inUse     int       // number of streams that acquire reserved and release has not returned yet
	idleSince time.Time // when inUse became 0 or the connection was opened; only valid while inUse is 0
}

// New returns a pool without endpoints. The pool behaves as with Options.AnyStatus set, whatever its value is.
func New(o h1client.Options) *Pool {
	// The stream window can only be set by means of a net/http.Transport, which is not used for anything else.
	transport, err := http2.ConfigureTransports(&http.Transport{
		DisableCompression: true, HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: streamWindowBytes},
	})
	if err != nil {
		panic(err) // fails only for a transport that already has HTTP/2
	}
	transport.AllowHTTP, transport.MaxHeaderListSize = true, maxHeaderListBytes
	transport.ReadIdleTimeout, transport.PingTimeout = pingInterval, pingInterval
	transport.WriteByteTimeout = h1client.DefaultStallTimeout
	return &Pool{
		options: o, transport: transport, endpoints: map[policy.EndpointID]*endpoint{},
		maxConnections: o.MaxConnections, connectTimeout: o.ConnectTimeout,
	}
}

// SetLimits changes Options.ConnectTimeout and Options.MaxConnections for connections that are opened from now on.
func (p *Pool) SetLimits(connectTimeout time.Duration, maxConnections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.maxConnections = connectTimeout, maxConnections
}

// UpdateEndpoints applies an endpoint update. If full is true, endpoints that are not in the list are removed. An endpoint
// with a new address or a new incarnation is another process, so that its former connections are not used any more.
func (p *Pool) UpdateEndpoints(full bool, list []h1client.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[policy.EndpointID]bool{}
	for _, update := range list {
		old := p.endpoints[update.ID]
		listed[update.ID] = !update.Removed
		unchanged := old != nil && old.address == update.Address && old.incarnation == update.Incarnation
		if !update.Removed && unchanged {
			continue
		}
		p.remove(update.ID)
		if !update.Removed {
			p.endpoints[update.ID] = &endpoint{address: update.Address, incarnation: update.Incarnation}
		}
	}
	for id := range p.endpoints {
		if full && !listed[id] {
			p.remove(id)
		}
	}
}

// remove removes an endpoint. Each of its connections ends as soon as no stream is open on it. The caller holds mu.
func (p *Pool) remove(id policy.EndpointID) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.removed = true
	delete(p.endpoints, id)
	p.closeUnused(e, time.Time{})
}

// EvictIdle closes connections that are idle for longer than h1client.IdleTimeoutFraction of Options.EndpointIdleTimeout, and
// idle connections that take no new streams. It runs until ctx ends.
func (p *Pool) EvictIdle(ctx context.Context) {
	ticker := time.NewTicker(max(p.options.EndpointIdleTimeout/evictionsPerIdleTime, minEvictionInterval))
	defer ticker.Stop()
	idleTimeout := time.Duration(h1client.IdleTimeoutFraction * float64(p.options.EndpointIdleTimeout))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		before := time.Now().Add(-idleTimeout)
		for _, e := range p.endpoints {
			p.closeUnused(e, before)
		}
		p.mu.Unlock()
	}
}

// closeUnused closes connections of an endpoint that have no stream in use: those that have been idle since before a time
// and those that take no new streams. If the endpoint is removed, it closes all its connections without a stream in use. The
// caller holds mu.
func (p *Pool) closeUnused(e *endpoint, before time.Time) {
	remaining := e.conns[:0]
	for _, c := range e.conns {
		if c.inUse == 0 && (e.removed || c.idleSince.Before(before) || !c.client.CanTakeNewRequest()) {
			p.connections--
			c.client.Close()
			continue
		}
		remaining = append(remaining, c)
	}
	clear(e.conns[len(remaining):])
	e.conns = remaining
}

// evictOldest closes the connection that has been idle for longest, among the connections to all endpoints. It returns false
// if no connection is idle. The caller holds mu.
func (p *Pool) evictOldest() bool {
	var from *endpoint
	var oldest *conn
	for _, e := range p.endpoints {
		for _, c := range e.conns {
			if c.inUse == 0 && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				from, oldest = e, c
			}
		}
	}
	if from == nil {
		return false
	}
	p.closeUnused(from, oldest.idleSince.Add(1))
	return true
}
