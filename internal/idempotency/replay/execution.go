package replay

import (
	"context"
	"errors"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/upstream/h1client"
)

// execution is the first request under a key, while it runs.
type execution struct {
	entry       *idempotency.Entry
	key         idempotency.Key
	fingerprint idempotency.Fingerprint
	cancel      context.CancelFunc
	clientLeft  bool // the client of the first request disconnected; guarded by Deduplicator.mu

	done   chan struct{} // closed after answer and err are set
	answer engine.Answer
	err    error
}

// runFirst runs the first request under a key, and waits for it as long as its client does.
func (c *cluster) runFirst(ctx context.Context, e *execution, r *engine.Request) (engine.Answer, error) {
	c.observeLateAnswer(e, r)
	c.ignoreDisconnectWhileJoined(e, r)
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	go func() {
		defer cancel()
		c.execute(detached, e, r)
		c.complete(e)
	}()
	select {
	case <-e.done:
		return e.firstAnswer()
	case <-ctx.Done():
	}
	if c.abandon(e) {
		cancel()
		<-e.done // soon, since its context has ended
	}
	return engine.Answer{}, engine.ErrClientDisconnected
}

// observeLateAnswer has an answer after the client's deadline complete the key, where that is configured. A
// request whose body is still being read can't be attempted beyond its client.
func (c *cluster) observeLateAnswer(e *execution, r *engine.Request) {
	if o := r.Payload.(*h1client.Request); !c.acceptLate || o.Upload != nil {
		return
	}
	r.LateAnswerTimeout = c.window
	r.OnLateAnswer = func(answer any) { c.completeLate(e, answer) }
}

// ignoreDisconnectWhileJoined has a request whose client disconnected go on as long as others wait for its
// outcome.
func (c *cluster) ignoreDisconnectWhileJoined(e *execution, r *engine.Request) {
	disconnected := r.ClientDisconnected
	if disconnected == nil {
		return
	}
	r.ClientDisconnected = func() bool {
		if !disconnected() {
			return false
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.store.HasJoiners(e.entry)
	}
}

// execute records the start of the request and has the cluster answer it. Without a durable record it does not
// run: it could run a second time after a crash.
func (c *cluster) execute(ctx context.Context, e *execution, r *engine.Request) {
	if c.log != nil {
		expiresAt := c.clock.Wall(c.clock.Now() + c.window)
		if err := c.log.RecordStart(e.key, e.fingerprint, expiresAt); err != nil {
			e.answer = engine.Answer{Verdict: engine.Rejected, RetryAfter: c.minRetryAfter}
			return
		}
	}
	e.answer, e.err = c.inner.Do(ctx, r)
}

// abandon notes that the client of the first request disconnected, and reports whether nobody else waits for the
// outcome.
func (c *cluster) abandon(e *execution) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.clientLeft = true
	return !c.store.HasJoiners(e.entry)
}

// complete records the outcome of an execution and releases those who wait for it.
func (c *cluster) complete(e *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	how := e.completion()
	var outcome any
	var size int64
	if how == idempotency.Answered && shareable(e.answer) {
		outcome, size = e.answer, AnswerBytes(e.answer.Value.(*h1client.Answer))
	}
	c.store.Complete(c.clock.Now(), e.entry, how, outcome, size)
	if c.log != nil {
		c.log.RecordCompletion(e.key, how) // under the lock: a later start of the key follows it in the log
	}
	delete(c.running, e.entry)
	close(e.done)
}

// completion classifies the outcome. A rejection of a request that may have run does not promise that it has not.
func (e *execution) completion() idempotency.Completion {
	switch {
	case errors.Is(e.err, engine.ErrRetired), e.rejectedUnstarted():
		return idempotency.Rejected
	case e.err == nil && e.answer.Verdict == engine.Served:
		return idempotency.Answered
	}
	return idempotency.Indeterminate
}

// rejectedUnstarted reports whether the request was rejected and no attempt may have run.
func (e *execution) rejectedUnstarted() bool {
	return e.err == nil && e.answer.Verdict == engine.Rejected && !e.answer.MayHaveRun
}

// completeLate records an answer that came after the client's deadline.
func (c *cluster) completeLate(e *execution, late any) {
	<-e.done
	value, ok := late.(*h1client.Answer)
	if !ok {
		return
	}
	answer := engine.Answer{Verdict: engine.Served, Value: late}
	c.mu.Lock()
	defer c.mu.Unlock()
	var outcome any
	if shareable(answer) {
		outcome = answer
	} else {
		value.Close()
	}
	if c.store.CompleteLate(c.clock.Now(), e.entry, outcome, AnswerBytes(value)) && c.log != nil {
		c.log.RecordCompletion(e.key, idempotency.Answered)
	}
}

// firstAnswer is the answer to the first request's own client. A server changes the header of an answer, so that
// a cached one is copied.
func (e *execution) firstAnswer() (engine.Answer, error) {
	if shareable(e.answer) {
		return clone(e.answer), e.err
	}
	return e.answer, e.err
}

// join waits for the outcome of the first request until the joiner's own deadline, or until its client
// disconnects.
func (c *cluster) join(ctx context.Context, e *execution, deadline time.Duration) (engine.Answer, error) {
	timer := time.NewTimer(deadline - c.clock.Now())
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
		c.leave(e)
		return engine.Answer{Verdict: engine.Failed}, nil
	case <-ctx.Done():
		c.leave(e)
		return engine.Answer{}, engine.ErrClientDisconnected
	}
	switch {
	case e.rejectedUnstarted():
		return engine.Answer{Verdict: engine.Rejected, RetryAfter: e.answer.RetryAfter}, nil
	case e.err == nil && shareable(e.answer):
		return replayed(e.answer), nil
	}
	return engine.Answer{Verdict: engine.Failed}, nil
}

// leave takes a joiner back. The last one cancels an execution whose own client disconnected.
func (c *cluster) leave(e *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[e.entry] != e {
		return // it has completed, and its entry may be gone
	}
	c.store.RemoveJoiner(e.entry)
	if e.clientLeft && !c.store.HasJoiners(e.entry) {
		e.cancel()
	}
}
