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
	// EndpointIdleTimeout is how long a connection must be idle before the endpoints close it.
	EndpointIdleTimeout time.Duration
	ConnectTimeout      time.Duration // timeout for opening a connection, including the TLS handshake
	// MaxConnections is the maximum number of connections to all endpoints, including those that are being opened.
	MaxConnections int
	// ReuseWaitFactor sets when an attempt waits for the end of a connection's ReuseDelay rather than open another
	// connection: if the connection's last exchange took at least this many times ReuseDelay. 0 means 10.
	ReuseWaitFactor int
	// AnyStatus makes every answer with a status below 500 a success; without it, only answers with status 200 are. With
	// AnyStatus, an answer from status 500 on is returned with the failed result, for clients that get no better answer,
	// and a body that is longer than MaxBody or slow is returned as a stream.
	AnyStatus bool
	// NodeCount is the number of nodes that share the endpoints; 0 means 1.
	NodeCount int
	Prices    keepalive.Prices // the site's prices, which limit the idle time of connections
	// StreamLargeBodies returns bodies longer than MaxBody as streams, even without AnyStatus. The transfer of a shorter
	// body has no time limit as long as data arrives (see AnswerTransferTimeout).
	StreamLargeBodies bool
	TLS               *tls.Config // configuration of connections to endpoints; nil means plain TCP
	// ExclusiveAddresses says that only one process serves at an address: an endpoint loses its address to another one
	// that is listed there later.
	ExclusiveAddresses bool
}

// Endpoint is an entry of an endpoint update: the address of an endpoint in one incarnation, or the endpoint's removal.
type Endpoint struct {
	ID          policy.EndpointID
	Address     string  // host:port
	Incarnation float64 // a value that changes when the endpoint restarts
	Removed     bool    // the endpoint was removed from the endpoint list
}

// Pool holds the addresses of the endpoints and the idle connections to them. It is an engine.Exchanger whose payloads are
// of type *Request and whose answers are of type *Answer. Use New to create a Pool.
type Pool struct {
	// maxIdleTime is how long a connection may have been idle and still be reused.
	maxIdleTime time.Duration
	reuseDelay  time.Duration // ReuseDelay; less in tests
	// reuseWaitThreshold is the minimum duration of a connection's last exchange for an attempt to wait for the end of the
	// connection's reuseDelay; see worthWaiting.
	reuseWaitThreshold time.Duration
	nodeCount          int
	prices             keepalive.Prices
	anyStatus          bool
	streamLargeBodies  bool
	exclusiveAddresses bool
	tls                *tls.Config

	// mu guards the fields below and the fields of the endpoints.
	mu                 sync.Mutex
	connectTimeout     time.Duration
	maxConnections     int
	endpoints          map[policy.EndpointID]*endpoint
	addresses          addressTable
	connections        int           // number of connections to all endpoints, including those being opened
	maxIdlePerEndpoint int           // maximum number of idle connections to one endpoint whose reuse delay is over
	idleTimeout        time.Duration // idle time after which EvictIdle closes a connection
	releases           int           // number of connections released since limitsUpdatedAt
	limitsUpdatedAt    time.Time     // time of the last updateIdleLimits
}

var _ engine.Exchanger = (*Pool)(nil)

// endpoint is an endpoint in one incarnation, with the idle connections to it.
type endpoint struct {
	address     string
	incarnation float64
	idle        []*conn // idle connections, ordered by idleSince: the most recently used one is last
	removed     bool    // the endpoint was removed, has restarted or has a new address: its connections are not reused
	used        bool    // a connection was released since Pool.limitsUpdatedAt
}

// New returns a pool without endpoints.
func New(o Options) *Pool {
	maxIdleTime := time.Duration(float64(o.EndpointIdleTimeout) * IdleTimeoutFraction)
	if o.ReuseWaitFactor == 0 {
		o.ReuseWaitFactor = defaultReuseWaitFactor
	}
	return &Pool{
		maxIdleTime: maxIdleTime, reuseDelay: ReuseDelay,
		reuseWaitThreshold: time.Duration(o.ReuseWaitFactor) * ReuseDelay,
		nodeCount:          o.NodeCount, prices: o.Prices,
		anyStatus: o.AnyStatus, streamLargeBodies: o.StreamLargeBodies, tls: o.TLS,
		exclusiveAddresses: o.ExclusiveAddresses,
		connectTimeout:     o.ConnectTimeout, maxConnections: o.MaxConnections,
		endpoints:          map[policy.EndpointID]*endpoint{},
		addresses:          newAddressTable(),
		maxIdlePerEndpoint: keepalive.MaxIdle(keepalive.FleetLoad{Nodes: o.NodeCount}),
		idleTimeout:        maxIdleTime, limitsUpdatedAt: time.Now(),
	}
}

// SetLimits replaces Options.ConnectTimeout and Options.MaxConnections. Both apply to connections that are opened from now
// on; SetLimits also closes idle connections until no more than maxConnections are open or none is idle.
func (p *Pool) SetLimits(connectTimeout time.Duration, maxConnections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.maxConnections = connectTimeout, maxConnections
	evicted := true
	for p.connections > maxConnections && evicted {
		evicted = p.evictOldest()
	}
}

// OpenConnections returns the number of connections to all endpoints, including those that are being opened.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections
}

// UpdateEndpoints applies an endpoint update. If full is true, it is a full update: endpoints that are not in the list are
// removed. An endpoint with a new address or a new incarnation is another process, so the idle connections to the former
// process are closed. The same holds for an endpoint whose address another one has taken over.
func (p *Pool) UpdateEndpoints(full bool, list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[policy.EndpointID]bool{}
	for _, update := range list {
		old := p.endpoints[update.ID]
		if update.Removed {
			p.remove(update.ID, old)
			p.addresses.forget(update.ID)
			continue
		}
		listed[update.ID] = true
		if old != nil && old.address == update.Address && old.incarnation == update.Incarnation {
			continue
		}
		p.remove(update.ID, old)
		if !p.exclusiveAddresses || p.claimAddress(update) {
			p.endpoints[update.ID] = &endpoint{address: update.Address, incarnation: update.Incarnation}
		}
	}
	if !full {
		return
	}
	p.addresses.retain(listed)
	for id, e := range p.endpoints {
		if !listed[id] {
			p.remove(id, e)
		}
	}
}

// claimAddress reports whether an endpoint may use its address, and drops the endpoint that used it before. p.mu must be
// locked.
func (p *Pool) claimAddress(update Endpoint) bool {
	ok, previous, taken := p.addresses.claim(update, func(id policy.EndpointID) *endpoint { return p.endpoints[id] })
	if taken {
		p.drop(previous, p.endpoints[previous])
	}
	return ok
}

// remove removes the endpoint e, if it is not nil, and releases its address. p.mu must be locked.
func (p *Pool) remove(id policy.EndpointID, e *endpoint) {
	if e == nil {
		return
	}
	p.drop(id, e)
	if restored, ok := p.addresses.remove(id, e.address); ok {
		p.endpoints[restored.ID] = &endpoint{address: restored.Address, incarnation: restored.Incarnation}
	}
}

// drop removes the endpoint e and closes its idle connections. p.mu must be locked.
func (p *Pool) drop(id policy.EndpointID, e *endpoint) {
	e.removed = true
	for _, c := range e.idle {
		p.closeConn(c)
	}
	e.idle = nil
	delete(p.endpoints, id)
}

// listed reports whether the endpoint is still listed with the same process, or with its address, as when an attempt began.
func (p *Pool) listed(e *endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !e.removed
}

// closeConn closes a connection and subtracts it from the number of open connections. p.mu must be locked.
func (p *Pool) closeConn(c *conn) {
	p.connections--
	c.Conn.Close()
}
