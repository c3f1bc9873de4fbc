package h1client

// Idle connections: which one an attempt gets, and which are closed, by age, number or for room. Their number and idle
// time come from package keepalive, by what this node has used since the last look.

import (
	"context"
	"slices"
	"time"

	"yokestall/internal/keepalive"
	"yokestall/policy"
)

const (
	// IdleTimeoutFraction is the part of Options.EndpointIdleTimeout after which a connection is closed here: a request
	// that is written while the endpoint closes its connection counts as one that may have run.
	IdleTimeoutFraction = 0.6
	// defaultReuseDelay is the default of Options.ReuseDelay. A longer one has connections idle for longer, and more of
	// them are reset at their next request.
	defaultReuseDelay = time.Millisecond
	// minAwaitReuseFrom and awaitReuseFactor set Pool.awaitReuseFrom: in time, and in multiples of a ReuseDelay that is
	// set. An endpoint that answers faster would see its latency grow by the wait.
	minAwaitReuseFrom = 10 * defaultReuseDelay
	awaitReuseFactor  = 2
	// maxIdleMessageBytes limits the request buffer that an idle connection retains.
	maxIdleMessageBytes = 4 << 10
	// evictionsPerIdleTime and minEvictionInterval set how often EvictIdle runs.
	evictionsPerIdleTime = 8
	minEvictionInterval  = 10 * time.Millisecond
)

// EvictIdle closes connections that were idle for too long, or that are too many for one endpoint, until ctx ends.
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

// evictExpired closes an endpoint's idle connections beyond the limits, the oldest first. mu is locked.
func (p *Pool) evictExpired(e *endpoint) {
	n := 0
	for n < len(e.idle) && (time.Since(e.idle[n].idleSince) > p.idleTimeout || len(e.idle)-n > p.idlePerEndpoint) {
		p.closeConn(e.idle[n])
		n++
	}
	e.idle = append(e.idle[:0], e.idle[n:]...)
}

// updateIdleLimits sets idlePerEndpoint and idleTimeout by what this node has used since measuredAt. mu is locked.
func (p *Pool) updateIdleLimits(now time.Time) {
	f := keepalive.Fleet{Nodes: p.nodeCount, Endpoints: len(p.endpoints)}
	for _, e := range p.endpoints {
		if e.used || len(e.idle) > 0 {
			f.UsedEndpoints++
		}
		e.used = false
	}
	f.RequestsPerSecond = float64(p.releases*max(1, p.nodeCount)) / max(now.Sub(p.measuredAt).Seconds(), 1e-3)
	p.releases, p.measuredAt = 0, now
	p.idlePerEndpoint = keepalive.MaxIdle(f)
	p.idleTimeout = keepalive.IdleTimeout(f, p.prices, p.maxIdleTime)
}

// acquire returns an idle connection, or nil, the endpoint and policy.OK as permission to open one. At the limit on
// connections it closes the oldest idle one. Otherwise the status is ConnectFailed for an endpoint that is not known,
// or NeverSent at the limit.
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
		return nil, nil, policy.NeverSent // not a fault of the endpoint
	}
	p.connections++
	return nil, e, policy.OK
}

// takeIdle removes and returns the last used connection that may be used again; nil if there is none. mu is locked.
//
// What an endpoint does with a connection behind an answer, to close it or to send more than belongs to the answer,
// shows only after a moment: a request that is written before is lost, or gets what belongs to the former one, since
// nothing in an answer names its request. So a connection that is idle for less than reuseDelay is passed over. Where
// it is the only one it is returned all the same, and the caller waits for the delay, unless the endpoint answers so
// fast that the wait would count: what waited for the endpoint goes to the connection that has just answered, and to
// open one each time would cost both sides a handshake.
func (p *Pool) takeIdle(e *endpoint) *conn {
	for n := len(e.idle) - 1; n >= 0; n-- {
		c := e.idle[n]
		idleTime := time.Since(c.idleSince)
		if idleTime < p.reuseDelay {
			olderUsable := n > 0 && time.Since(e.idle[n-1].idleSince) <= p.maxIdleTime
			if c.exchangeTime < p.awaitReuseFrom || olderUsable {
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

// evictOldest closes the connection that is idle for longest. It returns false if none is idle. mu is locked.
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

// release ends the use of a connection. It becomes idle if it is reusable, and is closed otherwise.
func (p *Pool) release(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.endpoint
	p.releases++
	e.used = true
	if !reusable || e.removed || len(e.idle) >= p.idlePerEndpoint {
		p.closeConn(c)
		return
	}
	if cap(c.message) > maxIdleMessageBytes {
		c.message = nil
	}
	c.reused, c.idleSince = true, time.Now()
	c.exchangeTime = c.idleSince.Sub(c.exchangeStart)
	e.idle = append(e.idle, c)
}
