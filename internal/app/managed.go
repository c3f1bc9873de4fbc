package app

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/engine"
	"yokestall/internal/priority"
	"yokestall/internal/streamtimeout"
	"yokestall/internal/tlskeys"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// managedCluster is a cluster of the version in force. While requests come it is active: it holds an engine for each
// of its tiers, of which a request gets one by the tiers' health. Without requests it is idle and holds none, so that
// what a node spends follows the clusters that it uses and not those that exist (see activate and deactivate). It
// implements ingress.Cluster.
type managedCluster struct {
	app       *App
	name      string
	settings  *policy.Settings // the version's
	upstream  config.Upstream
	transport cluster.Transport
	tls       *tls.Config // nil: clear text
	ctx       context.Context
	stop      context.CancelFunc

	classes []config.Class // by their index in settings
	tenants *tenantTable
	retired atomic.Bool // another took its place, or none

	streams  *streams
	active   atomic.Pointer[tiers] // nil: the cluster is idle
	inFlight atomic.Int64          // requests between do's begin and end
	lastUsed atomic.Int64          // when a request ended last, on the app's clock

	mu       sync.Mutex // guards what follows, and changes of active
	all      map[priority.Key]*tier
	given    *cluster.Cluster // told last
	leaving  bool             // abandon was called
	memories *memories        // of engines that have ended; nil: none
}

// start makes a cluster of a version. It is idle.
func (a *App) start(name string, s *state, by cluster.Transport) (*managedCluster, error) {
	r := &managedCluster{
		app: a, name: name, settings: s.settings, upstream: s.program.Upstream, transport: by,
		classes: s.program.Classes, tenants: s.tenants, all: map[priority.Key]*tier{}, streams: newStreams(a.clock),
	}
	if t := by.TLS; t != nil {
		if a.Keys == nil {
			return nil, errors.New("tls: the program has no [keys] folder")
		}
		r.tls = a.Keys.Client(tlskeys.Servers{Name: t.Name, Roots: t.Roots, Certificate: t.Certificate, Pins: t.Pins})
	}
	r.ctx, r.stop = context.WithCancel(a.ctx)
	return r, nil
}

func (r *managedCluster) rules() priority.Rules {
	return priority.Rules{ColdFrom: r.settings.Rules.SlowStartMinCapacity, ColdFor: r.settings.Rules.SlowStartWindow}
}

// handOvers is how often a request may be begun anew because the settings of its cluster changed under it.
const handOvers = 3

// Do implements ingress.Cluster. A request whose cluster is replaced under it, because the settings changed, goes on
// with the one that takes its place if nothing of it has run, or it may run again.
func (r *managedCluster) Do(ctx context.Context, q *engine.Request) (engine.Answer, error) {
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

// unserved tells whether a request may be begun anew by what came of it: no server has said anything for its client,
// and nothing of it has run, or it may run again.
func (r *managedCluster) unserved(q *engine.Request, a engine.Answer, err error) bool {
	switch {
	case err != nil:
		return err == engine.ErrRetired
	case a.Verdict == engine.Served, a.Verdict == engine.Failed && a.Value != nil:
		return false
	}
	return !a.MayHaveRun || r.settings.Classes[q.Class].Idempotency == policy.Idempotent
}

// anew gives a request of another cluster as one of this; false: it is still coming, can't
// be sent from its beginning, or its class is another.
func (r *managedCluster) anew(from *managedCluster, q *engine.Request) (*engine.Request, bool) {
	if s, ok := q.Payload.(engine.StreamingPayload); q.BodyIncomplete || ok && (s.Consumed() || s.Streaming()) {
		return nil, false
	}
	was := &from.classes[q.Class]
	class := slices.IndexFunc(r.classes, func(c config.Class) bool { return c.Name == was.Name })
	if class < 0 || r.classes[class].Idempotency != was.Idempotency {
		return nil, false
	}
	tenant := 0
	if len(r.tenants.list) > 0 && q.Tenant < len(from.tenants.list) {
		if tenant = r.tenants.place(from.tenants.list[q.Tenant].Name); tenant < 0 {
			return nil, false
		}
	}
	return &engine.Request{
		Class: class, Tenant: tenant, WorkHint: q.WorkHint, Deadline: q.Deadline, UploadTimeout: q.UploadTimeout, Payload: q.Payload,
		MaxAttempts: q.MaxAttempts, PerTryTimeout: q.PerTryTimeout, OnLateAnswer: q.OnLateAnswer, LateAnswerTimeout: q.LateAnswerTimeout, SendAllowed: q.SendAllowed, SendRetryAfter: q.SendRetryAfter, ClientDisconnected: q.ClientDisconnected,
	}, true
}

// do holds the request to the cluster's bounds and has a tier decide on it.
func (r *managedCluster) do(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	open := r.inFlight.Add(1) // ahead of the look at active: see deactivate
	defer r.close()
	t, err := r.activate()
	if err != nil {
		return engine.Answer{}, err
	}
	refused := engine.Answer{Verdict: engine.Rejected, RetryAfter: r.settings.Limits.MaxRetryAfter}
	if n := t.bounds.MaxRequests; n > 0 && open > int64(n) {
		return refused, nil
	}
	for _, d := range t.bounds.Drops {
		if rand.Float64() < d.Share {
			return refused, nil
		}
	}
	at := 0
	if len(t.list) > 1 {
		at = t.plan.Pick(time.Duration(time.Now().UnixNano()), rand.Float64())
	}
	a, err := t.list[at].cluster.Do(ctx, q)
	if err == engine.ErrRetired { // the version changed in between: nothing was sent
		if now := r.active.Load(); now != nil && now != t {
			a, err = now.list[0].cluster.Do(ctx, q)
		}
	}
	if err == nil && a.Verdict == engine.Served {
		if o, ok := q.Payload.(*h1client.Request); ok {
			r.streams.hold(a, streamtimeout.Limits{Whole: o.Limits.Whole, Drain: o.Limits.Drain})
		}
	}
	return a, err
}

// close counts a request out.
func (r *managedCluster) close() {
	r.lastUsed.Store(int64(r.app.clock.Now()))
	r.inFlight.Add(-1)
}

// tell brings the cluster from the version that it was told last to another, which was
// delivered at a time on the clock.
func (r *managedCluster) tell(told time.Duration, c *cluster.Cluster) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c == r.given {
		return
	}
	r.given = c
	if r.active.Load() != nil {
		r.apply(told)
	}
}

// retire has the cluster finish what is open and end.
func (r *managedCluster) retire(told time.Duration) {
	r.retired.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.all {
		t.cluster.UpdateEndpointsAt(told, policy.FullUpdate, nil)
		t.cluster.Retire()
		r.streams.drain(told, t.servers())
	}
	if len(r.all) == 0 {
		r.stop()
		return
	}
	ending := slices.Collect(maps.Values(r.all))
	r.app.retired.Go(func() {
		for _, t := range ending {
			<-t.cluster.Ended()
		}
		r.stop()
	})
}

// abandon answers all that is open, and at once what still comes.
func (r *managedCluster) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	for _, t := range r.all {
		t.cluster.Abort()
	}
}

// wait waits for the end of all engines, which the program's end has begun.
func (r *managedCluster) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.all {
		<-t.cluster.Ended()
	}
}

// abort ends a cluster that has served nothing.
func (r *managedCluster) abort() {
	r.stop()
	r.wait()
}
