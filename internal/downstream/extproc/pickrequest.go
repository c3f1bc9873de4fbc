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

// pickKey identifies a request of a caller's while it is in flight.
type pickKey struct {
	tenant int
	id     string
}

// pickRequest is a request whose attempts the caller sends, over all streams on which it requests an endpoint: its
// first, and one for each of its own retries. For the engine it is one request, and each send of the caller's an
// attempt. It is the payload that the engine has carried.
type pickRequest struct {
	server    *Server
	key       pickKey
	admission admission
	cancel    context.CancelFunc
	// reportsRetries says that the caller opens a stream for each retry of its own. Otherwise a request has one
	// attempt: no stream would come for another endpoint.
	reportsRetries bool
	endpoints      chan *pickedEndpoint // from the engine's attempt to a stream that waits

	done   chan struct{} // closed with the engine's answer
	answer engine.Answer // set before done is closed, as is err
	err    error

	// mu guards the fields below.
	mu      sync.Mutex
	waiting int  // streams that wait for an endpoint
	named   int  // endpoints that were named to the caller
	mayRun  bool // an attempt that has ended may have run
	pending bool // an endpoint was named, and the attempt's outcome is not known yet
}

// pickedEndpoint is an endpoint that the engine chose for an attempt.
type pickedEndpoint struct {
	call    *engine.Call
	address string
	outcome chan policy.Status // of capacity 1; takes the attempt's outcome

	reported bool // an outcome was reported; guarded by the request's mu
}

var (
	_ engine.StreamingPayload = (*pickRequest)(nil)
	_ engine.SelfTimedPayload = (*pickRequest)(nil)
)

// Streaming implements engine.StreamingPayload: a caller sends one attempt at a time.
func (*pickRequest) Streaming() bool { return true }

// Consumed implements engine.StreamingPayload.
func (*pickRequest) Consumed() bool { return false }

// SelfTimed implements engine.SelfTimedPayload: a caller has timeouts of its own.
func (*pickRequest) SelfTimed() {}

// Carry is an attempt: the endpoint is named to the caller, and what the caller reports is its outcome. An attempt that
// no stream requests within RetryStreamTimeout has not been sent, and is the last of the request.
func (r *pickRequest) Carry(call *engine.Call, address string, _ time.Duration) engine.Result {
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
		r.pending, r.mayRun = false, true
		r.mu.Unlock()
		r.server.Stats.UnreportedOutcomes.Add(1)
		return engine.Result{Status: policy.Cancelled}
	}
}

// offer waits for a stream that takes the endpoint. If none does, it returns the attempt's result.
func (r *pickRequest) offer(e *pickedEndpoint, stopped <-chan struct{}) (result engine.Result, taken bool) {
	select {
	case r.endpoints <- e: // a stream waits already, as a rule
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

// reportOutcome ends the attempt at an endpoint. Only the first call for it counts.
func (r *pickRequest) reportOutcome(e *pickedEndpoint, status policy.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.reported {
		return
	}
	e.reported = true
	e.outcome <- status
	r.pending = false
	sent := status != policy.ConnectFailed && status != policy.Rejected && status != policy.NeverSent
	r.mayRun = r.mayRun || sent
}

// addStream adds a stream that waits for an endpoint, and reports whether it may: for a retry of the caller's, but not
// for a second request under the same id while the first is in flight. attempt is the caller's count, 0 if unknown.
func (r *pickRequest) addStream(attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isRetry := !r.pending && r.waiting == 0 || attempt > r.named
	if isRetry {
		r.waiting++
	}
	return isRetry
}

// removeStream removes a stream that waited. It reports whether the request has neither another stream nor an attempt.
func (r *pickRequest) removeStream() (abandoned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	return r.waiting == 0 && !r.pending
}

// run has the engine decide on the request until its answer.
func (r *pickRequest) run(ctx context.Context, c ingress.Handler, q *engine.Request) {
	defer r.cancel()
	answer, err := c.Do(ctx, q)
	r.mu.Lock()
	mayHaveRun := r.mayRun || r.pending // Carry may not have noticed yet that the deadline has passed
	r.mu.Unlock()
	switch {
	case err == nil && answer.Verdict == engine.Served:
		r.server.complete(r.admission, idempotency.Answered, nil, 0)
		r.server.Stats.Served.Add(1)
	case !mayHaveRun: // of a request that may have run a rejection would be a promise, though no stream may wait for it
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
