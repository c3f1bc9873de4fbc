package h1client

// This file manages the idle connections. It selects the one that an attempt gets, and closes those that have been idle
// for too long, that are too many for one endpoint, or that must make room for new connections. Package keepalive computes
// the limits on their number and idle time from the node's recent use of the endpoints.

import (
	"context"
	"slices"
	"time"

	"yokestall/internal/keepalive"
	"yokestall/policy"
)

const (
	// IdleTimeoutFraction is the fraction of Options.EndpointIdleTimeout for which a connection may be idle at most. It is
	// less than 1 so that the pool closes the connection before the endpoint does: a request that is written while the
	// endpoint closes the connection must be treated as one that may have run.
	IdleTimeoutFraction = 0.6
	// defaultReuseDelay is the default of Options.ReuseDelay. With a longer delay, connections would be idle for longer,
	// and more of them would be reset at their next request.
	defaultReuseDelay = time.Millisecond
	// minReuseWaitThreshold is the minimum and the default of Pool.reuseWaitThreshold. An endpoint that answers faster
	// than the threshold would have its latency increased noticeably by the wait for ReuseDelay.
	minReuseWaitThreshold = 10 * defaultReuseDelay
	// reuseWaitFactor is the ratio of Pool.reuseWaitThreshold to an Options.ReuseDelay that is set.
	reuseWaitFactor = 2
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
		p.updateIdleLimits(time.Now())
		for _, e := range p.endpoints {
			p.evictExpired(e)
		}
		p.mu.Unlock()
	}
}

// evictExpired closes the endpoint's idle connections that exceed idleTimeout or maxIdlePerEndpoint, those that have been
// idle for longest first. p.mu must be locked.
func (p *Pool) evictExpired(e *endpoint) {
	n := 0
	for n < len(e.idle) && (time.Since(e.idle[n].idleSince) > p.idleTimeout || len(e.idle)-n > p.maxIdlePerEndpoint) {
		p.closeConn(e.idle[n])
		n++
	}
	e.idle = append(e.idle[:0], e.idle[n:]...)
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

// acquire returns an idle connection to the endpoint. If there is none, it returns a nil conn, the endpoint and policy.OK,
// and the caller may open a connection, which is counted already. At maxConnections, acquire first closes the connection
// that has been idle for longest. The status is policy.ConnectFailed if the endpoint is unknown, and policy.NeverSent if
// maxConnections is reached and no connection is idle.
func (p *Pool) acquire(id policy.EndpointID) (*conn, *endpoint, policy.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		return nil, nil, policy.ConnectFailed
	}
	if c := p.takeIdle(e); c != nil {
		return c, e, policy.OK
	}
	if p.connections >= p.maxConnections && !p.evictOldest() {
		return nil, nil, policy.NeverSent // the endpoint is not to blame
	}
	p.connections++
	return nil, e, policy.OK
}

// takeIdle removes and returns the most recently used idle connection that may be used again, or nil if there is none. p.mu
// must be locked.
//
// An endpoint may close a connection after its answer, or send more bytes than belong to the answer, and either becomes
// visible only after a moment. A request that is written before then is lost, or gets the excess bytes as its answer,
// because nothing in an answer identifies its request. Therefore takeIdle passes over a connection that has been idle for
// less than reuseDelay, with one exception: it returns the connection, and the caller waits for the rest of the delay, if
// there is no older usable one and the last exchange took at least reuseWaitThreshold. In that case the wait is short
// compared with the endpoint's latency. Without the exception, requests that wait for an endpoint, and thus follow its last
// answer at once, would open a new connection each time, which costs both sides a handshake.
func (p *Pool) takeIdle(e *endpoint) *conn {
	for n := len(e.idle) - 1; n >= 0; n-- {
		c := e.idle[n]
		idleTime := time.Since(c.idleSince)
		if idleTime < p.reuseDelay {
			olderUsable := n > 0 && time.Since(e.idle[n-1].idleSince) <= p.maxIdleTime
			if c.exchangeTime < p.reuseWaitThreshold || olderUsable {
				continue
			}
		}
		e.idle = slices.Delete(e.idle, n, n+1)
		c.exchangeStart = time.Now()
		if idleTime <= p.maxIdleTime {
			return c
		}
		p.closeConn(c)
	}
	return nil
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
	p.closeConn(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// release ends an attempt's, stream's or tunnel's use of a connection. The connection becomes idle if it is reusable, the
// endpoint is still listed and maxIdlePerEndpoint is not reached; otherwise release closes it.
func (p *Pool) release(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.endpoint
	p.releases++
	e.used = true
	if !reusable || e.removed || len(e.idle) >= p.maxIdlePerEndpoint {
		p.closeConn(c)
		return
	}
	if cap(c.requestBuffer) > maxIdleRequestBufferBytes {
		c.requestBuffer = nil
	}
	c.reused, c.idleSince = true, time.Now()
	c.exchangeTime = c.idleSince.Sub(c.exchangeStart)
	e.idle = append(e.idle, c)
}
