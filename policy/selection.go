package policy

import "time"

// Selection: which endpoint the next attempt of a request goes to. A half-open endpoint gets its trial first.
// The first attempt goes to an endpoint that was sent nothing since its start, or to the better of two random
// candidates (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001); a retry or a hedged
// request goes to the best one, since it is the last chance. Its inputs are the scores (0 to 1), this node's
// requests in flight, the limits of concurrencylimit.go and slowstart.go, and the time to the objective
// deadline. Candidates are the endpoints of the subset with a closed breaker and capacity that pass maySend.
// Those that are too early in slow start to answer within the objective come second.

const (
	// scoreTie is the difference of scores up to which fewer requests in flight decide.
	scoreTie = 0.1
	// firstRequestAfter is the time after its start at which an endpoint that was sent nothing is chosen,
	// where chance has passed it over.
	firstRequestAfter = time.Second
)

// pick returns the endpoint for the next attempt, or nil if there is none at present.
func (b *Balancer) pick(now time.Duration, r *request) *endpoint {
	b.refresh(now)
	if trial := b.collectCandidates(now, r); trial != nil {
		return trial
	}
	n := len(b.candidates)
	if n == 0 || !b.withinConcurrencyLimit() {
		return nil
	}
	if len(r.attempts) == 0 {
		if e := b.unmeasured(now); e != nil {
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

// collectCandidates sets candidates to the endpoints that may get the attempt. If one awaits its trial and
// the request may be it, it returns that one instead.
func (b *Balancer) collectCandidates(now time.Duration, r *request) (trial *endpoint) {
	b.candidates, b.lateCandidates = b.candidates[:0], b.lateCandidates[:0]
	anyInTime := false // with capacity or without
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
		hasCapacity, inTime := b.hasCapacity(e, now), b.answersInTime(now, r, e)
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

// maySend is the one gate of every attempt. It holds the rules: nothing after the deadline, no attempt beyond
// the limits, nothing to an endpoint that drains or is removed, no effect twice, no overload during slow
// start.
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

// answersInTime reports whether an endpoint in slow start, at its least capacity, answers within the
// request's objective.
func (b *Balancer) answersInTime(now time.Duration, r *request, e *endpoint) bool {
	return b.unloadedLatency(r)/b.capacityShare(e, now) <= (r.objectiveDeadline - now).Seconds()
}

// unmeasured returns a candidate that was sent nothing since its start a while ago: chance may pass it over
// for long on a node with little traffic. Among many nodes chance suffices; all would choose it at one
// moment.
func (b *Balancer) unmeasured(now time.Duration) *endpoint {
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

// better returns the endpoint with the higher score; among near-equal scores the one with fewer requests of
// this node in flight; among equal ones that in this node's zone.
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
	e.slowStart.Sent(work)
	b.host.Send(r.ID, e.ID, 0)
}
