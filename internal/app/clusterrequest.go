package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/engine"
	"yokestall/internal/streamtimeout"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// maxMigrations bounds how often a request moves to its cluster's successor because the settings changed.
const maxMigrations = 3

// Do implements ingress.Handler. A request whose cluster is replaced under it, because the settings changed, migrates
// to the successor if nothing of it has run, or it may run again. The error is engine.ErrRetired if no cluster takes
// the request.
func (r *managedCluster) Do(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	a, err := r.doOnce(ctx, q)
	for range maxMigrations {
		if !r.retired.Load() || !r.mayMigrate(q, a, err) {
			break
		}
		successor := r.app.state.Load().clusters[r.name]
		if successor == nil || successor == r {
			break
		}
		migrated, ok := successor.migrateRequest(r, q)
		if !ok {
			break
		}
		r, q = successor, migrated
		a, err = r.doOnce(ctx, q)
	}
	return a, err
}

// mayMigrate reports whether a request may be started at another cluster after this outcome: its client has received
// nothing from an endpoint, and nothing of it has run, or it may run again.
func (r *managedCluster) mayMigrate(q *engine.Request, a engine.Answer, err error) bool {
	switch {
	case err != nil:
		return errors.Is(err, engine.ErrRetired)
	case a.Verdict == engine.Served, a.Verdict == engine.Failed && a.Value != nil:
		return false
	}
	return !a.MayHaveRun || r.settings.Classes[q.Class].Idempotency == policy.Idempotent
}

// migrateRequest returns a request to another cluster as one to this cluster. It reports false if its body is not
// complete or can't be sent from its beginning, or if its class or tenant is not the same here.
func (r *managedCluster) migrateRequest(from *managedCluster, q *engine.Request) (*engine.Request, bool) {
	body, streaming := q.Payload.(engine.StreamingPayload)
	if q.BodyIncomplete || streaming && (body.Consumed() || body.Streaming()) {
		return nil, false
	}
	class := r.sameClass(&from.classes[q.Class])
	if class < 0 {
		return nil, false
	}
	tenant := r.tenants.sameTenant(from.tenants, q.Tenant)
	if tenant < 0 {
		return nil, false
	}
	return &engine.Request{
		Class: class, Tenant: tenant, WorkHint: q.WorkHint,
		Deadline: q.Deadline, UploadTimeout: q.UploadTimeout, Payload: q.Payload,
		MaxAttempts: q.MaxAttempts, PerTryTimeout: q.PerTryTimeout,
		OnLateAnswer: q.OnLateAnswer, LateAnswerTimeout: q.LateAnswerTimeout,
		SendAllowed: q.SendAllowed, SendRetryAfter: q.SendRetryAfter, ClientDisconnected: q.ClientDisconnected,
	}, true
}

// sameClass returns the index of the class with this name and idempotency; below 0: there is none.
func (r *managedCluster) sameClass(class *config.Class) int {
	i := slices.IndexFunc(r.classes, func(c config.Class) bool { return c.Name == class.Name })
	if i < 0 || r.classes[i].Idempotency != class.Idempotency {
		return -1
	}
	return i
}

// doOnce rejects a request by the cluster's limits, or has a tier decide on it.
func (r *managedCluster) doOnce(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	inFlight := r.inFlight.Add(1) // before active is read: see deactivate
	defer r.endRequest()
	t, err := r.activate()
	if err != nil {
		return engine.Answer{}, err
	}
	if exceeds(&t.limits, inFlight) {
		return engine.Answer{Verdict: engine.Rejected, RetryAfter: r.settings.Limits.MaxRetryAfter}, nil
	}
	a, err := t.pick().engine.Do(ctx, q)
	if errors.Is(err, engine.ErrRetired) { // an update retired the tier before anything was sent
		if current := r.active.Load(); current != nil && current != t {
			a, err = current.list[0].engine.Do(ctx, q)
		}
	}
	if err == nil && a.Verdict == engine.Served {
		if o, ok := q.Payload.(*h1client.Request); ok {
			r.streams.limit(a, streamtimeout.Limits{MaxDuration: o.Limits.MaxDuration, DrainTimeout: o.Limits.DrainTimeout})
		}
	}
	return a, err
}

// exceeds reports whether a request is rejected by the cluster's limits: its limit of requests in flight, and the
// shares that are dropped.
func exceeds(b *cluster.Limits, inFlight int64) bool {
	if b.MaxRequests > 0 && inFlight > int64(b.MaxRequests) {
		return true
	}
	for _, d := range b.Drops {
		if rand.Float64() < d.Fraction {
			return true
		}
	}
	return false
}

// endRequest counts a request out.
func (r *managedCluster) endRequest() {
	r.lastUsed.Store(int64(r.app.clock.Now()))
	r.inFlight.Add(-1)
}

// pick returns the tier of a request by the tiers' health.
func (t *tiers) pick() *tier {
	if len(t.list) <= 1 {
		return t.list[0]
	}
	return t.list[t.plan.Pick(time.Duration(time.Now().UnixNano()), rand.Float64())]
}
