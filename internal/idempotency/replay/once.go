// Package replay stands between a front and its clusters and has a keyed request that comes again get
// the outcome of the first instead of a run of its own. What is known of keys is internal/idempotency's;
// here are the lock, the waiting and the answers.
//
// The first request runs apart from its client: if that one leaves while others wait for the
// outcome, it goes on for them. A joiner keeps its own deadline and may leave without harm.
package replay

import (
	"context"
	"crypto/sha256"
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

// Replayed marks an answer that was made for an earlier request under the key.
const Replayed = "Idempotent-Replayed"

// Gate holds the keys of all clusters. Create it with New.
type Gate struct {
	clock engine.Clock

	mu    sync.Mutex
	store *idempotency.Store
	late  bool                          // attempts that clients did not wait for are listened to
	log   Log                           // nil: what is known ends with the process
	open  map[*idempotency.Entry]*first // as many as the store has running entries
}

// first is a request that runs under a key.
type first struct {
	entry  *idempotency.Entry
	key    idempotency.Key
	print  idempotency.Print
	stop   context.CancelFunc
	left   bool          // its client has; guarded by Gate.mu
	over   chan struct{} // closed at the end, after the following are set
	answer engine.Answer
	err    error
}

// New makes a gate that knows nothing yet.
func New(l idempotency.Limits, clock engine.Clock) *Gate {
	return &Gate{clock: clock, store: idempotency.New(l), open: map[*idempotency.Entry]*first{}}
}

// ListenLate has attempts that are still out when their client's time is up listened to for the rest
// of the window, so that a repeat gets their outcome. No request may have passed the gate yet.
func (g *Gate) ListenLate() { g.late = true }

// Log outlives the process; *keystore.Log is one.
type Log interface {
	// Started returns nil once it is durable that the key has started.
	Started(key idempotency.Key, print idempotency.Print, until time.Time) error
	Finished(key idempotency.Key, how idempotency.End)
}

// Keep has the gate write keys to a log, and take up what that one knows. No request may have
// passed the gate yet. It is an error if there is no room for all that is known: to forget some
// of it would be to run them again.
func (g *Gate) Keep(log Log, known []keystore.Known) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log = log
	for _, k := range known {
		if !g.store.Restore(k.Key, k.Print, k.Answered, g.clock.At(k.Until)) {
			return fmt.Errorf("repeats: the log knows %d keys, more than there is room for", len(known))
		}
	}
	return nil
}

// Cluster gives a cluster whose requests pass the gate. What comes of one is known for window,
// from its start; wait is what a request for which there is no room is told at the least.
func (g *Gate) Cluster(inner ingress.Cluster, window, wait time.Duration) ingress.Cluster {
	return gated{g, inner, window, wait}
}

type gated struct {
	*Gate
	inner        ingress.Cluster
	window, wait time.Duration
}

func conflict(status int, text string) error { return &ingress.Rejection{Status: status, Text: text} }

// Do implements ingress.Cluster. Besides that one's errors it gives an *ingress.Rejection: 409 where
// the first may have run and its outcome can't be had, 422 where the key stands for another request.
func (c gated) Do(ctx context.Context, r *engine.Request) (engine.Answer, error) {
	o, ok := r.Payload.(*h1client.Request)
	if !ok || o.Header.Get("Idempotency-Key") == "" {
		return c.inner.Do(ctx, r)
	}
	key := idempotency.Key{Tenant: r.Tenant, Name: o.Header.Get("Idempotency-Key")}
	whole := o.Upload == nil // else it can neither be told from another nor wait with its body unread
	c.mu.Lock()
	mark := Print(r.Class, o.Method, o.Target, o.Host, o.Body)
	verdict, entry, wait := c.store.Ask(c.clock.Now(), key, mark, c.window, whole)
	var f *first
	var kept any
	switch verdict {
	case idempotency.First:
		f = &first{entry: entry, key: key, print: mark, over: make(chan struct{})}
		c.open[entry] = f
	case idempotency.Joined:
		f = c.open[entry]
	case idempotency.Replayed:
		kept = entry.Outcome
	}
	c.mu.Unlock()
	switch verdict {
	case idempotency.First:
		return c.run(ctx, f, r)
	case idempotency.Joined:
		return c.join(ctx, f, r.Deadline)
	case idempotency.Replayed:
		if a, ok := kept.(engine.Answer); ok {
			return replay(a), nil
		}
		return engine.Answer{}, conflict(http.StatusConflict, "the request under this key was answered")
	case idempotency.Busy:
		return engine.Answer{}, conflict(http.StatusConflict, "a request under this key is open")
	case idempotency.Unknown:
		return engine.Answer{}, conflict(http.StatusConflict, "the request under this key may have run")
	case idempotency.Other:
		return engine.Answer{}, conflict(http.StatusUnprocessableEntity, "the key stands for another request")
	}
	return engine.Answer{Verdict: engine.Rejected, RetryAfter: max(wait, c.wait)}, nil
}

// run has the first decided, and waits for it as long as its client does.
func (c gated) run(ctx context.Context, f *first, r *engine.Request) (engine.Answer, error) {
	if o := r.Payload.(*h1client.Request); c.late && o.Upload == nil {
		r.LateAnswerTimeout = c.window
		r.OnLateAnswer = func(answer any) { c.heard(f, answer) }
	}
	if own := r.ClientDisconnected; own != nil { // a joiner waits for it too
		r.ClientDisconnected = func() bool {
			if !own() {
				return false
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.store.Waited(f.entry)
		}
	}
	apart, stop := context.WithCancel(context.WithoutCancel(ctx))
	f.stop = stop
	go func() {
		defer stop()
		if c.log != nil && c.log.Started(f.key, f.print, c.clock.Wall(c.clock.Now()+c.window)) != nil {
			f.answer = engine.Answer{Verdict: engine.Rejected, RetryAfter: c.wait} // it could run twice after a crash
		} else {
			f.answer, f.err = c.inner.Do(apart, r)
		}
		c.end(f)
	}()
	select {
	case <-f.over:
		return f.own()
	case <-ctx.Done():
	}
	c.mu.Lock()
	f.left = true
	alone := !c.store.Waited(f.entry)
	c.mu.Unlock()
	if alone {
		stop()
		<-f.over // soon: what came in the same instant is not kept by a client that left
	}
	return engine.Answer{}, engine.ErrClientDisconnected
}

// heard takes a late answer.
func (c gated) heard(f *first, answer any) {
	<-f.over
	a := engine.Answer{Verdict: engine.Served, Value: answer}
	h, ok := answer.(*h1client.Answer)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var outcome any
	if shared(a) {
		outcome = a
	} else {
		h.Close()
	}
	if c.store.Late(c.clock.Now(), f.entry, outcome, Weight(h)) && c.log != nil {
		c.log.Finished(f.key, idempotency.Answered)
	}
}

// own is the first's answer to its own client. What the store keeps is not handed out: a front
// changes the fields of an answer.
func (f *first) own() (engine.Answer, error) {
	if shared(f.answer) {
		return clone(f.answer, false), f.err
	}
	return f.answer, f.err
}

// end books what came of the first. A refusal of what may have run is no promise that an edge which
// must not run a thing twice can pass on.
func (c gated) end(f *first) {
	c.mu.Lock()
	defer c.mu.Unlock()
	how, outcome, size := idempotency.Lost, any(nil), int64(0)
	switch {
	case f.err == engine.ErrRetired, f.err == nil && f.answer.Verdict == engine.Rejected && !f.answer.MayHaveRun:
		how = idempotency.Refused
	case f.err == nil && f.answer.Verdict == engine.Served:
		how = idempotency.Answered
		if shared(f.answer) {
			outcome, size = f.answer, Weight(f.answer.Value.(*h1client.Answer))
		}
	}
	c.store.End(c.clock.Now(), f.entry, how, outcome, size)
	if c.log != nil {
		c.log.Finished(f.key, how) // under the lock: a later start of the key comes behind it
	}
	delete(c.open, f.entry)
	close(f.over)
}

// join waits for the first's outcome until the joiner's own end, or until its client leaves.
func (c gated) join(ctx context.Context, f *first, end time.Duration) (engine.Answer, error) {
	late := time.NewTimer(end - c.clock.Now())
	defer late.Stop()
	select {
	case <-f.over:
	case <-late.C:
		c.leave(f)
		return engine.Answer{Verdict: engine.Failed}, nil
	case <-ctx.Done():
		c.leave(f)
		return engine.Answer{}, engine.ErrClientDisconnected
	}
	switch {
	case f.err == nil && f.answer.Verdict == engine.Rejected && !f.answer.MayHaveRun:
		return engine.Answer{Verdict: engine.Rejected, RetryAfter: f.answer.RetryAfter}, nil
	case f.err == nil && shared(f.answer):
		return replay(f.answer), nil
	}
	return engine.Answer{Verdict: engine.Failed}, nil
}

// leave takes a joiner back; the last one ends a first whose own client has left.
func (c gated) leave(f *first) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[f.entry] != f {
		return // over, and the entry may be gone
	}
	if c.store.Leave(f.entry); f.left && !c.store.Waited(f.entry) {
		f.stop()
	}
}

// shared tells whether an answer can be given more than once.
func shared(a engine.Answer) bool {
	h, ok := a.Value.(*h1client.Answer)
	return ok && a.Verdict == engine.Served && h.Stream == nil && h.Tunnel == nil
}

func replay(a engine.Answer) engine.Answer { return clone(a, true) }

func clone(a engine.Answer, replayed bool) engine.Answer {
	h := *a.Value.(*h1client.Answer)
	if h.Header = h.Header.Clone(); h.Header == nil {
		h.Header = http.Header{}
	}
	if replayed {
		h.Header.Set(Replayed, "true")
	}
	a.Value = &h
	return a
}

// Weight is what an answer takes to keep, in bytes.
func Weight(a *h1client.Answer) int64 {
	size := int64(len(a.Body))
	for _, fields := range []http.Header{a.Header, a.Trailer} {
		for name, values := range fields {
			for _, v := range values {
				size += int64(len(name) + len(v))
			}
		}
	}
	return size
}

// Print tells the request from another under the same key, by SHA-256: who chooses keys and bodies
// would choose collisions of a weaker one too.
func Print(class int, method, target, host string, body []byte) (p idempotency.Print) {
	h := sha256.New()
	for _, part := range []string{method, target, host} { // with lengths, so that no two lists are alike
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	fmt.Fprintf(h, "%d:", class)
	h.Write(body)
	copy(p[:], h.Sum(nil))
	return p
}
