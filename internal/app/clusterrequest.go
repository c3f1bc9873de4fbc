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

// maxMigrations bounds how often a request migrates to its cluster's successor because the settings changed.
const maxMigrations = 3

// Do implements ingress.Handler. If the cluster is replaced during the request because the settings changed, the request
// migrates to the successor, provided that no attempt can have run or that the request's class is idempotent. The error is
// engine.ErrRetired if no cluster accepts the request.
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

// mayMigrate reports whether a request may be started again at another cluster after this outcome: the client has
// received nothing from an endpoint, and either no attempt can have run or the request's class is idempotent.
func (r *managedCluster) mayMigrate(q *engine.Request, a engine.Answer, err error) bool {
	switch {
	case err != nil:
		return errors.Is(err, engine.ErrRetired)
	case a.Verdict == engine.Served, a.Verdict == engine.Failed && a.Value != nil:
		return false
	}
	return !a.MayHaveRun || r.settings.Classes[q.Class].Idempotency == policy.Idempotent
}

// migrateRequest translates a request to another cluster into a request to this cluster. It returns false if the
// request's body is incomplete or can't be sent from its beginning, or if this cluster lacks the class or the tenant.
func (r *managedCluster) migrateRequest(from *managedCluster, q *engine.Request) (*engine.Request, bool) {
	body, streaming := q.Payload.(engine.StreamingPayload)
	if q.BodyIncomplete || streaming && (body.Consumed() || body.Streaming()) {
		return nil, false
	}
	class := r.correspondingClass(&from.classes[q.Class])
	if class < 0 {
		return nil, false
	}
	tenant := r.tenants.correspondingTenant(from.tenants, q.Tenant)
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

// correspondingClass returns the index of the cluster's class with the same name and idempotency as class, or -1 if there
// is none.
func (r *managedCluster) correspondingClass(class *config.Class) int {
	i := slices.IndexFunc(r.classes, func(c config.Class) bool { return c.Name == class.Name })
	if i < 0 || r.classes[i].Idempotency != class.Idempotency {
		return -1
	}
	return i
}

// doOnce passes a request to the engine of a tier, or rejects the request if it exceeds the cluster's limits.
func (r *managedCluster) doOnce(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	inFlight := r.inFlight.Add(1) // must precede the read of r.active: see deactivate
	defer r.endRequest()
	t, err := r.activate()
	if err != nil {
		return engine.Answer{}, err
	}
	if exceeds(&t.limits, inFlight) {
		return engine.Answer{Verdict: engine.Rejected, RetryAfter: r.settings.Limits.MaxRetryAfter}, nil
	}
	a, err := t.pick().engine.Do(ctx, q)
	if errors.Is(err, engine.ErrRetired) { // an update retired the tier before it sent anything
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

// exceeds reports whether a request is to be rejected by the limits of its cluster: because too many requests are in
// flight, or because the request belongs to a randomly chosen share that is dropped.
func exceeds(limits *cluster.Limits, inFlight int64) bool {
	if limits.MaxRequests > 0 && inFlight > int64(limits.MaxRequests) {
		return true
	}
	for _, d := range limits.Drops {
		if rand.Float64() < d.Fraction {
			return true
		}
	}
	return false
}

// endRequest records the end of a request.
func (r *managedCluster) endRequest() {
	r.lastUsed.Store(int64(r.app.clock.Now()))
	r.inFlight.Add(-1)
}

// pick chooses the tier of a request at random, with probabilities that follow the health of the tiers.
func (t *tiers) pick() *tier {
	if len(t.list) <= 1 {
		return t.list[0]
	}
	return t.list[t.plan.Pick(time.Duration(time.Now().UnixNano()), rand.Float64())]
}
