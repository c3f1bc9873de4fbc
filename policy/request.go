package policy

import (
	"slices"
	"time"
)

// This file keeps the records of requests and of their attempts: their start, their deadlines and their
// end. A request is open until it is done. Its record stays until its last attempt has ended.

const (
	// maxAttempts is the upper bound of Limits.MaxAttempts, since each request reserves space for its
	// attempts.
	maxAttempts = 16
	// MaxBodyDuration is the deadline of a request whose body is incomplete, counted from its arrival. The
	// host enforces a minimum transfer rate for bodies, and uses the same deadline for its own timers.
	MaxBodyDuration = 24 * time.Hour
	// minWorkFactor is the lower bound of a request's expected work, as a multiple of its class's mean.
	// Bounds are needed because work hints are rough.
	minWorkFactor = 0.25
	// maxWorkFactor is the upper bound of a request's expected work, as a multiple of its class's mean.
	maxWorkFactor = 4
	// maxHintSamples is the maximum number of samples in a class's mean work hint, so that the mean follows
	// changes.
	maxHintSamples = 64
)

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint   *endpoint
	request    *request
	zone, cell int           // zone and cell of the endpoint at the time of the send
	sentAt     time.Duration // time of the send, or of BodyComplete if that is later
	inFlight   bool
	neverRan   bool // the attempt has ended, and the endpoint did not start it
	unloaded   bool // the attempt was probably alone at its endpoint (Balancer.unloaded)
	// excludedFromLoad is set for an attempt that is not counted in concurrency.inFlight, because no answer
	// to it is expected or its request body is incomplete.
	excludedFromLoad bool
	stalled          bool          // the answer has begun and pauses
	hasStalled       bool          // the answer has paused since it began
	unresponsiveAt   time.Duration // time at which the attempt was counted as unresponsive; 0 if it was not
}

// request is the record of a client's request.
type request struct {
	Request
	class             *class
	deadline          time.Duration // time by which the final answer must be given
	objectiveDeadline time.Duration // after it an answer has the class's LateWeight; at most deadline
	weight            float64       // weight of an answer, by class and quota
	attempts          []attempt     // never reallocated, since endpoints hold pointers into it
	inFlight          int           // number of attempts in flight
	retryAt           time.Duration // end of the backoff; 0 means that the request is not in backoff
	queued            bool
	streaming         bool
	replacement       replacement
	done              bool // the request was answered, or its client has disconnected
	index             int  // index in Balancer.openRequests while not done
}

// newRequest creates the record of a request and adds it to the open requests.
func (b *Balancer) newRequest(q Request, c *class) *request {
	c.recordWorkHint(q.WorkHint)
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r = b.freeRequests[n-1]
		b.freeRequests = b.freeRequests[:n-1]
	} else {
		r = &request{attempts: make([]attempt, 0, b.settings.Limits.MaxAttempts)}
	}
	*r = request{Request: q, class: c, attempts: r.attempts[:0], index: len(b.openRequests)}
	b.requests[q.ID] = r
	b.openRequests = append(b.openRequests, r)
	return r
}

// setDeadlines sets the deadline and the objective deadline of a request. Since events are delivered up to
// one tick late, the final answer is due one tick before the client gives up; Rules.AnswerGrace reduces
// that margin. While the request's body is incomplete, its objective deadline limits the time until the
// request is sent, not the time until its answer, and its deadline is MaxBodyDuration from now.
func (b *Balancer) setDeadlines(now time.Duration, r *request, timeRemaining time.Duration) {
	c := r.class
	if r.BodyIncomplete {
		r.deadline, r.objectiveDeadline = now+MaxBodyDuration, now+c.LatencyObjective
		return
	}
	margin := max(0, b.settings.Tick-b.settings.Rules.AnswerGrace)
	r.deadline = now + max(0, min(timeRemaining, c.Deadline)-margin)
	forWork := time.Duration(c.ObjectiveWorkFactor * float64(r.WorkHint))
	r.objectiveDeadline = min(r.deadline, now+c.LatencyObjective+forWork)
}

// lastUsefulTime returns the time after which an answer has a weight of 0.
func (r *request) lastUsefulTime() time.Duration {
	if r.class.LateWeight > 0 {
		return r.deadline
	}
	return r.objectiveDeadline
}

// workFactor returns the request's expected work as a multiple of its class's mean, according to its work
// hint. Without a hint it is 1.
func (r *request) workFactor() float64 {
	if r.WorkHint <= 0 || r.class.meanWorkHint <= 0 {
		return 1
	}
	return min(max(r.WorkHint.Seconds()/r.class.meanWorkHint, minWorkFactor), maxWorkFactor)
}

// tried reports whether an attempt of the request was sent to the endpoint.
func (r *request) tried(e *endpoint) bool {
	for i := range r.attempts {
		if r.attempts[i].endpoint == e {
			return true
		}
	}
	return false
}

// startAttempt records an attempt that is about to be sent.
func (b *Balancer) startAttempt(now time.Duration, r *request, e *endpoint) *attempt {
	r.attempts = append(r.attempts, attempt{
		endpoint: e, request: r, zone: e.Zone, cell: e.Cell, sentAt: now, inFlight: true,
		unloaded: b.unloaded(e),
	})
	a := &r.attempts[len(r.attempts)-1]
	r.inFlight++
	b.concurrency.inFlight++
	e.sentSinceStart = true
	if r.BodyIncomplete {
		e.incompleteBodies++
		b.excludeFromLoad(a)
	}
	e.inFlight = append(e.inFlight, a)
	return a
}

// findAttempt returns the request and the attempt to which an event refers, or nil if the attempt is not in
// flight.
func (b *Balancer) findAttempt(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) || !r.attempts[index].inFlight {
		return nil, nil
	}
	return r, &r.attempts[index]
}

// recordBodyComplete restarts the time of the request's attempts in flight and counts them as load from now
// on. Attempts to a former process of their endpoint stay excluded from load.
func (b *Balancer) recordBodyComplete(now time.Duration, r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && slices.Contains(a.endpoint.inFlight, a) {
			a.sentAt, a.excludedFromLoad = now, false
			a.endpoint.incompleteBodies--
			b.concurrency.inFlight++
		}
	}
}

// endAttempt records that an attempt is no longer in flight.
func (b *Balancer) endAttempt(r *request, a *attempt, o Outcome) {
	b.recordRetryOutcome(o)
	a.inFlight = false
	a.neverRan = o.Status.NeverRan()
	r.inFlight--
	if !a.excludedFromLoad {
		b.concurrency.inFlight--
	}
	i := slices.Index(a.endpoint.inFlight, a)
	if i < 0 { // the endpoint has restarted
		return
	}
	if r.BodyIncomplete {
		a.endpoint.incompleteBodies--
	}
	a.endpoint.inFlight = slices.Delete(a.endpoint.inFlight, i, i+1)
}

// finish ends a request. Its attempts in flight are cancelled, unless the new connections that this
// requires cost more than the work that it saves.
func (b *Balancer) finish(r *request) {
	if !r.done && b.settings.Costs.NewConnection <= b.settings.Costs.WastedWork {
		b.cancelAttempts(r, nil)
	}
	b.release(r)
}

// cancelAttempts cancels the request's attempts in flight except the given one, which may be nil. It does
// nothing if Limits.AllowCancel is not set.
func (b *Balancer) cancelAttempts(r *request, except *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && a != except && b.settings.Limits.AllowCancel {
			b.host.Cancel(r.ID, i)
		}
	}
}

// release marks a request as done, and frees its record once no attempt is in flight. The record of a queued
// request is not reused, since the queue refers to it until dispatch drops it.
func (b *Balancer) release(r *request) {
	if !r.done {
		r.done = true
		last := b.openRequests[len(b.openRequests)-1]
		b.openRequests[r.index] = last
		last.index = r.index
		b.openRequests = b.openRequests[:len(b.openRequests)-1]
	}
	if r.inFlight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		if !r.queued {
			b.freeRequests = append(b.freeRequests, r)
		}
	}
}
