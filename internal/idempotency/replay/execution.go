package replay

import (
	"context"
	"errors"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/upstream/h1client"
)

// execution is the first request under a key from its start until its outcome is recorded.
type execution struct {
	entry              *idempotency.Entry
	key                idempotency.Key
	fingerprint        idempotency.Fingerprint
	cancel             context.CancelFunc
	clientDisconnected bool // the first request's own client disconnected; guarded by Deduplicator.mu

	done   chan struct{} // closed once answer and err are set and recorded
	answer engine.Answer
	err    error
}

// runFirst runs the first request under a key and waits for its outcome until the request's own client disconnects.
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
	if c.recordDisconnect(e) {
		cancel()
		<-e.done // closed soon, because the context of the execution has ended
	}
	return engine.Answer{}, engine.ErrClientDisconnected
}

// observeLateAnswer lets an answer that arrives after the request has ended complete the key, if AcceptLateOutcomes was
// called. It does nothing for a request whose body is still being read, because its attempts can't outlive its client.
func (c *cluster) observeLateAnswer(e *execution, r *engine.Request) {
	if payload := r.Payload.(*h1client.Request); !c.acceptLate || payload.Upload != nil {
		return
	}
	r.LateAnswerTimeout = c.window
	r.OnLateAnswer = func(answer any) { c.completeLate(e, answer) }
}

// ignoreDisconnectWhileJoined makes the request count as connected while other requests wait for its outcome, even if its
// own client has disconnected.
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

// execute records the start of the request in the log, if there is one, and forwards the request to the cluster. If the
// start is not durable, it rejects the request, which could otherwise run a second time after a crash.
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

// recordDisconnect records that the client of the first request disconnected, and reports whether no other request waits
// for the outcome.
func (c *cluster) recordDisconnect(e *execution) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.clientDisconnected = true
	return !c.store.HasJoiners(e.entry)
}

// complete records the outcome of an execution and wakes the requests that wait for it.
func (c *cluster) complete(e *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	completion := e.completion()
	var outcome any
	var size int64
	if completion == idempotency.Answered && shareable(e.answer) {
		outcome, size = e.answer, AnswerBytes(e.answer.Value.(*h1client.Answer))
	}
	c.store.Complete(c.clock.Now(), e.entry, completion, outcome, size)
	if c.log != nil {
		// With mu locked, a later start of the key follows the completion in the log.
		c.log.RecordCompletion(e.key, completion)
	}
	delete(c.running, e.entry)
	close(e.done)
}

// completion classifies the outcome. A request that the cluster did not accept (engine.ErrRetired) is Rejected. A request
// that was rejected after an attempt may have run is Indeterminate.
func (e *execution) completion() idempotency.Completion {
	switch {
	case errors.Is(e.err, engine.ErrRetired), e.rejectedWithoutRunning():
		return idempotency.Rejected
	case e.err == nil && e.answer.Verdict == engine.Served:
		return idempotency.Answered
	}
	return idempotency.Indeterminate
}

// rejectedWithoutRunning reports whether the request was rejected and no attempt may have run.
func (e *execution) rejectedWithoutRunning() bool {
	return e.err == nil && e.answer.Verdict == engine.Rejected && !e.answer.MayHaveRun
}

// completeLate records an answer that arrived after the request had ended without being served.
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

// firstAnswer returns the answer for the first request's own client. A shareable answer is copied, because it may be cached
// and a server changes the header of the answers that it gets.
func (e *execution) firstAnswer() (engine.Answer, error) {
	if shareable(e.answer) {
		return clone(e.answer), e.err
	}
	return e.answer, e.err
}

// join waits for the outcome of the first request until the waiting request's own deadline, or until its client
// disconnects.
func (c *cluster) join(ctx context.Context, e *execution, deadline time.Duration) (engine.Answer, error) {
	timer := time.NewTimer(deadline - c.clock.Now())
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
		c.removeJoiner(e)
		return engine.Answer{Verdict: engine.Failed}, nil
	case <-ctx.Done():
		c.removeJoiner(e)
		return engine.Answer{}, engine.ErrClientDisconnected
	}
	switch {
	case e.rejectedWithoutRunning():
		return engine.Answer{Verdict: engine.Rejected, RetryAfter: e.answer.RetryAfter}, nil
	case e.err == nil && shareable(e.answer):
		return cloneAsReplay(e.answer), nil
	}
	return engine.Answer{Verdict: engine.Failed}, nil
}

// removeJoiner tells the store that a request no longer waits for the execution. If it was the last one and the execution's
// own client has disconnected, it cancels the execution.
func (c *cluster) removeJoiner(e *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[e.entry] != e {
		return // the execution has completed, and the store may have removed its entry
	}
	c.store.RemoveJoiner(e.entry)
	if e.clientDisconnected && !c.store.HasJoiners(e.entry) {
		e.cancel()
	}
}
