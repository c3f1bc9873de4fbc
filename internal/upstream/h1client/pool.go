package h1client

import (
	"crypto/tls"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/keepalive"
	"yokestall/policy"
)

// Options configure a Pool.
type Options struct {
	// EndpointIdleTimeout is how long a connection may be idle before endpoints close it.
	EndpointIdleTimeout time.Duration
	ConnectTimeout      time.Duration // includes the TLS handshake
	// MaxConnections limits the connections to all endpoints, those being opened included.
	MaxConnections int
	// ReuseDelay is the time from an answer to the next request on its connection; 0: 1 ms. What an endpoint sends
	// behind an answer would be taken for the next request's.
	ReuseDelay time.Duration
	// AnyStatus takes each answer below 500 as served; otherwise only status 200. Other answers are returned with their
	// results, for clients that get nothing better, and a body that is longer than MaxBody, or slow, follows as a
	// stream.
	AnyStatus bool
	// NodeCount is the number of nodes that share the endpoints; 0: one.
	NodeCount int
	Prices    keepalive.Prices // of the site, for the number and time of idle connections
	// StreamLargeBodies has bodies longer than MaxBody follow as streams without AnyStatus too. A shorter one may take
	// any time while it makes progress.
	StreamLargeBodies bool
	TLS               *tls.Config // to endpoints; nil: clear text
}

// Endpoint is the address of an endpoint during one of its incarnations.
type Endpoint struct {
	ID          policy.EndpointID
	Address     string  // host:port
	Incarnation float64 // any value that changes when the endpoint restarts
	Removed     bool
}

// Pool holds the endpoints' addresses and the idle connections to them. It is an engine.Exchanger for payloads of
// *Request and answers of *Answer. Create it with New.
type Pool struct {
	// maxIdleTime is how long a connection may be idle and still be used.
	maxIdleTime time.Duration
	reuseDelay  time.Duration
	// awaitReuseFrom is the least time of a connection's last exchange for which its reuseDelay is awaited.
	awaitReuseFrom    time.Duration
	nodeCount         int
	prices            keepalive.Prices
	anyStatus         bool
	streamLargeBodies bool
	tls               *tls.Config

	// mu guards the fields below, and those of the endpoints.
	mu              sync.Mutex
	connectTimeout  time.Duration
	maxConnections  int
	endpoints       map[policy.EndpointID]*endpoint
	connections     int           // to all endpoints, those being opened included
	idlePerEndpoint int           // limit on idle connections to one endpoint
	idleTimeout     time.Duration // after which idle connections are closed
	releases        int           // since measuredAt
	measuredAt      time.Time     // of the last updateIdleLimits
}

var _ engine.Exchanger = (*Pool)(nil)

// endpoint is an Endpoint with its idle connections.
type endpoint struct {
	address     string
	incarnation float64
	idle        []*conn // the last used at the end
	removed     bool    // or restarted, or moved: connections are not reused
	used        bool    // a connection was released since Pool.measuredAt
}

// New returns a pool without endpoints.
func New(o Options) *Pool {
	maxIdleTime := time.Duration(float64(o.EndpointIdleTimeout) * IdleTimeoutFraction)
	p := &Pool{
		maxIdleTime: maxIdleTime, reuseDelay: defaultReuseDelay, awaitReuseFrom: minAwaitReuseFrom,
		nodeCount: o.NodeCount, prices: o.Prices,
		anyStatus: o.AnyStatus, streamLargeBodies: o.StreamLargeBodies, tls: o.TLS,
		connectTimeout: o.ConnectTimeout, maxConnections: o.MaxConnections,
		endpoints:       map[policy.EndpointID]*endpoint{},
		idlePerEndpoint: keepalive.MaxIdle(keepalive.Fleet{Nodes: o.NodeCount}),
		idleTimeout:     maxIdleTime, measuredAt: time.Now(),
	}
	if o.ReuseDelay > 0 {
		p.reuseDelay, p.awaitReuseFrom = o.ReuseDelay, max(minAwaitReuseFrom, awaitReuseFactor*o.ReuseDelay)
	}
	return p
}

// SetLimits changes Options.ConnectTimeout and MaxConnections, for connections that are opened from now on. Idle
// connections beyond the limit are closed.
func (p *Pool) SetLimits(connectTimeout time.Duration, maxConnections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.maxConnections = connectTimeout, maxConnections
	evicted := true
	for p.connections > maxConnections && evicted {
		evicted = p.evictOldest()
	}
}

// OpenConnections returns the number of connections, those being opened included.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections
}

// UpdateEndpoints applies an endpoint update. With full, endpoints that are not in the list are removed. An endpoint at
// a new address or with a new incarnation is another process: idle connections to the former one are closed.
func (p *Pool) UpdateEndpoints(full bool, list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[policy.EndpointID]bool{}
	for _, update := range list {
		old := p.endpoints[update.ID]
		if update.Removed {
			p.remove(update.ID, old)
			continue
		}
		listed[update.ID] = true
		if old != nil && old.address == update.Address && old.incarnation == update.Incarnation {
			continue
		}
		p.remove(update.ID, old)
		p.endpoints[update.ID] = &endpoint{address: update.Address, incarnation: update.Incarnation}
	}
	if !full {
		return
	}
	for id, e := range p.endpoints {
		if !listed[id] {
			p.remove(id, e)
		}
	}
}

// remove removes an endpoint, if it is not nil, and closes its idle connections. mu is locked.
func (p *Pool) remove(id policy.EndpointID, e *endpoint) {
	if e == nil {
		return
	}
	e.removed = true
	for _, c := range e.idle {
		p.closeConn(c)
	}
	e.idle = nil
	delete(p.endpoints, id)
}

// closeConn closes a connection. mu is locked.
func (p *Pool) closeConn(c *conn) {
	p.connections--
	c.Conn.Close()
}
