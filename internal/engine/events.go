package engine

import (
	"time"

	"yokestall/policy"
)

// event is one thing that the loop handles. An event's time is when the loop takes it.
//
// The events of every request hold one pointer, so that they need no allocation as interface values.
type event interface {
	apply(c *Cluster, now time.Duration)
}

type (
	// requestReceived begins a request.
	requestReceived struct{ request *Request }
	// bodyCompleted is the arrival of a request's last byte; its final answer is due at deadline.
	bodyCompleted struct {
		request  *Request
		deadline time.Duration
	}
	// clientDisconnected ends a request without an answer.
	clientDisconnected struct{ request *Request }
	// requestAnswered removes a request that has its final answer.
	requestAnswered struct{ request *Request }

	// exchangeReturned ends an attempt with attempt.result.
	exchangeReturned struct{ attempt *attempt }
	// attemptEnded ends an attempt without an answer, by its timeout, its cancellation, or before it started.
	attemptEnded struct {
		attempt *attempt
		status  policy.Status
	}

	// endpointsUpdated is a change of the endpoint list.
	endpointsUpdated struct {
		kind      policy.UpdateKind
		endpoints []policy.Endpoint
	}
	// abortRequested ends all requests.
	abortRequested struct{}
	// functionCall is a function to run on the loop's goroutine.
	functionCall func()
)

func (e requestReceived) apply(c *Cluster, now time.Duration) { c.startRequest(now, e.request) }

func (e bodyCompleted) apply(c *Cluster, now time.Duration) {
	c.bodyComplete(now, e.request, e.deadline)
}

func (e clientDisconnected) apply(c *Cluster, now time.Duration) {
	c.clientDisconnected(now, e.request)
}

func (e requestAnswered) apply(c *Cluster, _ time.Duration) { c.forgetIfDone(e.request) }

func (e exchangeReturned) apply(c *Cluster, now time.Duration) {
	c.reportOutcome(now, e.attempt, e.attempt.takeResult())
}

func (e attemptEnded) apply(c *Cluster, now time.Duration) {
	c.reportOutcome(now, e.attempt, Result{Status: e.status})
}

func (e endpointsUpdated) apply(c *Cluster, now time.Duration) {
	c.balancer.UpdateEndpoints(now, e.kind, e.endpoints)
}

func (abortRequested) apply(c *Cluster, now time.Duration) { c.abortRequests(now) }

// apply implements event: a timer that the Balancer set has expired.
func (t *balancerTimer) apply(c *Cluster, now time.Duration) { c.balancer.Timer(now, t.token) }

func (f functionCall) apply(*Cluster, time.Duration) { f() }
