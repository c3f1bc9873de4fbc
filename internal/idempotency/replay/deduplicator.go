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
	// ReplayedHeader is the field of an answer that was made for an earlier request under the key.
	ReplayedHeader = "Idempotent-Replayed"
)

// Deduplicator holds the idempotency keys of all clusters. Create it with New; it is safe for concurrent use.
type Deduplicator struct {
	clock engine.Clock

	// Set before the first request:
	acceptLate bool // answers after the client's deadline complete their key
	log        Log  // nil: keys are forgotten when the process ends

	mu      sync.Mutex // guards the following, and clientLeft of executions
	store   *idempotency.Store
	running map[*idempotency.Entry]*execution // by running entry of the store
}

// Log makes keys outlive the process.
type Log interface {
	// RecordStart returns nil once it is durable that the request under the key has started.
	RecordStart(key idempotency.Key, fingerprint idempotency.Fingerprint, expiresAt time.Time) error
	// RecordCompletion records how the request under a key that has started ended. It need not be durable.
	RecordCompletion(key idempotency.Key, how idempotency.Completion)
}

var _ Log = (*keystore.Log)(nil)

// New makes a deduplicator without keys.
func New(l idempotency.Limits, clock engine.Clock) *Deduplicator {
	return &Deduplicator{clock: clock, store: idempotency.New(l), running: map[*idempotency.Entry]*execution{}}
}

// AcceptLateOutcomes has attempts that are in flight at their client's deadline go on for the rest of the window
// of the key, so that a repeat gets their outcome. It is called before the first request.
func (d *Deduplicator) AcceptLateOutcomes() { d.acceptLate = true }

// AttachLog has starts and completions recorded in a log, and restores the keys that are in it. It is called
// before the first request. It fails if the store has no capacity for all keys: a forgotten one could run again.
func (d *Deduplicator) AttachLog(log Log, known []keystore.KnownKey) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log = log
	for _, k := range known {
		if !d.store.Restore(k.Key, k.Fingerprint, k.Answered, d.clock.At(k.ExpiresAt)) {
			return fmt.Errorf("repeats: the log knows %d keys, more than there is room for", len(known))
		}
	}
	return nil
}

// Cluster wraps a cluster so that its requests with an idempotency key are deduplicated. The window is how long a
// key is known, from the start of its first request; minRetryAfter is the least Retry-After of a request for
// which there is no capacity.
func (d *Deduplicator) Cluster(inner ingress.Handler, window, minRetryAfter time.Duration) ingress.Handler {
	return &cluster{Deduplicator: d, inner: inner, window: window, minRetryAfter: minRetryAfter}
}

// cluster is one cluster behind a Deduplicator.
type cluster struct {
	*Deduplicator
	inner                 ingress.Handler
	window, minRetryAfter time.Duration
}

// Do implements ingress.Handler. Besides the errors of the wrapped cluster it gives an *ingress.Rejection: 409
// where the first request may have run and its outcome is not available, 422 where the key belongs to another
// request.
func (c *cluster) Do(ctx context.Context, r *engine.Request) (engine.Answer, error) {
	o, ok := r.Payload.(*h1client.Request)
	if !ok || o.Header.Get(keyHeader) == "" {
		return c.inner.Do(ctx, r)
	}
	d := c.begin(r, o)
	switch d.verdict {
	case idempotency.First:
		return c.runFirst(ctx, d.execution, r)
	case idempotency.Joined:
		return c.join(ctx, d.execution, r.Deadline)
	case idempotency.Replayed:
		if a, ok := d.cached.(engine.Answer); ok {
			return replayed(a), nil
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

func conflict(text string) error {
	return &ingress.Rejection{Status: http.StatusConflict, Message: text}
}

// decision is how a request under a key is handled.
type decision struct {
	verdict    idempotency.Verdict
	execution  *execution    // of the first request; for First and Joined
	cached     any           // outcome, for Replayed; nil: not cached
	retryAfter time.Duration // for StoreFull; 0: not known
}

// begin decides by the store how a request is handled.
func (c *cluster) begin(r *engine.Request, o *h1client.Request) decision {
	key := idempotency.Key{Tenant: r.Tenant, Name: o.Header.Get(keyHeader)}
	// A request whose body is still being read can't wait, and its fingerprint lacks the body.
	canWait := o.Upload == nil
	c.mu.Lock()
	defer c.mu.Unlock()
	fingerprint := Fingerprint(r.Class, o.Method, o.Target, o.Host, o.Body)
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
