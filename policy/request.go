package policy

import (
	"slices"
	"time"
)

// This file keeps the records of requests and of their attempts: when they begin, when their time is over,
// and when they end. A request is open until it is done; its record stays until its last attempt has ended.

const (
	// maxAttempts bounds Limits.MaxAttempts: each request reserves space for its attempts.
	maxAttempts = 16
	// MaxBodyDuration is the deadline of a request whose body is incomplete, from its arrival. The host
	// enforces the pace of bodies, and uses the same deadline for its own timers.
	MaxBodyDuration = 24 * time.Hour
	// minWorkFactor bounds a request's work from below, as a multiple of its class's mean: hints are rough.
	minWorkFactor = 0.25
	// maxWorkFactor bounds a request's work from above, as a multiple of its class's mean.
	maxWorkFactor = 4
	// maxHintSamples bounds the samples of a class's mean work hint, so that it follows changes.
	maxHintSamples = 64
)

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint   *endpoint
	request    *request
	zone, cell int // of the endpoint, as of sentAt
	sentAt     time.Duration
	inFlight   bool
	neverRan   bool // ended, and the endpoint did not start it
	unloaded   bool // no other request of this node was in flight at the endpoint
	// excludedFromLoad says that the attempt is in flight but not counted in concurrency.inFlight: no answer
	// is expected of it, or its body is incomplete.
	excludedFromLoad bool
}

// request is a client's request.
type request struct {
	Request
	class             *class
	deadline          time.Duration // the client gives up
	objectiveDeadline time.Duration // an answer after this has the class's LateWeight; at most deadline
	weight            float64       // of an answer, by class and quota
	attempts          []attempt     // never reallocated: endpoints point into it
	inFlight          int           // attempts in flight
	retryAt           time.Duration // end of the backoff; 0: none
	queued            bool
	streaming         bool
	done              bool // answered, or the client is gone
	index             int  // in Balancer.openRequests while not done
}

// newRequest adds a request to the open ones.
func (b *Balancer) newRequest(q Request, c *class) *request {
	c.countWorkHint(q.WorkHint)
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

// setDeadlines sets the deadline and the objective deadline. The answer is due one tick before the client
// gives up, less the grace for final answers, since events are delivered a tick late at most. A request whose
// body is incomplete must only be sent within its objective.
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

// lastUsefulTime returns the time after which an answer has no weight.
func (r *request) lastUsefulTime() time.Duration {
	if r.class.LateWeight > 0 {
		return r.deadline
	}
	return r.objectiveDeadline
}

// workFactor returns the request's expected work as a multiple of its class's mean, by its hint.
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

// findAttempt returns the attempt that an event is about, or nil if it is not in flight.
func (b *Balancer) findAttempt(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) || !r.attempts[index].inFlight {
		return nil, nil
	}
	return r, &r.attempts[index]
}

// countBodyCompleted begins the time of the request's attempts in flight, which count as load from now on. An
// attempt to a former process of its endpoint does not.
func (b *Balancer) countBodyCompleted(now time.Duration, r *request) {
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
	a.neverRan = o.Status == Rejected || o.Status == ConnectFailed || o.Status == NeverSent
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

// finish ends a request. Attempts in flight are cancelled, unless the new connections that this costs are
// dearer than the work that it saves.
func (b *Balancer) finish(r *request) {
	if !r.done && b.settings.Costs.NewConnection <= b.settings.Costs.WastedWork {
		b.cancelAttempts(r, nil)
	}
	b.release(r)
}

// cancelAttempts cancels the attempts in flight except one, which may be nil.
func (b *Balancer) cancelAttempts(r *request, except *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && a != except && b.settings.Limits.AllowCancel {
			b.host.Cancel(r.ID, i)
		}
	}
}

// release marks a request as done, and frees its record once no attempt is in flight. A queued record is not
// reused: dispatch drops it from the queue.
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
