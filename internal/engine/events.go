package engine

import (
	"time"

	"yokestall/policy"
)

// event is an event that the loop handles. The time of an event is the time at which the loop handles it.
//
// The event types that occur for every request hold a single pointer, so that converting them to an interface value needs
// no allocation.
type event interface {
	apply(c *Cluster, now time.Duration)
}

type (
	// requestReceived starts a request.
	requestReceived struct{ request *Request }
	// bodyCompleted reports the arrival of a request's last byte. The final answer is due at deadline, a time on the
	// Clock.
	bodyCompleted struct {
		request  *Request
		deadline time.Duration
	}
	// clientDisconnected ends a request without an answer.
	clientDisconnected struct{ request *Request }
	// requestAnswered removes a request that has its final answer, unless attempts are still in flight.
	requestAnswered struct{ request *Request }

	// exchangeReturned ends an attempt with the result of its exchange, attempt.result.
	exchangeReturned struct{ attempt *attempt }
	// attemptEnded ends an attempt without an answer, because it timed out, was cancelled or could not start.
	attemptEnded struct {
		attempt *attempt
		status  policy.Status
	}

	// endpointsUpdated passes an endpoint update to the Balancer.
	endpointsUpdated struct {
		kind      policy.UpdateKind
		endpoints []policy.Endpoint
	}
	// abortRequested ends all open requests.
	abortRequested struct{}
	// functionCall runs a function on the loop's goroutine.
	functionCall func()
)

func (e requestReceived) apply(c *Cluster, now time.Duration) { c.startRequest(now, e.request) }

func (e bodyCompleted) apply(c *Cluster, now time.Duration) {
	c.bodyComplete(now, e.request, e.deadline)
}

func (e clientDisconnected) apply(c *Cluster, now time.Duration) {
	c.clientDisconnected(now, e.request)
}

func (e requestAnswered) apply(c *Cluster, _ time.Duration) { c.removeIfDone(e.request) }

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

// apply implements event: it notifies the Balancer that the timer has expired.
func (t *balancerTimer) apply(c *Cluster, now time.Duration) { c.balancer.Timer(now, t.token) }

func (f functionCall) apply(*Cluster, time.Duration) { f() }
