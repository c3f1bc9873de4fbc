package extproc

import (
	"context"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
	"yokestall/policy"
)

// pickKey identifies a caller's request while it is in flight.
type pickKey struct {
	tenant int
	id     string // the request id
}

// pickRequest is a request whose attempts the caller sends. It spans all streams on which the caller requests an
// endpoint for it: the first stream, and one for each of the caller's own retries. For the engine it is one request, of
// which each send by the caller is an attempt. pickRequest is the engine's payload of that request.
type pickRequest struct {
	server    *Server
	key       pickKey
	admission admission
	cancel    context.CancelFunc
	// reportsRetries says that the caller opens a stream for each of its own retries. Otherwise an attempt that was sent
	// is the request's last one, because no stream would be opened for another endpoint.
	reportsRetries   bool
	repeatIsHarmless bool                 // see ingress.Destination
	endpoints        chan *pickedEndpoint // passes an attempt's endpoint from SendAttempt to a waiting stream

	done   chan struct{} // closed once the engine has answered
	answer engine.Answer // the engine's answer; set before done is closed
	err    error         // the engine's error; set before done is closed

	// mu guards the fields below.
	mu             sync.Mutex
	waitingStreams int  // number of streams that wait for an endpoint
	namedEndpoints int  // number of endpoints that were named to the caller
	mayHaveRun     bool // set once an ended attempt may have run
	attemptPending bool // set while the latest named endpoint's attempt has no outcome yet
}

// pickedEndpoint is an endpoint that the engine picked for an attempt.
type pickedEndpoint struct {
	call    *engine.Call
	address string
	outcome chan policy.Status // receives the attempt's outcome; has capacity 1

	reported bool // set once an outcome was reported; guarded by pickRequest.mu
}

var (
	_ engine.StreamingPayload = (*pickRequest)(nil)
	_ engine.SelfTimedPayload = (*pickRequest)(nil)
)

// Streaming implements engine.StreamingPayload. It returns true because a caller sends one attempt at a time.
func (*pickRequest) Streaming() bool { return true }

// Consumed implements engine.StreamingPayload. It returns false because the payload stays with the caller.
func (*pickRequest) Consumed() bool { return false }

// SelfTimed implements engine.SelfTimedPayload, because a caller has timeouts of its own.
func (*pickRequest) SelfTimed() {}

// SendAttempt makes an attempt: it passes the endpoint to a stream, which names it to the caller, and returns the
// outcome that the caller reports. If no stream takes the endpoint within RetryStreamTimeout, the attempt was never
// sent, and it is the request's last one.
func (r *pickRequest) SendAttempt(call *engine.Call, address string, _ time.Duration) engine.Result {
	e := &pickedEndpoint{call: call, address: address, outcome: make(chan policy.Status, 1)}
	stopped := make(chan struct{})
	call.OnStop(func() { close(stopped) })
	if result, taken := r.offer(e, stopped); !taken {
		return result
	}
	select {
	case status := <-e.outcome:
		return engine.Result{Status: status, Final: status != policy.NeverSent && !r.reportsRetries}
	case <-stopped: // the request's deadline has passed
		r.mu.Lock()
		r.attemptPending, r.mayHaveRun = false, true
		r.mu.Unlock()
		r.server.Stats.UnreportedOutcomes.Add(1)
		return engine.Result{Status: policy.Cancelled}
	}
}

// offer waits for a stream that takes the endpoint. If none takes it, offer returns the attempt's result.
func (r *pickRequest) offer(e *pickedEndpoint, stopped <-chan struct{}) (result engine.Result, taken bool) {
	select {
	case r.endpoints <- e: // the usual case: a stream is already waiting
		return engine.Result{}, true
	default:
	}
	timer := time.NewTimer(r.server.RetryStreamTimeout)
	defer timer.Stop()
	select {
	case r.endpoints <- e:
		return engine.Result{}, true
	case <-stopped:
		return engine.Result{Status: policy.NeverSent}, false
	case <-timer.C:
		return engine.Result{Status: policy.NeverSent, Final: true}, false
	}
}

// reportOutcome ends the attempt at an endpoint. Only the first call for each pickedEndpoint has an effect.
func (r *pickRequest) reportOutcome(e *pickedEndpoint, status policy.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.reported {
		return
	}
	e.reported = true
	e.outcome <- status
	r.attemptPending = false
	r.mayHaveRun = r.mayHaveRun || !status.NeverRan()
}

// addStream adds a stream that waits for an endpoint if the stream is for a retry by the caller, and reports whether it
// is. A stream for a second request with the same id is not added while the first request is in flight. attempt is the
// number of the caller's attempt, 0 if unknown.
func (r *pickRequest) addStream(attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isRetry := !r.attemptPending && r.waitingStreams == 0 || attempt > r.namedEndpoints
	if isRetry {
		r.waitingStreams++
	}
	return isRetry
}

// removeStream removes a waiting stream. It reports whether the request is abandoned: it has neither another waiting
// stream nor an attempt without an outcome.
func (r *pickRequest) removeStream() (abandoned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingStreams--
	return r.waitingStreams == 0 && !r.attemptPending
}

// run passes the request to the engine, waits for the engine's answer and ends the request.
func (r *pickRequest) run(ctx context.Context, c ingress.Handler, q *engine.Request) {
	defer r.cancel()
	answer, err := c.Do(ctx, q)
	r.mu.Lock()
	mayHaveRun := r.mayHaveRun || r.attemptPending // SendAttempt may not have noticed yet that the deadline has passed
	r.mu.Unlock()
	switch {
	case err == nil && answer.Verdict == engine.Served:
		r.server.complete(r.admission, idempotency.Answered, nil, 0)
		r.server.Stats.Served.Add(1)
	case !mayHaveRun: // a rejection promises that the request has not run, even if no stream waits for the answer
		r.server.complete(r.admission, idempotency.Rejected, nil, answer.RetryAfter)
	default:
		r.server.complete(r.admission, idempotency.Indeterminate, nil, 0)
	}
	r.server.mu.Lock()
	delete(r.server.picks, r.key)
	r.server.mu.Unlock()
	r.answer, r.err = answer, err
	close(r.done)
}
