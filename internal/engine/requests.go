package engine

import (
	"context"
	"errors"
	"time"

	"yokestall/policy"
)

// balancerAnswerTimeout is how long after the end of a request's attempts at the deadline the engine waits for the Balancer
// to reject or fail the request before the engine fails it.
const balancerAnswerTimeout = 5 * time.Millisecond

// ErrClientDisconnected is returned for a request whose client disconnected before the final answer. No final answer is
// due then.
var ErrClientDisconnected = errors.New("engine: client disconnected")

// Request is a request that a downstream server submits to a cluster. A Request is submitted only once, and the caller
// does not change its exported fields after Do has begun.
type Request struct {
	Class, Tenant int           // indices in the cluster's policy.Settings
	WorkHint      time.Duration // the client's estimate of the work; 0 means no estimate
	Deadline      time.Duration // the time on the Clock at which the final answer is due
	// BodyIncomplete means that a part of the body has not arrived from the client. The deadline is then set by
	// Cluster.BodyComplete, and attempts that start earlier get UploadTimeout as their time remaining.
	BodyIncomplete bool
	UploadTimeout  time.Duration
	Payload        any           // passed to the Exchanger
	MaxAttempts    int           // limit of attempts, in addition to the cluster's limit; 0 means only the cluster's limit
	PerTryTimeout  time.Duration // upper limit of an attempt's timeout; 0 means only the Balancer's timeout
	// OnLateAnswer, if set, is called with the successful answer of an attempt that was in flight when the request
	// ended without being served, such as at its deadline or when its client disconnected. It runs on a goroutine of
	// its own. The attempt is stopped LateAnswerTimeout after its outcome was reported to the Balancer.
	OnLateAnswer      func(answer any)
	LateAnswerTimeout time.Duration
	// SendAllowed, if set, is called on the attempt's goroutine right before the first byte leaves, and again on the
	// loop's goroutine when an attempt ends as policy.NeverSent. If it returns false, nothing is sent. Unless another
	// attempt is in flight, the request is then rejected with SendRetryAfter, or fails if an earlier attempt may have
	// run.
	SendAllowed    func() bool
	SendRetryAfter time.Duration
	// ClientDisconnected, if set, is called on the attempt's goroutine right before the first byte leaves. If it returns
	// true, nothing is sent; the context given to Do has to end as well in this case.
	ClientDisconnected func() bool

	answer chan Answer // capacity 1

	// The fields below are used by the loop's goroutine only.
	id            policy.RequestID
	attempts      []*attempt
	firstAttempt  [1]*attempt // storage of attempts until there is a second one
	inFlight      int         // attempts without an outcome
	ended         bool        // the request has its final answer, or its client disconnected
	served        bool        // an attempt succeeded
	fallback      fallback    // answers of attempts that did not succeed
	dueHandled    bool        // answerDue was called for Deadline
	timedOut      bool        // all attempts were ended at the deadline
	passedOn      *attempt    // the attempt whose answer is passed on before its end; nil if there is none
	deadlineTimer timer
	dedupWindow   *dedupWindow // nil unless the class is idempotent by key
	arriving      bool         // the payload has not reported its last byte; Deadline applies meanwhile
}

// Do submits a request and waits for its final answer. It returns ErrClientDisconnected if ctx ends before the answer,
// and ErrRetired if the cluster takes no more requests.
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
		default: // not Rejected, since an attempt may have run
			return Answer{Verdict: Failed, MayHaveRun: true}, nil
		}
	}
}

// BodyComplete notifies the cluster that the last byte of a request with BodyIncomplete has arrived, and that the final
// answer is due at deadline, a time on the Clock. BodyComplete may be called before Do.
func (c *Cluster) BodyComplete(r *Request, deadline time.Duration) {
	c.post(bodyCompleted{r, deadline})
}

func (c *Cluster) startRequest(now time.Duration, r *Request) {
	r.id = c.nextID()
	c.requests[r.id] = r
	c.awaitArrival(r)
	if r.BodyIncomplete { // a bound for the Balancer; the downstream server enforces an upload rate by the body's size
		r.Deadline = now + policy.MaxBodyDuration
	}
	r.deadlineTimer = timer{at: r.Deadline - policy.PassOnMargin, expiry: requestDeadline{r}}
	if r.Class >= 0 && r.Class < len(c.classes) && c.classes[r.Class].Idempotency == policy.IdempotentByKey {
		r.dedupWindow = &dedupWindow{length: c.classes[r.Class].DedupWindow}
	}
	if c.aborted {
		c.sendAnswer(r, Answer{Verdict: Rejected, RetryAfter: c.abortRetryAfter})
		c.removeIfDone(r)
		return
	}
	c.timers.set(&r.deadlineTimer)
	c.balancer.Request(now, policy.Request{
		ID:             r.id,
		Class:          r.Class,
		Tenant:         r.Tenant,
		TimeRemaining:  max(0, r.Deadline-now),
		WorkHint:       r.WorkHint,
		BodyIncomplete: r.BodyIncomplete || r.arriving,
	})
	c.removeIfDone(r)
}

// awaitArrival sets arriving, and has the loop notified of the arrival of the payload's last byte.
func (c *Cluster) awaitArrival(r *Request) {
	payload, ok := r.Payload.(ArrivingPayload)
	if !ok || r.BodyIncomplete {
		return
	}
	deadline := r.Deadline
	r.arriving = payload.OnArrived(func() { c.BodyComplete(r, deadline) })
}

// nextID returns an id that no request in Cluster.requests has. Ids wrap around after 2^32 requests.
func (c *Cluster) nextID() policy.RequestID {
	c.lastID++
	for c.requests[c.lastID] != nil {
		c.lastID++
	}
	return c.lastID
}

func (c *Cluster) bodyComplete(now time.Duration, r *Request, deadline time.Duration) {
	switch {
	case r.arriving:
		r.arriving = false
	case !r.BodyIncomplete:
		return
	default:
		r.BodyIncomplete, r.Deadline = false, deadline
	}
	if c.requests[r.id] != r || r.ended { // the request has not started yet or has ended
		return
	}
	c.timers.clear(&r.deadlineTimer)
	r.dueHandled = false
	c.setDeadlineTimer(r, deadline-policy.PassOnMargin)
	for _, a := range r.attempts {
		if !a.reported {
			a.startedAt = now // excludes the upload from the endpoint's latency
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
	r.fallback.close()
	c.balancer.ClientDisconnected(now, r.id)
	c.removeIfDone(r)
}

// endRequest marks a request as ended and closes the send gates of its attempts, so that attempts that still wait for a
// connection are never sent.
func (c *Cluster) endRequest(r *Request) {
	r.ended = true
	for _, a := range r.attempts {
		a.Revoke()
	}
}

// removeIfDone removes a request that has ended and whose attempts all have their outcomes.
func (c *Cluster) removeIfDone(r *Request) {
	if r.ended && r.inFlight == 0 {
		c.timers.clear(&r.deadlineTimer)
		delete(c.requests, r.id)
	}
}

// requestDeadline is the expiry of Request.deadlineTimer.
type requestDeadline struct{ request *Request }

// expire handles that the answer is due, policy.PassOnMargin before the deadline, and the deadline.
func (d requestDeadline) expire(c *Cluster, now time.Duration) {
	r := d.request
	c.answerDue(now, r)
	if now < r.Deadline {
		c.setDeadlineTimer(r, r.Deadline)
		return
	}
	c.deadlinePassed(now, r)
}

// setDeadlineTimer sets the request's timer unless the request has ended.
func (c *Cluster) setDeadlineTimer(r *Request, at time.Duration) {
	if !r.ended {
		r.deadlineTimer.at = at
		c.timers.set(&r.deadlineTimer)
	}
}

// deadlinePassed ends the request's attempts, except for one whose answer is passed on. The Balancer then has to reject or fail
// the request, at once or by a timer of its own. If it has not done so within balancerAnswerTimeout, the engine fails the
// request.
func (c *Cluster) deadlinePassed(now time.Duration, r *Request) {
	if r.arriving { // the Balancer knows no deadline of the request yet
		r.arriving = false
		c.balancer.BodyComplete(now, r.id, 0)
	}
	if r.timedOut {
		c.answerUnserved(r.id, Answer{Verdict: Failed})
		c.balancer.ClientDisconnected(now, r.id)
		c.handle(now, requestAnswered{r})
		return
	}
	awaitsPassedOn := r.awaitsPassedOn(now)
	for _, a := range r.attempts {
		if a != r.passedOn || !awaitsPassedOn {
			c.handle(now, attemptEnded{a, policy.Timeout})
		}
	}
	if awaitsPassedOn {
		c.setDeadlineTimer(r, r.Deadline+passOnTimeout)
		return
	}
	r.timedOut = true
	c.setDeadlineTimer(r, now+balancerAnswerTimeout)
}
