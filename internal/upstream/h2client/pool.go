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
	// streamWindowBytes is the flow-control window of a stream (RFC 9113, 5.2): what an endpoint may send ahead, and so
	// the most that a stream holds whose client reads nothing.
	streamWindowBytes  = 512 << 10
	maxHeaderListBytes = 64 << 10
	// pingInterval is the time without a frame, while streams are open, after which an endpoint is sent a PING, and the
	// time that it has to answer.
	pingInterval = 5 * time.Second
	// evictionsPerIdleTime and minEvictionInterval set how often EvictIdle runs.
	evictionsPerIdleTime = 8
	minEvictionInterval  = 10 * time.Millisecond
)

// Pool holds the endpoints' addresses and the connections to them, each of which carries many attempts. It is an
// engine.Exchanger for payloads of *h1client.Request and answers of *h1client.Answer. Create it with New.
type Pool struct {
	options   h1client.Options
	transport *http2.Transport

	// mu guards the fields below, and those of the endpoints and their connections.
	mu             sync.Mutex
	endpoints      map[policy.EndpointID]*endpoint
	connections    int // to all endpoints, those being opened included
	maxConnections int
	connectTimeout time.Duration
}

var _ engine.Exchanger = (*Pool)(nil)

// endpoint is an h1client.Endpoint with its connections.
type endpoint struct {
	address     string
	incarnation float64
	removed     bool // or restarted, or moved: its connections end with their last stream
	conns       []*conn
	dialing     chan struct{} // closed when the dial in progress has ended; nil: there is none
}

// conn is a connection to an endpoint.
type conn struct {
	client    *http2.ClientConn
	inUse     int       // places that acquire gave and release has not taken back
	idleSince time.Time // while inUse is 0
}

// New returns a pool without endpoints. Options.AnyStatus is taken as set.
func New(o h1client.Options) *Pool {
	// The stream window can only be set through net/http's transport, which has no other use here.
	transport, err := http2.ConfigureTransports(&http.Transport{
		DisableCompression: true, HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: streamWindowBytes},
	})
	if err != nil {
		panic(err) // only for a transport that has HTTP/2 already
	}
	transport.AllowHTTP, transport.MaxHeaderListSize = true, maxHeaderListBytes
	transport.ReadIdleTimeout, transport.PingTimeout = pingInterval, pingInterval
	transport.WriteByteTimeout = h1client.DefaultStallTimeout
	return &Pool{
		options: o, transport: transport, endpoints: map[policy.EndpointID]*endpoint{},
		maxConnections: o.MaxConnections, connectTimeout: o.ConnectTimeout,
	}
}

// SetLimits changes Options.ConnectTimeout and MaxConnections, for connections that are opened from now on.
func (p *Pool) SetLimits(connectTimeout time.Duration, maxConnections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.maxConnections = connectTimeout, maxConnections
}

// UpdateEndpoints applies an endpoint update. With full, endpoints that are not in the list are removed. An endpoint at
// a new address or with a new incarnation is another process.
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

// remove removes an endpoint. Its connections end as soon as no stream is open on them. mu is locked.
func (p *Pool) remove(id policy.EndpointID) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.removed = true
	delete(p.endpoints, id)
	p.closeUnused(e, time.Time{})
}

// EvictIdle closes connections that were idle for too long, until ctx ends.
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

// closeUnused closes the connections of an endpoint with no stream that have been idle since before a time, or that
// take no new streams; all idle ones of an endpoint that is removed. mu is locked.
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

// evictOldest closes the connection that is idle for longest. It returns false if none is idle. mu is locked.
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
