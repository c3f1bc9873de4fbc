package policy

import (
	"math"
	"slices"
	"time"
)

// The circuit breaker of an endpoint decides whether the endpoint is ejected (Nygard, Release It!; Envoy's
// outlier detection). Its inputs are the times of failures, the outcomes in the window of scoring.go, and
// the number of ejected endpoints. A run of consecutive failures within failureWindow opens the breaker,
// unless the endpoint's baseline failure rate explains the run. An open breaker turns half-open after a
// time that doubles with each failed trial request. A half-open breaker admits one trial request: a success
// closes the breaker, a failure opens it again. Failures that may be due to slowness alone open no breaker
// if more than half of the subset would then be ejected: when all endpoints are slow together, ejecting
// them would reject all requests.

const (
	// failuresToOpen is the number of consecutive failures that opens a breaker.
	failuresToOpen = 5
	// maxBaselineRun is the number of consecutive failures that opens a breaker whatever the endpoint's
	// baseline failure rate is.
	maxBaselineRun = 12
	// minBaselineProbability is the probability of a run of failures, at the baseline failure rate, below
	// which that rate does not explain the run.
	minBaselineProbability = 1e-5
	// failureWindow is the time within which the failures of a run must fall.
	failureWindow = 60 * time.Second
	// minOpenDuration is the mean time for which a breaker first stays open; the time doubles with each
	// failed trial request.
	minOpenDuration = 2 * time.Second
	// maxOpenDuration is the upper bound of the time for which a breaker stays open, before jitter.
	maxOpenDuration = 30 * time.Second
	// slowAnswerFactor is the multiple of the unloaded latency above which an answer counts as a failure
	// among many nodes (Balancer.manyNodes).
	slowAnswerFactor = 5.0
)

type breakerState uint8

const (
	breakerClosed   breakerState = iota // the endpoint gets attempts
	breakerOpen                         // the endpoint gets no attempts
	breakerHalfOpen                     // the endpoint gets one attempt at a time, the trial request
)

// breaker is the circuit breaker of an endpoint.
type breaker struct {
	state        breakerState
	failures     []time.Duration // times of the consecutive failures within failureWindow
	openDuration time.Duration   // duration of the current or the next open period, before jitter
	halfOpenAt   time.Duration   // time at which an open breaker turns half-open
	trial        *attempt        // trial request in flight of a half-open breaker, or nil
}

// failureKind is the evidence for a failure.
type failureKind uint8

const (
	failureReported   failureKind = iota // an error response, or a connection that broke or was refused
	failureBySlowness                    // no answer in time, or a very late answer
)

// halfOpenIfDue turns an open breaker half-open if halfOpenAt has passed.
func (c *breaker) halfOpenIfDue(now time.Duration) {
	if c.state == breakerOpen && now >= c.halfOpenAt {
		c.state, c.trial = breakerHalfOpen, nil
	}
}

// awaitsTrial reports whether the breaker is half-open and has no trial request in flight.
func (c *breaker) awaitsTrial() bool { return c.state == breakerHalfOpen && c.trial == nil }

// admitsTrial reports whether the request may be the trial request. Since a failed trial request that is
// not idempotent could not be retried, such a request is admitted only as a last resort, after the breaker
// has been half-open for its open duration.
func (c *breaker) admitsTrial(now time.Duration, r *request) bool {
	return c.awaitsTrial() && (r.class.Idempotency != NotIdempotent || now > c.halfOpenAt+c.openDuration)
}

// endTrial admits the next trial request if the attempt was the trial request in flight. The state of the
// breaker does not change.
func (c *breaker) endTrial(a *attempt) {
	if c.trial == a {
		c.trial = nil
	}
}

// recordSuccess ends the run of failures. It closes the breaker if the attempt was the trial request. The
// success of an attempt that was sent before the breaker opened shows that the endpoint is alive, so the
// breaker turns half-open at once.
func (c *breaker) recordSuccess(now time.Duration, a *attempt) {
	c.failures = c.failures[:0]
	switch {
	case c.state == breakerHalfOpen && c.trial == a:
		c.state, c.trial, c.openDuration = breakerClosed, nil, minOpenDuration
	case c.state == breakerOpen:
		c.halfOpenAt = now
	}
}

// recordFailure counts a failure and opens the endpoint's breaker if the rules at the head of this file
// require it.
func (b *Balancer) recordFailure(now time.Duration, a *attempt, kind failureKind) {
	e := a.endpoint
	c := &e.breaker
	c.failures = append(c.failures, now)
	c.failures = slices.DeleteFunc(c.failures, func(at time.Duration) bool { return now-at > failureWindow })
	switch {
	case c.state == breakerHalfOpen && c.trial == a:
		c.openDuration = min(2*c.openDuration, maxOpenDuration)
	case c.state != breakerClosed || len(c.failures) < failuresToOpen || b.withinBaselineFailureRate(e):
		return
	case kind == failureBySlowness && 2*(b.ejectedEndpoints()+1) > len(b.subset.members):
		return
	}
	b.openBreaker(now, e)
}

// openBreaker ejects an endpoint. The endpoint's attempts in flight no longer count against the concurrency
// limit, because no answers to them are expected.
func (b *Balancer) openBreaker(now time.Duration, e *endpoint) {
	e.breaker.state, e.breaker.trial = breakerOpen, nil
	for _, a := range e.inFlight {
		b.excludeFromLoad(a)
	}
	b.subset.stale = true
	e.breaker.halfOpenAt = now + b.jitter(e.breaker.openDuration)
}

// withinBaselineFailureRate reports whether the endpoint's baseline failure rate explains its current run of
// failures. Opening the breaker then would remove capacity without avoiding failures, for example while
// connections break throughout the fleet. Selection already avoids the endpoint by its score.
func (b *Balancer) withinBaselineFailureRate(e *endpoint) bool {
	run := len(e.breaker.failures)
	if run >= maxBaselineRun {
		return false
	}
	return math.Pow(b.baselineFailureRate(e, run), float64(run)) > minBaselineProbability
}

// baselineFailureRate returns the endpoint's failure rate before its current run of failures, 0 to 1. The
// subset's failure rate counts in it with the weight of priorOutcomes outcomes.
func (b *Balancer) baselineFailureRate(e *endpoint, run int) float64 {
	o := &e.outcomes
	failures := float64(max(0, o.count-o.successes-run)) + priorOutcomes*(1-b.health.meanSuccess)
	return failures / (float64(max(0, o.count-run)) + priorOutcomes)
}

// ejectedEndpoints returns the number of endpoints of the subset whose breaker is not closed.
func (b *Balancer) ejectedEndpoints() (count int) {
	for _, e := range b.subset.members {
		if e.breaker.state != breakerClosed {
			count++
		}
	}
	return count
}
