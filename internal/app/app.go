// Package app puts fronts, engines and sources together: it holds what a version of the
// files says against what runs, and changes what differs.
package app

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/engine"
	"yokestall/internal/files"
	"yokestall/internal/idempotency"
	"yokestall/internal/idempotency/keystore"
	"yokestall/internal/idempotency/replay"
	"yokestall/internal/ingress"
	"yokestall/internal/route"
	"yokestall/internal/tlskeys"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

const (
	// stopTail is how long a stop waits for connections after the longest deadline.
	stopTail = 300 * time.Millisecond
	// stopAnswers is how long before its end a request's last answer is out, whatever its deadline.
	stopAnswers = 50 * time.Millisecond
	overPart    = 16 // connections told to come back, as a part of those that have asked
)

// App is the product program. Create it with New.
type App struct {
	Options
	clock engine.Clock
	ctx   context.Context
	stop  context.CancelFunc

	keys    *keystore.Log        // nil: none is kept
	once    *replay.Deduplicator // nil: repeats over HTTP run like any request
	mu      sync.Mutex           // one change at a time
	state   atomic.Pointer[state]
	retired sync.WaitGroup // clusters that run on without a place in the state

	missing sync.Map // names of clusters that routes lead to and nobody defines, of this version
}

// state is what requests see; it is not changed once it is there.
type state struct {
	program  *config.Program
	version  *cluster.Version
	tenants  *tenantTable
	settings *policy.Settings // of all clusters
	clusters map[string]*managedCluster
	refused  map[string]string // by class: why its requests are refused for now
	// take counts what was taken; since gives, by class, the take from which on its requests are decided by the
	// rules that it has: those decided earlier send nothing any more.
	take  uint64
	since map[string]uint64
}

// Options are what an app may be told besides its files.
type Options struct {
	Seed uint64 // of the decisions' random draws
	Log  *slog.Logger
	// OnSend is told each attempt as it goes out: cluster, cluster.Endpoint.Key of the
	// server, and the time; nil if nobody wants to know. It must not block.
	OnSend func(cluster string, server uint64, at time.Time)
	// LeaseValid tells whether what was taken last may be acted on at this moment; nil: always. It is asked at each
	// request's decision and right before each attempt's first byte.
	LeaseValid func() bool
	Keys       *tlskeys.Store // nil: there is no TLS
	Path       string         // of the program's file, beside which others lie
}

// New starts an app on a first version. Close ends it.
func New(first *files.Snapshot, o Options) (*App, error) {
	a := &App{Options: o, clock: engine.NewClock()}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.state.Store(&state{clusters: map[string]*managedCluster{}})
	if set := first.Program.Repeats; set.Entries > 0 {
		a.once = replay.New(idempotency.Limits{
			Entries: set.Entries, Bytes: set.Bytes, Joiners: maxJoiners, Tenants: len(first.Program.Tenants),
		}, a.clock)
		if set.Late {
			a.once.AcceptLateOutcomes()
		}
		if err := a.keepKeys(set.Log); err != nil {
			a.Close()
			return nil, err
		}
	}
	if err := a.Apply(first); err != nil {
		a.Close()
		return nil, err
	}
	a.retired.Go(a.watchIdle)
	return a, nil
}

// Close ends all clusters; what is open gets an answer first.
func (a *App) Close() {
	for _, r := range a.state.Load().clusters {
		r.abandon()
	}
	a.stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.state.Load().clusters {
		r.wait()
	}
	a.retired.Wait()
	if a.keys != nil {
		if err := a.keys.Close(); err != nil {
			a.Log.Error("idempotency keys are not durable", "err", err)
		}
	}
}

// keepKeys opens the log of keys, if there is one.
func (a *App) keepKeys(path string) error {
	if path == "" {
		return nil
	}
	var known []keystore.KnownKey
	var err error
	if a.keys, known, err = keystore.Open(files.Beside(a.Path, path), time.Now(), nil); err != nil {
		return err
	}
	return a.once.AttachLog(a.keys, known)
}

// Apply puts a version in force. When it returns, the engines were told: from
// engine.DefaultDrainGrace later nothing goes to a server that the version does not have.
func (a *App) Apply(s *files.Snapshot) error { return a.ApplyAt(time.Now(), s) }

// ApplyAt is Take for a version that was delivered at an earlier time, from which the
// grace counts then.
func (a *App) ApplyAt(delivered time.Time, s *files.Snapshot) error {
	return a.ApplyRejecting(delivered, s, nil)
}

// ApplyRejecting is TakeAt with classes whose requests are refused, each with a reason, until another version is taken.
func (a *App) ApplyRejecting(delivered time.Time, s *files.Snapshot, refused map[string]string) error {
	told := a.clock.Now() - time.Since(delivered)
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.state.Load()
	tenants, err := newTenantTable(old.tenants, s.Program)
	if err != nil {
		return err
	}
	settings, err := newSettings(old.settings, s.Program, tenants)
	if err != nil {
		return err
	}
	next := &state{
		program: s.Program, version: s.Version, tenants: tenants, settings: settings,
		clusters: map[string]*managedCluster{}, refused: refused, take: old.take + 1,
	}
	next.since = since(old, next)
	var started []*managedCluster
	for name, c := range s.Version.Clusters {
		if r := old.clusters[name]; r != nil && r.settings == settings && r.upstream == s.Program.Upstream && reflect.DeepEqual(r.transport, c.Transport) {
			next.clusters[name] = r
			continue
		}
		r, err := a.start(name, next, c.Transport)
		if err != nil { // nothing has been changed yet
			for _, r := range started {
				r.abort()
			}
			return fmt.Errorf("cluster %s: %w", name, err)
		}
		started = append(started, r)
		next.clusters[name] = r
	}
	for name, c := range s.Version.Clusters {
		r := next.clusters[name]
		r.tell(told, c)
		if before := old.clusters[name]; before != nil && before != r {
			r.inherit(before)
		}
	}
	a.state.Store(next)
	a.missing.Clear()
	for name, r := range old.clusters {
		if next.clusters[name] != r {
			r.retire(told)
		}
	}
	for _, name := range s.Program.Table.Clusters() {
		if next.clusters[name] == nil && (old.program == nil || old.program.Table != s.Program.Table || old.clusters[name] != nil) {
			a.Log.Warn("routes name an undefined cluster, rejecting their requests", "cluster", name)
		}
	}
	return nil
}

// since gives from which take on requests of each class count, where that is not from the beginning: a class that is
// refused, or whose effect, scope or window is another, must not go on with what was decided before.
func since(old, next *state) map[string]uint64 {
	out := map[string]uint64{}
	for i := range next.program.Classes {
		c := &next.program.Classes[i]
		from := old.since[c.Name]
		if old.program != nil {
			at := old.program.Class(c.Name)
			if at < 0 || next.refused[c.Name] != "" {
				from = next.take
			} else if was := &old.program.Classes[at]; was.Idempotency != c.Idempotency || was.DedupScope != c.DedupScope || was.DedupWindow != c.DedupWindow {
				from = next.take
			}
		}
		if from > 0 {
			out[c.Name] = from
		}
	}
	return out
}

// may gives what a request that was decided under a state asks before it sends.
func (a *App) may(s *state, class string) func() bool {
	return func() bool {
		now := a.state.Load()
		return now.since[class] <= s.take && a.LeaseValid()
	}
}

// guarded has a cluster's requests ask before they send.
type guarded struct {
	ingress.Cluster
	may   func() bool
	again time.Duration
}

// Do implements ingress.Cluster.
func (g guarded) Do(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	q.SendAllowed, q.SendRetryAfter = g.may, g.again
	return g.Cluster.Do(ctx, q)
}

// newSettings gives what the clusters of a version decide by: the settings of the version before, where they are the
// same.
func newSettings(before *policy.Settings, p *config.Program, tenants *tenantTable) (*policy.Settings, error) {
	s := policy.Defaults()
	s.NodeCount, s.NodeIndex, s.Zone = p.Nodes, p.Node, zone(p.Zone)
	s.Limits, s.Rules = p.Limits, p.Rules
	s.Tick = 0 // events are handled as they come
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, c.Class)
	}
	s.Quotas = tenants.quotas
	if err := s.Check(); err != nil {
		return nil, err
	}
	// The buckets are told apart by the table that they are in: to compare them would race with requests.
	if before != nil && before.Quotas == s.Quotas && sameButQuotas(*before, s) {
		return before, nil
	}
	return &s, nil
}

func sameButQuotas(x, y policy.Settings) bool {
	x.Quotas, y.Quotas = nil, nil
	return reflect.DeepEqual(x, y)
}

// zone gives a number that is the same at every node.
func zone(name string) int {
	h := fnv.New32a()
	io.WriteString(h, name)
	return int(h.Sum32() >> 1)
}

// ApplyClusters puts other versions of clusters in force that are there already, at the
// cost of these alone. False, with nothing done, if one of them is not there.
func (a *App) ApplyClusters(delivered time.Time, changed []*cluster.Cluster) bool {
	told := a.clock.Now() - time.Since(delivered)
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.state.Load()
	for _, c := range changed {
		if r := state.clusters[c.Name]; r == nil || !reflect.DeepEqual(r.transport, c.Transport) {
			return false
		}
	}
	for _, c := range changed {
		state.clusters[c.Name].tell(told, c)
	}
	return true
}

// Route implements ingress.Router.
func (a *App) Route(r *http.Request) (ingress.Destination, error) {
	s := a.state.Load()
	if s.program.Table == nil {
		return ingress.Destination{}, &ingress.Rejection{
			Status: http.StatusServiceUnavailable, Text: "no routes are known yet", RetryAfter: s.program.Limits.MaxRetryAfter,
		}
	}
	q := route.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method, Header: r.Header}
	if s.program.Table.Weighted() {
		q.Hash = affinity(r)
	}
	m, ok := s.program.Table.Lookup(&q)
	if !ok {
		return ingress.Destination{}, &ingress.Rejection{Status: http.StatusNotFound, Text: "no route"}
	}
	if m.Route.Answer != nil {
		return ingress.Destination{}, direct(m.Route, r)
	}
	to := s.clusters[m.Cluster]
	if to == nil {
		if _, known := a.missing.LoadOrStore(m.Cluster, true); !known {
			a.Log.Error("request rejected, cluster not defined", "cluster", m.Cluster, "route", m.Route.Name)
		}
		return ingress.Destination{}, &ingress.Rejection{
			Status: http.StatusServiceUnavailable, Text: "the route's cluster is not defined", RetryAfter: s.program.Limits.MaxRetryAfter,
		}
	}
	class := s.program.Class(m.Route.Class)
	c := &s.program.Classes[class]
	again := s.program.Limits.MaxRetryAfter
	if a.LeaseValid != nil && !a.LeaseValid() {
		return ingress.Destination{}, &ingress.Rejection{Status: http.StatusServiceUnavailable, Text: "the node's lease is over", RetryAfter: again}
	}
	if why := s.refused[c.Name]; why != "" {
		return ingress.Destination{}, &ingress.Rejection{Status: http.StatusServiceUnavailable, Text: why, RetryAfter: again}
	}
	deadline := c.Deadline
	if m.Route.Timeout > 0 {
		deadline = min(deadline, m.Route.Timeout)
	}
	out := ingress.Destination{
		Cluster: to, Class: class, Effect: c.Idempotency, Window: c.DedupWindow, Deadline: deadline,
		Tenants: s.tenants.byName, MaxRetryAfter: s.program.Limits.MaxRetryAfter,
		Streams:     h1client.StreamLimits{Stall: c.Progress, Whole: c.Stream, Drain: c.Drain},
		MaxAttempts: m.Route.MaxAttempts, PerTry: m.Route.PerTry, Certified: s.tenants.byCertificate,
		Pick: m.Route.Processor == "pick" || m.Route.Processor == "" && s.program.ExtProc.Pick,
	}
	if a.LeaseValid != nil {
		out.Cluster = guarded{to, a.may(s, c.Name), again}
	}
	if e := m.Route.Request; e != nil {
		out.Request = e
	}
	if e := m.Route.Response; e != nil {
		out.Response = e
	}
	return out, nil
}

// repeats gives the router of HTTP's fronts: keyed requests pass the gate, if there is one.
func (a *App) repeats() ingress.Router {
	if a.once == nil {
		return a
	}
	return onceRouter{a}
}

type onceRouter struct{ *App }

// Route implements ingress.Router.
func (r onceRouter) Route(q *http.Request) (ingress.Destination, error) {
	to, err := r.App.Route(q)
	if err == nil && to.Effect == policy.IdempotentByKey {
		to.Cluster = r.once.Cluster(to.Cluster, to.Window, to.MaxRetryAfter)
	}
	return to, err
}

// direct is what a route answers by itself.
func direct(r *route.Route, q *http.Request) error {
	a := r.Answer
	out := &ingress.Rejection{Status: a.Status, Text: a.Text}
	if a.Redirect {
		scheme := "http"
		if q.TLS != nil {
			scheme = "https"
		}
		out.Location = a.Location(r, scheme, q.Host, q.URL.EscapedPath(), q.URL.RawQuery)
	}
	return out
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
