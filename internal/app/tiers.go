package app

import (
	"context"
	"fmt"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/engine"
	"yokestall/internal/priority"
	"yokestall/internal/upstream/h1client"
	"yokestall/internal/upstream/h2client"
	"yokestall/policy"
)

// tierEventQueue is the number of events that may wait for a tier's engine before their senders wait. It is small
// since a node may have hundreds of engines.
const tierEventQueue = 64

// tiers is what requests read of an active cluster. It is immutable.
type tiers struct {
	plan   *priority.Plan
	list   []*tier // in the order of plan.Tiers; at least one
	limits cluster.Limits
}

// tier is the healthy or the degraded endpoints of one priority, with an engine and connections of its own.
type tier struct {
	engine  *engine.Cluster
	pool    upstreamPool
	sender  *sender
	current *cluster.Config // the version that the engine has
}

// upstreamPool carries a tier's attempts.
type upstreamPool interface {
	engine.Exchanger
	UpdateEndpoints(full bool, endpoints []h1client.Endpoint)
	SetLimits(connectTimeout time.Duration, maxOpen int)
	EvictIdle(ctx context.Context)
}

var (
	_ upstreamPool = (*h1client.Pool)(nil)
	_ upstreamPool = (*h2client.Pool)(nil)
)

// tier returns the tier of a key and starts it if it does not run; r.mu is locked.
func (r *managedCluster) tier(k priority.Key) (*tier, error) {
	if t := r.tiers[k]; t != nil {
		return t, nil
	}
	a := r.app
	pool := r.newPool()
	s := &sender{pool: pool, addresses: map[policy.EndpointID]string{}}
	ctx, stop := context.WithCancel(r.ctx)
	e, err := engine.New(ctx, *r.settings, s, r.engineOptions())
	if err != nil {
		stop()
		return nil, err
	}
	a.background.Go(func() { pool.EvictIdle(ctx) })
	a.background.Go(func() { // the engine ends by retire or with the app
		<-e.Ended()
		pool.UpdateEndpoints(true, nil)
		stop()
	})
	t := &tier{engine: e, pool: pool, sender: s}
	r.tiers[k] = t
	return t, nil
}

// newPool returns a pool of upstream connections by the cluster's protocol.
func (r *managedCluster) newPool() upstreamPool {
	o := h1client.Options{
		EndpointIdleTimeout: r.upstream.Idle, ConnectTimeout: r.upstream.ConnectTimeout,
		MaxConnections: r.upstream.Connections,
		AnyStatus:      true, TLS: r.tls,
	}
	if r.transport.HTTP2 {
		return h2client.New(o)
	}
	return h1client.New(o)
}

func (r *managedCluster) engineOptions() engine.Options {
	a := r.app
	o := engine.Options{Seed: a.Seed, Clock: a.clock, EventQueue: tierEventQueue}
	if a.OnSend != nil {
		o.OnSend = func(id policy.EndpointID, at time.Duration) { a.OnSend(r.name, uint64(id), a.clock.Wall(at)) }
	}
	return o
}

// updateTiers brings the tiers to the cluster's current version, as of a time on the clock, and starts those that do
// not run yet; r.mu is locked.
func (r *managedCluster) updateTiers(deliveredAt time.Duration) *tiers {
	next := &tiers{plan: priority.New(r.current, r.slowStart()), limits: r.current.Limits}
	used := map[*tier]bool{}
	for i := range next.plan.Tiers {
		t, err := r.tier(next.plan.Tiers[i].Key)
		if err != nil { // the settings were checked when the version was applied
			panic(fmt.Sprintf("cluster %s: %v", r.name, err))
		}
		used[t] = true
		next.list = append(next.list, t)
	}
	r.applyLimits(&next.limits)
	for i, t := range next.list {
		t.update(r.app.clock, deliveredAt, next.plan.Tiers[i].Cluster, r.streams)
		r.restoreSnapshot(next.plan.Tiers[i].Key, t)
	}
	r.snapshots = nil
	// Requests see the new tiers before the others lose their endpoints, or some would be rejected in between.
	r.active.Store(next)
	for k, t := range r.tiers {
		if !used[t] {
			delete(r.tiers, k)
			r.retireTier(deliveredAt, t)
		}
	}
	return next
}

func (r *managedCluster) slowStart() priority.SlowStart {
	rules := &r.settings.Rules
	return priority.SlowStart{MinCapacity: rules.SlowStartMinCapacity, Window: rules.SlowStartWindow}
}

// applyLimits sets the limits of all tiers' pools and engines; r.mu is locked.
func (r *managedCluster) applyLimits(b *cluster.Limits) {
	connectTimeout, maxOpen := r.upstream.ConnectTimeout, r.upstream.Connections
	if b.ConnectTimeout > 0 {
		connectTimeout = b.ConnectTimeout
	}
	if b.MaxConnections > 0 {
		maxOpen = min(maxOpen, b.MaxConnections)
	}
	for _, t := range r.tiers {
		t.pool.SetLimits(connectTimeout, maxOpen)
		t.engine.LimitRetries(b.MaxRetries)
	}
}
