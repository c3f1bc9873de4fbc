package engine

import (
	"time"

	"yokestall/policy"
)

// Cluster carries out the Balancer's actions. The Balancer calls the methods of policy.Host on the loop's goroutine, from
// within its own methods, so these must not call the Balancer back: they append their events to Cluster.deferred.
var _ policy.Host = (*Cluster)(nil)

// Send implements policy.Host: it starts an attempt. An attempt that may not start ends as policy.NeverSent.
func (c *Cluster) Send(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	r := c.requests[id]
	if r == nil {
		return
	}
	now := c.clock.Now()
	a := c.newAttempt(now, r, endpoint)
	if !c.mayStart(now, a) {
		c.deferred = append(c.deferred, attemptEnded{a, policy.NeverSent})
		return
	}
	if a.index > 0 {
		a.countsAsRetry = true
		c.retriesInFlight++
	}
	c.setTimeout(now, a, timeout)
	timeRemaining := r.Deadline - now
	if r.BodyIncomplete {
		timeRemaining = r.UploadTimeout
	}
	go c.exchange(a, timeRemaining)
}

// Cancel implements policy.Host: it ends an attempt as policy.Cancelled.
func (c *Cluster) Cancel(id policy.RequestID, index int) {
	if r := c.requests[id]; r != nil && index < len(r.attempts) {
		c.deferred = append(c.deferred, attemptEnded{r.attempts[index], policy.Cancelled})
	}
}

// Reject implements policy.Host: it gives the request a final answer with the verdict Rejected.
func (c *Cluster) Reject(id policy.RequestID, retryAfter time.Duration) {
	c.answerUnserved(id, Answer{Verdict: Rejected, RetryAfter: retryAfter})
}

// Fail implements policy.Host: it gives the request a final answer with the verdict Failed.
func (c *Cluster) Fail(id policy.RequestID) { c.answerUnserved(id, Answer{Verdict: Failed}) }

// SetTimer implements policy.Host: it has the loop call Balancer.Timer with the token at a time on the Clock.
func (c *Cluster) SetTimer(at time.Duration, token uint64) {
	t := &balancerTimer{token: token}
	t.timer = timer{at: at, expiry: t}
	c.timers.set(&t.timer)
}

// balancerTimer is a timer that the Balancer set. It implements both expiry and event.
type balancerTimer struct {
	timer
	token uint64 // identifies the timer to the Balancer
}

func (t *balancerTimer) expire(c *Cluster, now time.Duration) { c.handle(now, t) }

// RequestPoll implements policy.Host: it asks for a poll of the endpoint list by calling Options.RequestPoll, if that is set.
func (c *Cluster) RequestPoll() {
	if c.requestPoll != nil {
		c.requestPoll()
	}
}
