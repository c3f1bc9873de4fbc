package engine

import (
	"context"
	"errors"
	"time"

	"yokestall/policy"
)

// balancerAnswerTimeout is how long after a request's deadline the engine waits for the Balancer's answer before it
// gives one itself.
const balancerAnswerTimeout = 5 * time.Millisecond

// ErrClientDisconnected is returned where the client disconnected before the answer: no answer is due.
var ErrClientDisconnected = errors.New("engine: client disconnected")

// Request is what a downstream server submits to a cluster, once. The exported fields are not changed by the caller
// after Do has begun.
type Request struct {
	Class, Tenant int           // indices in the cluster's policy.Settings
	WorkHint      time.Duration // the client's estimate of the work; 0: none
	Deadline      time.Duration // on the Clock: when the final answer is due
	// BodyIncomplete: a part of the body has not arrived from the client. Deadline holds from Cluster.BodyComplete
	// on; attempts that start before have UploadTimeout.
	BodyIncomplete bool
	UploadTimeout  time.Duration
	Payload        any           // for the Exchanger
	MaxAttempts    int           // within the cluster's limit; 0: that limit
	PerTryTimeout  time.Duration // the longest wait for one attempt; 0: the Balancer's choice
	// OnLateAnswer, if set, is called with the answer of an attempt that was in flight at the request's deadline or
	// when its client disconnected, unless the request was served. It runs on a goroutine of its own. The
	// attempt is stopped LateAnswerTimeout after it ended for the Balancer.
	OnLateAnswer      func(answer any)
	LateAnswerTimeout time.Duration
	// SendAllowed, if set, is called on the attempt's goroutine right before the first byte leaves. Where it is false
	// nothing is sent, and the request is rejected with SendRetryAfter unless another attempt is in flight.
	SendAllowed    func() bool
	SendRetryAfter time.Duration
	// ClientDisconnected, if set, is called at the same point; where it is true nothing is sent. The context of Do has
	// to end as well then.
	ClientDisconnected func() bool

	answer chan Answer // capacity 1

	// For the loop's goroutine only.
	id             policy.RequestID
	attempts       []*attempt
	firstAttempt   [1]*attempt // storage of attempts until there is a second one
	inFlight       int         // attempts without an outcome
	ended          bool        // has its final answer, or its client disconnected
	served         bool        // an attempt succeeded
	ran            bool        // an attempt that has ended may have run
	fallbackAnswer any         // Result.Answer of the latest attempt that did not succeed
	deadlineTimer  timer
	dedupWindow    *dedupWindow // nil unless the class is idempotent by key
}

// Do submits a request and waits for its final answer. The error is ErrClientDisconnected if ctx ended first, and
// ErrRetired if the cluster takes no requests.
func (c *Cluster) Do(ctx context.Context, r *Request) (Answer, error) {
	r.answer = make(chan Answer, 1)
	c.openRequests.Add(1)
	defer c.requestReturned()
	if c.retired.Load() || !c.post(requestReceived{r}) {
		return Answer{}, ErrRetired
	}
	select {
	case a := <-r.answer:
		return a, nil
	case <-ctx.Done():
		if !c.post(clientDisconnected{r}) {
			<-c.ended
			r.closeUnclaimedAnswer()
		}
		return Answer{}, ErrClientDisconnected
	case <-c.ended:
		select {
		case a := <-r.answer:
			return a, nil
		default: // not Rejected, which promises that nothing ran: an attempt may have
			return Answer{Verdict: Failed}, nil
		}
	}
}

// BodyComplete notifies the cluster that the last byte of a request with BodyIncomplete has arrived: its final answer
// is due at deadline, on the Clock. It may be called before Do.
func (c *Cluster) BodyComplete(r *Request, deadline time.Duration) {
	c.post(bodyCompleted{r, deadline})
}

func (c *Cluster) startRequest(now time.Duration, r *Request) {
	r.id = c.nextID()
	c.requests[r.id] = r
	if r.BodyIncomplete { // the Balancer's deadline; the downstream server sets the pace by the size
		r.Deadline = now + policy.MaxBodyDuration
	}
	r.deadlineTimer = timer{at: r.Deadline, expiry: requestDeadline{r}}
	if r.Class >= 0 && r.Class < len(c.classes) && c.classes[r.Class].Idempotency == policy.IdempotentByKey {
		r.dedupWindow = &dedupWindow{length: c.classes[r.Class].DedupWindow}
	}
	if c.aborted {
		c.sendAnswer(r, Answer{Verdict: Rejected, RetryAfter: c.abortRetryAfter})
		c.forgetIfDone(r)
		return
	}
	c.timers.set(&r.deadlineTimer)
	c.balancer.Request(now, policy.Request{
		ID:             r.id,
		Class:          r.Class,
		Tenant:         r.Tenant,
		TimeRemaining:  max(0, r.Deadline-now),
		WorkHint:       r.WorkHint,
		BodyIncomplete: r.BodyIncomplete,
	})
	c.forgetIfDone(r)
}

// nextID returns an id that no open request has; ids start anew after 2^32 requests.
func (c *Cluster) nextID() policy.RequestID {
	c.lastID++
	for c.requests[c.lastID] != nil {
		c.lastID++
	}
	return c.lastID
}

func (c *Cluster) bodyComplete(now time.Duration, r *Request, deadline time.Duration) {
	if !r.BodyIncomplete {
		return
	}
	r.BodyIncomplete, r.Deadline = false, deadline
	if c.requests[r.id] != r || r.ended { // not started, or over
		return
	}
	c.timers.clear(&r.deadlineTimer)
	r.deadlineTimer.at = deadline
	c.timers.set(&r.deadlineTimer)
	for _, a := range r.attempts {
		if !a.reported {
			a.startedAt = now // the endpoint's latency does not include the upload
		}
	}
	c.balancer.BodyComplete(now, r.id, max(0, deadline-now))
}

func (c *Cluster) clientDisconnected(now time.Duration, r *Request) {
	if r.ended {
		r.closeUnclaimedAnswer()
		return
	}
	c.endRequest(r)
	c.balancer.ClientDisconnected(now, r.id)
	c.forgetIfDone(r)
}

// endRequest closes the send gates of a request's attempts, such as those that wait for a connection: nothing is sent
// for it any more.
func (c *Cluster) endRequest(r *Request) {
	r.ended = true
	for _, a := range r.attempts {
		a.Revoke()
	}
}

// forgetIfDone removes a request that has ended and whose attempts all have their outcomes.
func (c *Cluster) forgetIfDone(r *Request) {
	if r.ended && r.inFlight == 0 {
		c.timers.clear(&r.deadlineTimer)
		delete(c.requests, r.id)
	}
}

// requestDeadline is the expiry of Request.deadlineTimer.
type requestDeadline struct{ request *Request }

// expire ends the request's attempts at the deadline, upon which the Balancer answers the request, at once or by a
// timer of its own. If it has not done so balancerAnswerTimeout later, the request fails.
func (d requestDeadline) expire(c *Cluster, now time.Duration) {
	r := d.request
	if now >= r.Deadline+balancerAnswerTimeout {
		c.answerUnserved(r.id, Answer{Verdict: Failed})
		c.balancer.ClientDisconnected(now, r.id)
		c.handle(now, requestAnswered{r})
		return
	}
	for _, a := range r.attempts {
		c.handle(now, attemptEnded{a, policy.Timeout})
	}
	if !r.ended {
		r.deadlineTimer.at = r.Deadline + balancerAnswerTimeout
		c.timers.set(&r.deadlineTimer)
	}
}
