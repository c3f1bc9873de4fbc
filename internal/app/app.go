// Package app puts fronts, engines and sources together: it holds what a version of the
// files says against what runs, and changes what differs.
package app

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/conntable"
	"yokestall/internal/engine"
	"yokestall/internal/files"
	"yokestall/internal/httpfront"
	"yokestall/internal/httpup"
	"yokestall/internal/route"
	"yokestall/policy"
)

const (
	// stopTail is how long a stop waits for connections after the longest deadline.
	stopTail = 300 * time.Millisecond
	overPart = 16 // connections told to come back, as a part of those that have asked
)

// App is the product program. Create it with New.
type App struct {
	Options
	clock engine.Clock
	ctx   context.Context
	stop  context.CancelFunc

	mu      sync.Mutex // one change at a time
	state   atomic.Pointer[state]
	retired sync.WaitGroup // clusters that run on without a place in the state

	missing sync.Map // names of clusters that routes lead to and nobody defines, of this version
}

// state is what requests see; it is not changed once it is there.
type state struct {
	program  *config.Program
	version  *cluster.Version
	tenants  map[string]int
	clusters map[string]*running
}

// running is a cluster at work.
type running struct {
	cluster  *engine.Cluster
	pool     *httpup.Pool
	settings policy.Settings
	upstream config.Upstream
	given    *cluster.Cluster // the version of it that the engine was told
	stop     context.CancelFunc
}

// Options are what an app may be told besides its files.
type Options struct {
	Seed uint64 // of the decisions' random draws
	Log  *slog.Logger
	// Sent is told each attempt as it goes out: cluster, cluster.Endpoint.Key of the
	// server, and the time; nil if nobody wants to know. It must not block.
	Sent func(cluster string, server uint64, at time.Time)
}

// New starts an app on a first version. Close ends it.
func New(first *files.Snapshot, o Options) (*App, error) {
	a := &App{Options: o, clock: engine.NewClock()}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.state.Store(&state{clusters: map[string]*running{}})
	if err := a.Take(first); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// Close ends all clusters; what is open gets an answer first.
func (a *App) Close() {
	for _, r := range a.state.Load().clusters {
		r.cluster.Abandon()
	}
	a.stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.state.Load().clusters {
		<-r.cluster.Ended()
	}
	a.retired.Wait()
}

// Take puts a version in force. When it returns, the engines were told: from
// engine.DrainGrace later nothing goes to a server that the version does not have.
func (a *App) Take(s *files.Snapshot) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.state.Load()
	settings := a.settings(s.Program)
	next := &state{
		program: s.Program, version: s.Version, tenants: map[string]int{}, clusters: map[string]*running{},
	}
	for i, t := range s.Program.Tenants {
		next.tenants[t.Name] = i
	}
	var started []*running
	for name := range s.Version.Clusters {
		r := old.clusters[name]
		if r != nil && reflect.DeepEqual(r.settings, settings) && r.upstream == s.Program.Upstream {
			next.clusters[name] = r
			continue
		}
		r, err := a.start(name, settings, s.Program.Upstream)
		if err != nil { // nothing has been changed yet
			for _, r := range started {
				r.stop()
				<-r.cluster.Ended()
			}
			return fmt.Errorf("cluster %s: %w", name, err)
		}
		started = append(started, r)
		next.clusters[name] = r
	}
	for name, c := range s.Version.Clusters {
		next.clusters[name].tell(a.clock, c)
	}
	a.state.Store(next)
	a.missing.Clear()
	for name, r := range old.clusters {
		if next.clusters[name] != r {
			a.retire(r)
		}
	}
	for _, name := range s.Program.Table.Clusters() {
		if next.clusters[name] == nil {
			a.Log.Warn("routes lead to a cluster that nobody defines; their requests are refused", "cluster", name)
		}
	}
	return nil
}

func (a *App) settings(p *config.Program) policy.Settings {
	s := policy.Defaults()
	s.Nodes, s.Node, s.Zone = p.Nodes, p.Node, zone(p.Zone)
	s.Limits, s.Rules = p.Limits, p.Rules
	s.Tick = 0 // events are handled as they come
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, c.Class)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, t.Tenant)
	}
	return s
}

// zone gives a number that is the same at every node.
func zone(name string) int {
	h := fnv.New32a()
	io.WriteString(h, name)
	return int(h.Sum32() >> 1)
}

func (a *App) start(name string, settings policy.Settings, up config.Upstream) (*running, error) {
	ctx, stop := context.WithCancel(a.ctx)
	pool := httpup.New(httpup.Options{
		ServersIdle: up.Idle, ConnectTimeout: up.ConnectTimeout, MaxOpen: up.Connections, AnyAnswer: true,
	})
	o := engine.Options{Seed: a.Seed, Clock: a.clock}
	if a.Sent != nil {
		o.Sent = func(id policy.ServerID, at time.Duration) { a.Sent(name, uint64(id), a.clock.Wall(at)) }
	}
	c, err := engine.New(ctx, settings, pool, o)
	if err != nil {
		stop()
		return nil, err
	}
	a.retired.Go(func() { pool.Retire(ctx) })
	return &running{cluster: c, pool: pool, settings: settings, upstream: up, stop: stop}, nil
}

// retire has a cluster finish what is open and end.
func (a *App) retire(r *running) {
	r.cluster.Retire()
	a.retired.Go(func() {
		<-r.cluster.Ended()
		r.pool.Update(true, nil)
		r.stop()
	})
}

// tell brings a cluster from the version that it was told last to another.
func (r *running) tell(clock engine.Clock, c *cluster.Cluster) {
	if c == r.given {
		return
	}
	d := cluster.Compare(r.given, c)
	r.given = c
	if d.Empty() {
		return
	}
	var servers []httpup.Server
	var entries []policy.Entry
	put := func(e *cluster.Endpoint) {
		id := policy.ServerID(e.Key())
		servers = append(servers, httpup.Server{ID: id, Address: e.Address, Start: float64(e.Started)})
		entry := policy.Entry{Server: id, Zone: zone(e.Zone), Cell: e.Cell, State: policy.Ready, Weight: e.Weight}
		if e.Health != cluster.Healthy {
			entry.State = policy.Draining
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
	r.pool.Update(false, servers)
	r.cluster.Members(policy.ListDelta, entries)
}

// Route implements httpfront.Router.
func (a *App) Route(r *http.Request) (httpfront.Destination, error) {
	s := a.state.Load()
	q := route.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method, Header: r.Header}
	if s.program.Table.Weighted() {
		q.Hash = affinity(r)
	}
	m, ok := s.program.Table.Lookup(&q)
	if !ok {
		return httpfront.Destination{}, &httpfront.Rejection{Status: http.StatusNotFound, Text: "no route"}
	}
	to := s.clusters[m.Cluster]
	if to == nil {
		if _, known := a.missing.LoadOrStore(m.Cluster, true); !known {
			a.Log.Error("a request is refused: its cluster is not defined", "cluster", m.Cluster, "route", m.Route.Name)
		}
		return httpfront.Destination{}, &httpfront.Rejection{
			Status: http.StatusServiceUnavailable, Text: "the route's cluster is not defined", RetryAfter: s.program.Limits.MaxRetryAfter,
		}
	}
	class := s.program.Class(m.Route.Class)
	c := &s.program.Classes[class]
	return httpfront.Destination{
		Cluster: to.cluster, Class: class, Effect: c.Effect, Deadline: c.Deadline,
		Tenants: s.tenants, MaxRetryAfter: s.program.Limits.MaxRetryAfter,
	}, nil
}

// affinity is what keeps a request to one of a route's clusters: a retry by its client
// must not go to another one, so the key goes before the request's own id.
func affinity(r *http.Request) uint64 {
	h := fnv.New64a()
	for _, name := range []string{"Idempotency-Key", "X-Request-Id"} {
		if v := r.Header[name]; len(v) > 0 {
			io.WriteString(h, v[0])
			return h.Sum64()
		}
	}
	io.WriteString(h, r.RemoteAddr)
	io.WriteString(h, r.URL.RequestURI())
	return h.Sum64()
}

// Serve serves clients on a listener until ctx ends, then answers what was taken.
func (a *App) Serve(ctx context.Context, l net.Listener) error {
	p := a.state.Load().program
	front := httpfront.New(a, httpfront.Options{Clock: a.clock, Log: a.Log, Places: conntable.Limits{
		Asked: p.Listener.Connections, Reserve: max(1, p.Listener.Connections/16),
		Silent: p.Listener.Silent, Over: max(1, p.Listener.Connections/overPart),
	}})
	front.Ready()
	srv := front.Server()
	defer srv.Close()
	listener := front.Listener(l)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(listener) }()
	a.Log.Info("serving", "addr", l.Addr().String())
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	front.Stopping()
	front.Draining()
	listener.Close()
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	longest := time.Duration(0)
	for _, c := range a.state.Load().program.Classes {
		longest = max(longest, c.Deadline)
	}
	limit, cancel := context.WithTimeout(context.Background(), longest+stopTail)
	defer cancel()
	front.Drain(limit)
	return nil
}
