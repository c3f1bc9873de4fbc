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
func (m *managedCluster) Do(ctx context.Context, request *engine.Request) (engine.Answer, error) {
	a, err := m.doOnce(ctx, request)
	for range maxMigrations {
		if !m.retired.Load() || !m.mayMigrate(request, a, err) {
			break
		}
		successor := m.app.state.Load().clusters[m.name]
		if successor == nil || successor == m {
			break
		}
		migrated, ok := successor.migrateRequest(m, request)
		if !ok {
			break
		}
		m, request = successor, migrated
		a, err = m.doOnce(ctx, request)
	}
	return a, err
}

// mayMigrate reports whether a request may be started again at another cluster after this outcome: the client has
// received nothing from an endpoint, and either no attempt can have run or the request's class is idempotent.
func (m *managedCluster) mayMigrate(request *engine.Request, a engine.Answer, err error) bool {
	switch {
	case err != nil:
		return errors.Is(err, engine.ErrRetired)
	case a.Verdict == engine.Served, a.Verdict == engine.Failed && a.Value != nil:
		return false
	}
	return !a.MayHaveRun || m.settings.Classes[request.Class].Idempotency == policy.Idempotent
}

// migrateRequest translates a request to another cluster into a request to this cluster. It returns false if the
// request's body is incomplete or can't be sent from its beginning, or if this cluster lacks the class or the tenant.
func (m *managedCluster) migrateRequest(from *managedCluster, request *engine.Request) (*engine.Request, bool) {
	body, streaming := request.Payload.(engine.StreamingPayload)
	if request.BodyIncomplete || streaming && (body.Consumed() || body.Streaming()) {
		return nil, false
	}
	class := m.correspondingClass(&from.classes[request.Class])
	if class < 0 {
		return nil, false
	}
	tenant := m.tenants.correspondingTenant(from.tenants, request.Tenant)
	if tenant < 0 {
		return nil, false
	}
	return &engine.Request{
		Class: class, Tenant: tenant, WorkHint: request.WorkHint,
		Deadline: request.Deadline, UploadTimeout: request.UploadTimeout, Payload: request.Payload,
		MaxAttempts: request.MaxAttempts, PerTryTimeout: request.PerTryTimeout,
		OnLateAnswer: request.OnLateAnswer, LateAnswerTimeout: request.LateAnswerTimeout,
		SendAllowed: request.SendAllowed, SendRetryAfter: request.SendRetryAfter,
		ClientDisconnected: request.ClientDisconnected,
	}, true
}

// correspondingClass returns the index of the cluster's class with the same name and idempotency as class, or -1 if there
// is none.
func (m *managedCluster) correspondingClass(class *config.Class) int {
	i := slices.IndexFunc(m.classes, func(c config.Class) bool { return c.Name == class.Name })
	if i < 0 || m.classes[i].Idempotency != class.Idempotency {
		return -1
	}
	return i
}

// doOnce passes a request to the engine of a tier, or rejects the request if it exceeds the cluster's limits.
func (m *managedCluster) doOnce(ctx context.Context, request *engine.Request) (engine.Answer, error) {
	inFlight := m.inFlight.Add(1) // must precede the read of m.active: see deactivate
	defer m.endRequest()
	t, err := m.activate()
	if err != nil {
		return engine.Answer{}, err
	}
	if exceeds(&t.limits, inFlight) {
		return engine.Answer{Verdict: engine.Rejected, RetryAfter: m.settings.Limits.MaxRetryAfter}, nil
	}
	a, err := t.pick().engine.Do(ctx, request)
	if errors.Is(err, engine.ErrRetired) { // an update retired the tier before it sent anything
		if current := m.active.Load(); current != nil && current != t {
			a, err = current.list[0].engine.Do(ctx, request)
		}
	}
	if err == nil && a.Verdict == engine.Served {
		if o, ok := request.Payload.(*h1client.Request); ok {
			limits := streamtimeout.Limits{MaxDuration: o.Limits.MaxDuration, DrainTimeout: o.Limits.DrainTimeout}
			m.streams.limit(a, limits)
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
func (m *managedCluster) endRequest() {
	m.lastUsed.Store(int64(m.app.clock.Now()))
	m.inFlight.Add(-1)
}

// pick chooses the tier of a request at random, with probabilities that follow the health of the tiers.
func (t *tiers) pick() *tier {
	if len(t.list) <= 1 {
		return t.list[0]
	}
	return t.list[t.plan.Pick(time.Duration(time.Now().UnixNano()), rand.Float64())]
}
