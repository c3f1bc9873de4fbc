package app

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/engine"
	"yokestall/internal/h2up"
	"yokestall/internal/httpup"
	"yokestall/internal/priority"
	"yokestall/internal/streamlife"
	"yokestall/internal/tlskeys"
	"yokestall/policy"
)

// running is a cluster at work: an engine for each of its tiers, of which a request gets
// one by the tiers' health. It implements ingress.Cluster.
type running struct {
	app       *App
	name      string
	settings  policy.Settings
	upstream  config.Upstream
	transport cluster.Transport
	tls       *tls.Config // nil: clear text
	ctx       context.Context
	stop      context.CancelFunc

	classes []string // names, by their index in settings
	tenants []string
	retired atomic.Bool // another took its place, or none

	streams *streams
	now     atomic.Pointer[tiers]
	open    atomic.Int64 // requests between Do's begin and end

	mu    sync.Mutex // guards what follows, and changes of now
	all   map[priority.Key]*tier
	given *cluster.Cluster // told last
}

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
	Update(whole bool, servers []httpup.Server)
	Limit(connectTimeout time.Duration, maxOpen int)
	Retire(ctx context.Context)
}

func (a *App) start(name string, settings policy.Settings, up config.Upstream, by cluster.Transport) (*running, error) {
	r := &running{app: a, name: name, settings: settings, upstream: up, transport: by, all: map[priority.Key]*tier{}}
	r.streams = newStreams(a.clock)
	if t := by.TLS; t != nil {
		if a.Keys == nil {
			return nil, errors.New("tls: the program has no [keys] folder")
		}
		r.tls = a.Keys.Client(tlskeys.Servers{Name: t.Name, Roots: t.Roots, Certificate: t.Certificate, Pins: t.Pins})
	}
	r.ctx, r.stop = context.WithCancel(a.ctx)
	first, err := r.tier(priority.Key{})
	if err != nil {
		r.stop()
		return nil, err
	}
	r.now.Store(&tiers{plan: priority.New(&cluster.Cluster{}, r.rules()), list: []*tier{first}})
	return r, nil
}

func (r *running) rules() priority.Rules {
	return priority.Rules{ColdFrom: r.settings.Rules.ColdFrom, ColdFor: r.settings.Rules.ColdFor}
}

// tier gives a part of the cluster, started if there is none yet.
func (r *running) tier(k priority.Key) (*tier, error) {
	if t := r.all[k]; t != nil {
		return t, nil
	}
	with := httpup.Options{
		ServersIdle: r.upstream.Idle, ConnectTimeout: r.upstream.ConnectTimeout, MaxOpen: r.upstream.Connections,
		AnyAnswer: true, TLS: r.tls,
	}
	var pool upstream = httpup.New(with)
	if r.transport.HTTP2 {
		pool = h2up.New(with)
	}
	a := r.app
	o := engine.Options{Seed: a.Seed, Clock: a.clock}
	if a.Sent != nil {
		o.Sent = func(id policy.ServerID, at time.Duration) { a.Sent(r.name, uint64(id), a.clock.Wall(at)) }
	}
	ctx, stop := context.WithCancel(r.ctx)
	sent := &sender{pool: pool, addresses: map[policy.ServerID]string{}}
	c, err := engine.New(ctx, r.settings, sent, o)
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

// handOvers is how often a request may be begun anew because the settings of its cluster changed under it.
const handOvers = 3

// Do implements ingress.Cluster. A request whose cluster is replaced under it, because the settings changed, goes on with the one that
// takes its place if nothing of it has run, or it may run again.
func (r *running) Do(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	a, err := r.do(ctx, q)
	for range handOvers {
		if !r.retired.Load() || !r.unserved(q, a, err) {
			break
		}
		next := r.app.state.Load().clusters[r.name]
		if next == nil || next == r {
			break
		}
		again, ok := next.anew(r, q)
		if !ok {
			break
		}
		r, q = next, again
		a, err = r.do(ctx, q)
	}
	return a, err
}

// unserved tells whether a request may be begun anew by what came of it: no server has said anything for its client, and
// nothing of it has run, or it may run again.
func (r *running) unserved(q *engine.Request, a engine.Answer, err error) bool {
	switch {
	case err != nil:
		return err == engine.ErrRetired
	case a.Verdict == engine.Served, a.Verdict == engine.Failed && a.Value != nil:
		return false
	}
	return !a.MayHaveRun || r.settings.Classes[q.Class].Effect == policy.Safe
}

// anew gives a request of another cluster as one of this; false: it is still coming, can't
// be sent from its beginning, or its class is another.
func (r *running) anew(from *running, q *engine.Request) (*engine.Request, bool) {
	if s, ok := q.Payload.(engine.Streamed); q.Coming || ok && (s.Spent() || s.Streaming()) {
		return nil, false
	}
	class := slices.Index(r.classes, from.classes[q.Class])
	if class < 0 || r.settings.Classes[class].Effect != from.settings.Classes[q.Class].Effect {
		return nil, false
	}
	tenant := 0
	if len(r.tenants) > 0 && q.Tenant < len(from.tenants) {
		if tenant = slices.Index(r.tenants, from.tenants[q.Tenant]); tenant < 0 {
			return nil, false
		}
	}
	return &engine.Request{
		Class: class, Tenant: tenant, Hint: q.Hint, End: q.End, Patience: q.Patience, Payload: q.Payload,
		MaxAttempts: q.MaxAttempts, PerTry: q.PerTry, Late: q.Late, Listen: q.Listen, May: q.May, Again: q.Again, Left: q.Left,
	}, true
}

// do holds the request to the cluster's bounds and has a tier decide on it.
func (r *running) do(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	t := r.now.Load()
	open := r.open.Add(1)
	defer r.open.Add(-1)
	refused := engine.Answer{Verdict: engine.Refused, RetryAfter: r.settings.Limits.MaxRetryAfter}
	if n := t.bounds.MaxRequests; n > 0 && open > int64(n) {
		return refused, nil
	}
	if drops := t.bounds.Drops; len(drops) > 0 {
		for _, d := range drops {
			if rand.Float64() < d.Share {
				return refused, nil
			}
		}
	}
	at := 0
	if len(t.list) > 1 {
		at = t.plan.Pick(time.Duration(time.Now().UnixNano()), rand.Float64())
	}
	a, err := t.list[at].cluster.Do(ctx, q)
	if err == engine.ErrRetired { // the version changed in between: nothing was sent
		if now := r.now.Load(); now != t {
			a, err = now.list[0].cluster.Do(ctx, q)
		}
	}
	if err == nil && a.Verdict == engine.Served {
		if o, ok := q.Payload.(*httpup.Request); ok {
			r.streams.hold(a, streamlife.Limits{Whole: o.Limits.Whole, Drain: o.Limits.Drain})
		}
	}
	return a, err
}

// tell brings the cluster from the version that it was told last to another, which was
// delivered at a time on the clock.
func (r *running) tell(told time.Duration, c *cluster.Cluster) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c == r.given {
		return
	}
	r.given = c
	next := &tiers{plan: priority.New(c, r.rules()), bounds: c.Bounds}
	used := map[*tier]bool{}
	for i := range next.plan.Tiers {
		p := &next.plan.Tiers[i]
		t, err := r.tier(p.Key)
		if err != nil { // the settings were good for the first tier
			panic(fmt.Sprintf("cluster %s: %v", r.name, err))
		}
		used[t] = true
		next.list = append(next.list, t)
	}
	r.bound(&next.bounds)
	for i, t := range next.list {
		t.tell(r.app.clock, told, next.plan.Tiers[i].Cluster, r.streams)
	}
	// Requests see the new tiers before the others lose their servers, or some would be
	// refused in between.
	r.now.Store(next)
	for k, t := range r.all {
		if !used[t] {
			delete(r.all, k)
			t.cluster.MembersAt(told, policy.ListFull, nil)
			t.cluster.Retire()
			r.streams.drain(told, t.servers())
		}
	}
}

// bound sets the figures that engines and pools hold requests to.
func (r *running) bound(b *cluster.Bounds) {
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
	var servers []httpup.Server
	var entries []policy.Entry
	var leave []policy.ServerID
	put := func(e *cluster.Endpoint) {
		id := policy.ServerID(e.Key())
		servers = append(servers, httpup.Server{ID: id, Address: e.Address, Start: float64(e.Started)})
		entry := policy.Entry{Server: id, Zone: zone(e.Zone), Cell: e.Cell, State: policy.Ready, Weight: e.Weight}
		if !e.Serves() {
			entry.State = policy.Draining
			leave = append(leave, id)
		}
		if e.Started > 0 {
			entry.Started = clock.At(time.UnixMilli(e.Started))
		}
		entries = append(entries, entry)
	}
	drop := func(e *cluster.Endpoint) {
		id := policy.ServerID(e.Key())
		servers = append(servers, httpup.Server{ID: id, Gone: true})
		entries = append(entries, policy.Entry{Server: id, State: policy.Gone})
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
	t.cluster.MembersAt(told, policy.ListDelta, entries)
	open.drain(told, leave) // after the engine: see hold
}

// servers gives all that the tier has.
func (t *tier) servers() (list []policy.ServerID) {
	if t.given != nil {
		for i := range t.given.Endpoints {
			list = append(list, policy.ServerID(t.given.Endpoints[i].Key()))
		}
	}
	return list
}

func (r *running) each(do func(*tier)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.all {
		do(t)
	}
}

// retire has the cluster finish what is open and end.
func (r *running) retire(told time.Duration) {
	r.retired.Store(true)
	r.each(func(t *tier) {
		t.cluster.MembersAt(told, policy.ListFull, nil)
		t.cluster.Retire()
		r.streams.drain(told, t.servers())
	})
}

// abandon answers all that is open.
func (r *running) abandon() { r.each(func(t *tier) { t.cluster.Abandon() }) }

// wait waits for the end of all engines, which the program's end has begun.
func (r *running) wait() { r.each(func(t *tier) { <-t.cluster.Ended() }) }

// abort ends a cluster that has served nothing.
func (r *running) abort() {
	r.stop()
	r.wait()
}
