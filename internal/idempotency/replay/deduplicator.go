package replay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/idempotency/keystore"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

const (
	// keyHeader is the request header field that carries the idempotency key.
	keyHeader = "Idempotency-Key"
	// ReplayedHeader is the header field that marks an answer as a replay of the first request's answer.
	ReplayedHeader = "Idempotent-Replayed"
)

// Deduplicator deduplicates the requests of all clusters by their idempotency keys. Create it with New. A Deduplicator is
// safe for concurrent use.
type Deduplicator struct {
	clock engine.Clock

	// The fields acceptLate and log are set before the first request.
	acceptLate bool   // an answer after the final answer of its request completes the key
	log        KeyLog // nil means that keys are lost when the process ends

	mu      sync.Mutex // guards store, running, and execution.clientDisconnected
	store   *idempotency.Store
	running map[*idempotency.Entry]*execution // by the store's entry, for keys whose first request runs
}

// KeyLog records keys so that they are known after a restart of the process.
type KeyLog interface {
	// RecordStart records that the request under the key has started. It returns nil once the record is durable.
	RecordStart(key idempotency.Key, fingerprint idempotency.Fingerprint, expiresAt time.Time) error
	// RecordCompletion records how the request under the key ended. The record need not be durable when the call returns.
	RecordCompletion(key idempotency.Key, how idempotency.Completion)
}

var _ KeyLog = (*keystore.Log)(nil)

// New returns a Deduplicator without keys.
func New(l idempotency.Limits, clock engine.Clock) *Deduplicator {
	return &Deduplicator{clock: clock, store: idempotency.New(l), running: map[*idempotency.Entry]*execution{}}
}

// AcceptLateOutcomes lets attempts that are in flight when their request ends, such as at the deadline, go on for up to the
// length of the key's window, so that a repeated request gets their outcome. It must be called before the first request.
func (d *Deduplicator) AcceptLateOutcomes() { d.acceptLate = true }

// AttachLog restores the keys of a log and lets the Deduplicator record starts and completions in it. It must be called
// before the first request. It returns an error if the store has no capacity for all keys, because the request of a key
// that is not restored could run again.
func (d *Deduplicator) AttachLog(log KeyLog, known []keystore.KnownKey) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log = log
	for _, k := range known {
		if !d.store.Restore(k.Key, k.Fingerprint, k.Answered, d.clock.At(k.ExpiresAt)) {
			return fmt.Errorf("replay: log of idempotency keys has %d keys, more than the limits of the store allow", len(known))
		}
	}
	return nil
}

// WrapCluster returns a handler that deduplicates requests with an idempotency key and forwards the others to inner. window is
// the length of a key's deduplication window, which begins at the start of the first request. minRetryAfter is the minimum
// Retry-After of a request that is rejected because the store is full or because its start can't be recorded.
func (d *Deduplicator) WrapCluster(inner ingress.Handler, window, minRetryAfter time.Duration) ingress.Handler {
	return &cluster{Deduplicator: d, inner: inner, window: window, minRetryAfter: minRetryAfter}
}

// cluster is a cluster whose requests are deduplicated.
type cluster struct {
	*Deduplicator
	inner                 ingress.Handler
	window, minRetryAfter time.Duration
}

// Do implements ingress.Handler. In addition to the errors of the wrapped cluster it returns an *ingress.Rejection with
// status 409 if the first request is running and this one can't wait for it, or if the first request may have run and its
// outcome is not available. The status is 422 if the first request under the key has another fingerprint.
func (c *cluster) Do(ctx context.Context, r *engine.Request) (engine.Answer, error) {
	payload, ok := r.Payload.(*h1client.Request)
	if !ok || payload.Header.Get(keyHeader) == "" {
		return c.inner.Do(ctx, r)
	}
	d := c.decide(r, payload)
	switch d.verdict {
	case idempotency.First:
		return c.runFirst(ctx, d.execution, r)
	case idempotency.Joined:
		return c.join(ctx, d.execution, r.Deadline)
	case idempotency.Replayed:
		if a, ok := d.cached.(engine.Answer); ok {
			return cloneAsReplay(a), nil
		}
		return engine.Answer{}, conflict("the request under this key was answered")
	case idempotency.InProgress:
		return engine.Answer{}, conflict("a request under this key is open")
	case idempotency.OutcomeUnknown:
		return engine.Answer{}, conflict("the request under this key may have run")
	case idempotency.Mismatch:
		return engine.Answer{}, &ingress.Rejection{
			Status: http.StatusUnprocessableEntity, Message: "the key stands for another request",
		}
	}
	return engine.Answer{Verdict: engine.Rejected, RetryAfter: max(d.retryAfter, c.minRetryAfter)}, nil
}

// conflict returns a rejection with status 409.
func conflict(text string) error {
	return &ingress.Rejection{Status: http.StatusConflict, Message: text}
}

// decision is the decision on how to handle a request under a key.
type decision struct {
	verdict    idempotency.Verdict
	execution  *execution    // the first request, for First and Joined
	cached     any           // the cached outcome, for Replayed; nil if none is cached
	retryAfter time.Duration // for StoreFull: time until there may be capacity; 0 if unknown
}

// decide submits a request to the store and returns the decision. For First it creates the execution.
func (c *cluster) decide(r *engine.Request, payload *h1client.Request) decision {
	key := idempotency.Key{Tenant: r.Tenant, Name: payload.Header.Get(keyHeader)}
	// A request whose body is still being read can't wait for another one, and its fingerprint does not cover the body.
	canWait := payload.Upload == nil
	c.mu.Lock()
	defer c.mu.Unlock()
	fingerprint := Fingerprint(r.Class, payload.Method, payload.Target, payload.Host, payload.Body)
	verdict, entry, retryAfter := c.store.Begin(c.clock.Now(), key, fingerprint, c.window, canWait)
	d := decision{verdict: verdict, retryAfter: retryAfter}
	switch verdict {
	case idempotency.First:
		d.execution = &execution{entry: entry, key: key, fingerprint: fingerprint, done: make(chan struct{})}
		c.running[entry] = d.execution
	case idempotency.Joined:
		d.execution = c.running[entry]
	case idempotency.Replayed:
		d.cached = entry.Outcome
	}
	return d
}
