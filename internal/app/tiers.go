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

// tierEventQueue is the number of events that a tier's engine queues before their senders block. It is small because a
// node may have hundreds of engines.
const tierEventQueue = 64

// tiers holds the tiers and limits of an active cluster, as requests read them. It is immutable.
type tiers struct {
	plan   *priority.Plan
	list   []*tier // in the order of plan.Tiers; at least one
	limits cluster.Limits
}

// tier is the set of healthy or of degraded endpoints of one priority, with an engine and upstream connections of its own.
type tier struct {
	engine  *engine.Cluster
	pool    upstreamPool
	sender  *sender
	current *cluster.Config // the configuration in force in the engine; nil: none yet
}

// upstreamPool is a pool of upstream connections that sends the attempts of a tier.
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

// tier returns the tier with key k, and starts the tier if it is not running. The caller holds m.mu.
func (m *managedCluster) tier(k priority.Key) (*tier, error) {
	if t := m.tiers[k]; t != nil {
		return t, nil
	}
	a := m.app
	pool := m.newPool()
	s := &sender{pool: pool, addresses: map[policy.EndpointID]string{}}
	ctx, stop := context.WithCancel(m.ctx)
	e, err := engine.New(ctx, *m.settings, s, m.engineOptions())
	if err != nil {
		stop()
		return nil, err
	}
	a.background.Go(func() { pool.EvictIdle(ctx) })
	a.background.Go(func() { // the engine ends when it is retired or when the app is closed
		<-e.Ended()
		pool.UpdateEndpoints(true, nil)
		stop()
	})
	t := &tier{engine: e, pool: pool, sender: s}
	m.tiers[k] = t
	return t, nil
}

// newPool returns a pool of upstream connections for the cluster's protocol.
func (m *managedCluster) newPool() upstreamPool {
	o := h1client.Options{
		EndpointIdleTimeout: m.upstream.Idle, ConnectTimeout: m.upstream.ConnectTimeout,
		MaxConnections: m.upstream.Connections,
		AnyStatus:      true, TLS: m.tls,
	}
	if m.transport.HTTP2 {
		return h2client.New(o)
	}
	return h1client.New(o)
}

func (m *managedCluster) engineOptions() engine.Options {
	a := m.app
	o := engine.Options{Seed: a.Seed, Clock: a.clock, EventQueue: tierEventQueue}
	if a.OnSend != nil {
		o.OnSend = func(id policy.EndpointID, at time.Duration) { a.OnSend(m.name, uint64(id), a.clock.Wall(at)) }
	}
	return o
}

// updateTiers applies the cluster's current configuration to its tiers, as of a time on the app's clock. Tiers that are
// not running are started, and tiers that the configuration no longer has are retired. The caller holds m.mu.
func (m *managedCluster) updateTiers(deliveredAt time.Duration) *tiers {
	next := &tiers{plan: priority.New(m.current, m.slowStart()), limits: m.current.Limits}
	used := map[*tier]bool{}
	for i := range next.plan.Tiers {
		t, err := m.tier(next.plan.Tiers[i].Key)
		if err != nil { // impossible: the settings were checked when the version was applied
			panic(fmt.Sprintf("cluster %s: %v", m.name, err))
		}
		used[t] = true
		next.list = append(next.list, t)
	}
	m.applyLimits(&next.limits)
	for i, t := range next.list {
		t.update(m.app.clock, deliveredAt, next.plan.Tiers[i].Cluster, m.streams)
		m.restoreSnapshot(next.plan.Tiers[i].Key, t)
	}
	m.snapshots = nil
	// The new tiers are stored before the old ones lose their endpoints, since requests in between would be rejected.
	m.active.Store(next)
	for k, t := range m.tiers {
		if !used[t] {
			delete(m.tiers, k)
			m.retireTier(deliveredAt, t)
		}
	}
	return next
}

func (m *managedCluster) slowStart() priority.SlowStart {
	rules := &m.settings.Rules
	return priority.SlowStart{MinCapacity: rules.SlowStartMinCapacity, Window: rules.SlowStartWindow}
}

// applyLimits sets the limits of the pools and engines of all tiers. The caller holds m.mu.
func (m *managedCluster) applyLimits(limits *cluster.Limits) {
	connectTimeout, maxOpen := m.upstream.ConnectTimeout, m.upstream.Connections
	if limits.ConnectTimeout > 0 {
		connectTimeout = limits.ConnectTimeout
	}
	if limits.MaxConnections > 0 {
		maxOpen = min(maxOpen, limits.MaxConnections)
	}
	for _, t := range m.tiers {
		t.pool.SetLimits(connectTimeout, maxOpen)
		t.engine.LimitRetries(limits.MaxRetries)
	}
}
