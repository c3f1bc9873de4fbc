package policy

import "time"

// Selection determines the endpoint of a request's next attempt. A half-open endpoint that awaits its trial
// request comes first. Otherwise the first attempt goes to an endpoint that was sent nothing since its
// start some time ago (unusedCandidate), or to the better of two random candidates (Mitzenmacher, The Power
// of Two Choices in Randomized Load Balancing, 2001). A retry or a hedged request goes to the best
// candidate, since it is the request's last chance. The inputs are the scores (0 to 1), this node's
// requests in flight, the limits of concurrencylimit.go and slowstart.go, and the time to the objective
// deadline. The candidates are the endpoints of the subset that have a closed breaker and capacity and that
// pass maySend. An endpoint that is not expected to answer before the objective deadline
// (answersInTime), for example because of slow start, is a candidate only if no endpoint that has a closed
// breaker and passes maySend is expected to, not even one without capacity.

const (
	// scoreTie is the difference between two scores up to which the number of requests in flight decides.
	scoreTie = 0.1
	// firstRequestAfter is the time after an endpoint's start at which the endpoint is selected if random
	// selection has sent it nothing yet.
	firstRequestAfter = time.Second
)

// pick returns the endpoint for the request's next attempt, or nil if there is none at present.
func (b *Balancer) pick(now time.Duration, r *request) *endpoint {
	b.refresh(now)
	if trial := b.collectCandidates(now, r); trial != nil {
		return trial
	}
	n := len(b.candidates)
	if n == 0 || r.replacement != replacementDue && !b.withinConcurrencyLimit() {
		return nil
	}
	if len(r.attempts) == 0 {
		if e := b.unusedCandidate(now); e != nil {
			return e
		}
		if n > 2 {
			i := b.random.IntN(n)
			j := (i + 1 + b.random.IntN(n-1)) % n
			return better(b.candidates[i], b.candidates[j])
		}
	}
	best := b.candidates[0]
	for _, e := range b.candidates[1:] {
		best = better(best, e)
	}
	return best
}

// collectCandidates sets b.candidates to the endpoints that may get the request's next attempt. If an
// endpoint's breaker admits the request as its trial request, collectCandidates returns that endpoint
// instead.
func (b *Balancer) collectCandidates(now time.Duration, r *request) (trial *endpoint) {
	b.candidates, b.lateCandidates = b.candidates[:0], b.lateCandidates[:0]
	anyInTime := false // whether any endpoint answers in time, with capacity or without
	for _, e := range b.subset.members {
		if e.breaker.state == breakerOpen || r.tried(e) || !b.maySend(now, r, e) {
			continue
		}
		if e.breaker.state == breakerHalfOpen {
			if e.breaker.admitsTrial(now, r) {
				return e
			}
			continue
		}
		hasCapacity, inTime := b.hasCapacity(e, now, r), b.answersInTime(now, r, e)
		anyInTime = anyInTime || inTime
		if hasCapacity && inTime {
			b.candidates = append(b.candidates, e)
		} else if hasCapacity {
			b.lateCandidates = append(b.lateCandidates, e)
		}
	}
	if !anyInTime {
		b.candidates, b.lateCandidates = b.lateCandidates, b.candidates
	}
	return nil
}

// maySend reports whether an attempt may be sent to the endpoint. Every attempt must pass this check. It
// enforces that nothing is sent after the deadline or to an endpoint that is draining or removed, that the
// limits on attempts and hedging are kept, that no effect happens twice, and that slow start does not
// overload the endpoint.
func (b *Balancer) maySend(now time.Duration, r *request, e *endpoint) bool {
	limits := &b.settings.Limits
	if r.done || r.streaming || now >= r.deadline || e.State != Ready {
		return false
	}
	if len(r.attempts) >= limits.MaxAttempts {
		return false
	}
	if r.inFlight > 0 && !limits.AllowHedging || !r.mayRepeatAt(now, e) {
		return false
	}
	return b.slowStartAllows(e, now, b.unloadedLatency(r))
}

// answersInTime reports whether the endpoint is expected to answer before the request's objective deadline,
// at the lowest capacity that an endpoint in slow start may have at its age.
func (b *Balancer) answersInTime(now time.Duration, r *request, e *endpoint) bool {
	return b.unloadedLatency(r)/b.capacityShare(e, now) <= (r.objectiveDeadline - now).Seconds()
}

// unusedCandidate returns a candidate that started at least firstRequestAfter ago and was sent nothing
// since, or nil if there is none. On a node with little traffic random selection may miss such an endpoint
// for a long time. Among many nodes (Balancer.manyNodes) the result is always nil: random selection
// suffices there, and all nodes would otherwise select the endpoint at the same time.
func (b *Balancer) unusedCandidate(now time.Duration) *endpoint {
	if b.manyNodes() {
		return nil
	}
	for _, e := range b.candidates {
		if !e.sentSinceStart && e.StartedAt > 0 && now-e.StartedAt >= firstRequestAfter {
			return e
		}
	}
	return nil
}

// better returns the better one of two endpoints. The endpoint with the higher score wins. If the scores
// differ by at most scoreTie, the endpoint with fewer requests of this node in flight wins; if these are
// equal as well, an endpoint in this node's zone does.
func better(x, y *endpoint) *endpoint {
	switch {
	case x.score > y.score+scoreTie:
		return x
	case y.score > x.score+scoreTie || len(y.inFlight) < len(x.inFlight):
		return y
	case len(y.inFlight) == len(x.inFlight) && y.sameZone && !x.sameZone:
		return y
	}
	return x
}

// send starts an attempt at an endpoint that pick returned.
func (b *Balancer) send(now time.Duration, r *request, e *endpoint) {
	a := b.startAttempt(now, r, e)
	if e.breaker.state == breakerHalfOpen {
		e.breaker.trial = a
	}
	work := b.unloadedLatency(r)
	b.workRate.add(now, work)
	e.slowStart.RecordSent(work)
	b.host.Send(r.ID, e.ID, 0)
}
