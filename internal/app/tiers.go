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

// tierEvents is how many events of a tier's engine may wait before their senders do: a node may have hundreds of
// engines, and what waits here is what one of them has not got round to.
const tierEvents = 64

// tiers is what requests see; it is not changed once it is there.
type tiers struct {
	plan   *priority.Plan
	list   []*tier // as in plan.Tiers
	bounds cluster.Bounds
}

// tier is a part of a cluster with decisions and connections of its own.
type tier struct {
	cluster *engine.Cluster
	pool    upstream
	sent    *sender
	given   *cluster.Cluster // the version of it that the engine was told
}

// upstream carries a tier's attempts; httpup's and h2up's Pool are such.
type upstream interface {
	engine.Exchanger
	Update(whole bool, servers []h1client.Server)
	Limit(connectTimeout time.Duration, maxOpen int)
	Retire(ctx context.Context)
}

// tier gives a part of the cluster, started if there is none yet.
func (r *managedCluster) tier(k priority.Key) (*tier, error) {
	if t := r.all[k]; t != nil {
		return t, nil
	}
	with := h1client.Options{
		ServersIdle: r.upstream.Idle, ConnectTimeout: r.upstream.ConnectTimeout, MaxOpen: r.upstream.Connections,
		AnyAnswer: true, TLS: r.tls,
	}
	var pool upstream = h1client.New(with)
	if r.transport.HTTP2 {
		pool = h2client.New(with)
	}
	a := r.app
	o := engine.Options{Seed: a.Seed, Clock: a.clock, EventQueue: tierEvents}
	if a.OnSend != nil {
		o.OnSend = func(id policy.EndpointID, at time.Duration) { a.OnSend(r.name, uint64(id), a.clock.Wall(at)) }
	}
	ctx, stop := context.WithCancel(r.ctx)
	sent := &sender{pool: pool, addresses: map[policy.EndpointID]string{}}
	c, err := engine.New(ctx, *r.settings, sent, o)
	if err != nil {
		stop()
		return nil, err
	}
	a.retired.Go(func() { pool.Retire(ctx) })
	a.retired.Go(func() { // the end, by retire or with the program
		<-c.Ended()
		pool.Update(true, nil)
		stop()
	})
	t := &tier{cluster: c, pool: pool, sent: sent}
	r.all[k] = t
	return t, nil
}

// apply brings the engines to the version that was told last, as of a time on the clock, and starts those that are
// not there yet; r.mu is held.
func (r *managedCluster) apply(told time.Duration) *tiers {
	next := &tiers{plan: priority.New(r.given, r.rules()), bounds: r.given.Bounds}
	used := map[*tier]bool{}
	for i := range next.plan.Tiers {
		t, err := r.tier(next.plan.Tiers[i].Key)
		if err != nil { // the settings were checked when the version was taken
			panic(fmt.Sprintf("cluster %s: %v", r.name, err))
		}
		used[t] = true
		next.list = append(next.list, t)
	}
	r.bound(&next.bounds)
	for i, t := range next.list {
		t.tell(r.app.clock, told, next.plan.Tiers[i].Cluster, r.streams)
		r.recall(next.plan.Tiers[i].Key, t)
	}
	r.memories = nil
	// Requests see the new tiers before the others lose their servers, or some would be
	// refused in between.
	r.active.Store(next)
	for k, t := range r.all {
		if !used[t] {
			delete(r.all, k)
			t.cluster.UpdateEndpointsAt(told, policy.FullUpdate, nil)
			t.cluster.Retire()
			r.streams.drain(told, t.servers())
		}
	}
	return next
}

// bound sets the figures that engines and pools hold requests to.
func (r *managedCluster) bound(b *cluster.Bounds) {
	timeout, most := r.upstream.ConnectTimeout, r.upstream.Connections
	if b.ConnectTimeout > 0 {
		timeout = b.ConnectTimeout
	}
	if b.MaxConnections > 0 {
		most = min(most, b.MaxConnections)
	}
	for _, t := range r.all {
		t.pool.Limit(timeout, most)
		t.cluster.LimitRetries(b.MaxRetries)
	}
}

// tell brings the tier to another version.
func (t *tier) tell(clock engine.Clock, told time.Duration, c *cluster.Cluster, open *streams) {
	d := cluster.Compare(t.given, c)
	t.given = c
	if d.Empty() {
		return
	}
	var servers []h1client.Server
	var entries []policy.Endpoint
	var leave []policy.EndpointID
	put := func(e *cluster.Endpoint) {
		id := policy.EndpointID(e.Key())
		servers = append(servers, h1client.Server{ID: id, Address: e.Address, Start: float64(e.Started)})
		entry := policy.Endpoint{ID: id, Zone: zone(e.Zone), Cell: e.Cell, State: policy.Ready, Weight: e.Weight}
		if !e.Serves() {
			entry.State = policy.Draining
			leave = append(leave, id)
		}
		if e.Started > 0 {
			entry.StartedAt = clock.At(time.UnixMilli(e.Started))
		}
		entries = append(entries, entry)
	}
	drop := func(e *cluster.Endpoint) {
		id := policy.EndpointID(e.Key())
		servers = append(servers, h1client.Server{ID: id, Gone: true})
		entries = append(entries, policy.Endpoint{ID: id, State: policy.Removed})
		leave = append(leave, id)
	}
	for i := range d.Removed {
		drop(&d.Removed[i])
	}
	for i := range d.Replaced {
		drop(&d.Replaced[i].Old)
		put(&d.Replaced[i].New)
	}
	for i := range d.Added {
		put(&d.Added[i])
	}
	for i := range d.Changed {
		put(&d.Changed[i].New)
	}
	for i := range d.Draining {
		put(&d.Draining[i])
	}
	t.sent.update(servers)
	t.pool.Update(false, servers)
	t.cluster.UpdateEndpointsAt(told, policy.DeltaUpdate, entries)
	open.drain(told, leave) // after the engine: see hold
}

// servers gives all that the tier has.
func (t *tier) servers() (list []policy.EndpointID) {
	if t.given != nil {
		for i := range t.given.Endpoints {
			list = append(list, policy.EndpointID(t.given.Endpoints[i].Key()))
		}
	}
	return list
}
