package h1client

// This file manages the idle connections. It selects the one that an attempt gets, and closes those that have been idle
// for too long, that are too many for one endpoint, or that must make room for new connections. Package keepalive computes
// the limits on their number and idle time from the node's recent use of the endpoints.

import (
	"context"
	"slices"
	"sort"
	"time"

	"yokestall/internal/ctxtime"
	"yokestall/internal/engine"
	"yokestall/internal/keepalive"
	"yokestall/policy"
)

const (
	// IdleTimeoutFraction is the fraction of Options.EndpointIdleTimeout for which a connection may be idle at most. It is
	// less than 1 so that the pool closes the connection before the endpoint does: a request that is written while the
	// endpoint closes the connection must be treated as one that may have run.
	IdleTimeoutFraction = 0.6
	// ReuseDelay is the minimum time from an answer to the next request on its connection. An endpoint may send a
	// second copy of an answer, or other excess bytes, some milliseconds after the answer. Nothing in an answer
	// identifies its request, so that the excess bytes would be taken for the answer to a request that was written
	// before they arrived.
	ReuseDelay = 20 * time.Millisecond
	// defaultReuseWaitFactor is the default of Options.ReuseWaitFactor.
	defaultReuseWaitFactor = 10
	// maxIdleRequestBufferBytes is the maximum size of the request buffer that an idle connection retains.
	maxIdleRequestBufferBytes = 4 << 10
	// evictionsPerIdleTime is how many times per Pool.maxIdleTime EvictIdle closes connections.
	evictionsPerIdleTime = 8
	// minEvictionInterval is the minimum interval at which EvictIdle closes connections.
	minEvictionInterval = 10 * time.Millisecond
)

// EvictIdle runs until ctx ends. At regular intervals it updates the limits on idle connections, and closes those that have
// been idle for too long or are too many for one endpoint.
func (p *Pool) EvictIdle(ctx context.Context) {
	ticker := time.NewTicker(max(p.maxIdleTime/evictionsPerIdleTime, minEvictionInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		now := time.Now()
		p.updateIdleLimits(now)
		for _, e := range p.endpoints {
			p.evictExpired(e, now)
		}
		p.mu.Unlock()
	}
}

// evictExpired closes the endpoint's idle connections that exceed idleTimeout or maxIdlePerEndpoint, those that have
// been idle for longest first. Connections within the reuse delay do not count against maxIdlePerEndpoint. As many
// others are kept in addition, because the attempts of the next reuse delay need them. p.mu must be locked.
func (p *Pool) evictExpired(e *endpoint, now time.Time) {
	reusable := p.reusableCount(e, now)
	withinDelay := len(e.idle) - reusable
	n := max(0, reusable-withinDelay-p.maxIdlePerEndpoint)
	for n < len(e.idle) && now.Sub(e.idle[n].idleSince) > p.idleTimeout {
		n++
	}
	for _, c := range e.idle[:n] {
		p.closeConn(c)
	}
	e.idle = slices.Delete(e.idle, 0, n)
}

// reusableCount returns the number of the endpoint's idle connections whose reuse delay is over. They are the first
// ones of e.idle. p.mu must be locked.
func (p *Pool) reusableCount(e *endpoint, now time.Time) int {
	return sort.Search(len(e.idle), func(i int) bool { return now.Sub(e.idle[i].idleSince) < p.reuseDelay })
}

// updateIdleLimits computes maxIdlePerEndpoint and idleTimeout from this node's use of the endpoints since limitsUpdatedAt.
// p.mu must be locked.
func (p *Pool) updateIdleLimits(now time.Time) {
	f := keepalive.FleetLoad{Nodes: p.nodeCount, Endpoints: len(p.endpoints)}
	for _, e := range p.endpoints {
		if e.used || len(e.idle) > 0 {
			f.UsedEndpoints++
		}
		e.used = false
	}
	f.RequestsPerSecond = float64(p.releases*max(1, p.nodeCount)) / max(now.Sub(p.limitsUpdatedAt).Seconds(), 1e-3)
	p.releases, p.limitsUpdatedAt = 0, now
	p.maxIdlePerEndpoint = keepalive.MaxIdle(f)
	p.idleTimeout = keepalive.IdleTimeout(f, p.prices, p.maxIdleTime)
}

// acquire returns an idle connection to the endpoint, for which the caller waits with awaitReuseDelay. If there is
// none, it returns a nil conn, the endpoint and policy.OK, and the caller may open a connection, which is counted
// already. At maxConnections, acquire first closes the connection that has been idle for longest. The status is
// policy.ConnectFailed if the endpoint is unknown, and policy.NeverSent if maxConnections is reached and no connection
// is idle.
//
// At maxConnections, an attempt waits for an idle connection to its endpoint rather than close another one. At a high
// rate of requests all of them are within the reuse delay, and the next attempts would open those again that this one
// closed.
func (p *Pool) acquire(id policy.EndpointID) (*conn, *endpoint, policy.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		return nil, nil, policy.ConnectFailed
	}
	now := time.Now()
	full := p.connections >= p.maxConnections
	c := p.takeReusable(e, now)
	if c == nil && len(e.idle) > 0 && (full || p.worthWaiting(e)) {
		c = takeOldest(e)
	}
	if c != nil {
		c.exchangeStart = now
		return c, e, policy.OK
	}
	if full && !p.evictOldest() {
		return nil, nil, policy.NeverSent // the endpoint is not to blame
	}
	p.connections++
	return nil, e, policy.OK
}

// takeReusable removes and returns the most recently used idle connection whose reuse delay is over, or nil if there is
// none. It closes connections that have been idle for longer than maxIdleTime. p.mu must be locked.
func (p *Pool) takeReusable(e *endpoint, now time.Time) *conn {
	n := p.reusableCount(e, now)
	if n == 0 {
		return nil
	}
	c := e.idle[n-1]
	if now.Sub(c.idleSince) > p.maxIdleTime { // so have the ones before it
		for _, expired := range e.idle[:n] {
			p.closeConn(expired)
		}
		e.idle = slices.Delete(e.idle, 0, n)
		return nil
	}
	e.idle = slices.Delete(e.idle, n-1, n)
	return c
}

// worthWaiting reports whether an attempt waits for the rest of the reuse delay of the endpoint's oldest idle
// connection rather than open another connection. It waits if the connection's last exchange took at least
// reuseWaitThreshold, so that the wait is short compared with the endpoint's latency. Otherwise requests that wait for
// an endpoint, and thus follow its last answer at once, would open a new connection each time, which costs both sides a
// handshake. p.mu must be locked.
func (p *Pool) worthWaiting(e *endpoint) bool { return e.idle[0].exchangeTime >= p.reuseWaitThreshold }

// takeOldest removes and returns the endpoint's connection that has been idle for longest. There must be one, and
// Pool.mu must be locked.
func takeOldest(e *endpoint) *conn {
	c := e.idle[0]
	e.idle = slices.Delete(e.idle, 0, 1)
	return c
}

// awaitReuseDelay waits until the reuse delay of a connection that acquire has returned is over. It returns false if
// the call is stopped before.
func (p *Pool) awaitReuseDelay(call *engine.Call, c *conn) bool {
	rest := p.reuseDelay - time.Since(c.idleSince)
	return rest <= 0 || ctxtime.Sleep(call.Context(), rest) == nil
}

// evictOldest closes the connection that has been idle for longest, of all endpoints. It returns false if none is idle.
// p.mu must be locked.
func (p *Pool) evictOldest() bool {
	var oldest *endpoint
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	p.closeConn(takeOldest(oldest))
	return true
}

// release ends an attempt's, stream's or tunnel's use of a connection. The connection becomes idle if it is reusable
// and the endpoint is still listed; otherwise release closes it. A connection counts against maxIdlePerEndpoint only
// once its reuse delay is over, because at a high rate of requests many connections are within the delay at any time.
func (p *Pool) release(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.endpoint
	p.releases++
	e.used = true
	if !reusable || e.removed {
		p.closeConn(c)
		return
	}
	if cap(c.requestBuffer) > maxIdleRequestBufferBytes {
		c.requestBuffer = nil
	}
	now := time.Now()
	c.reused, c.idleSince = true, now
	c.exchangeTime = now.Sub(c.exchangeStart)
	e.idle = append(e.idle, c)
	p.evictExpired(e, now)
}
