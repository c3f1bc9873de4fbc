package policy

import (
	"math"
	"slices"
	"time"
)

// Circuit breaker: whether an endpoint is ejected (Nygard, Release It!; Envoy's outlier detection). Its
// inputs are the times of failures, the outcomes in the window of scoring.go, and the number of ejected
// endpoints. A run of consecutive failures within failureWindow opens the breaker, unless the endpoint's
// baseline failure rate explains the run. An open breaker turns half-open after a time that doubles with each
// failed trial, and then admits one request, the trial: its answer closes the breaker, its failure opens it
// again. Failures that may be slowness alone open no breaker once half of the subset is ejected: when all
// endpoints are slow together, ejecting them would reject everything.

const (
	// failuresToOpen is the run of consecutive failures that opens a breaker.
	failuresToOpen = 5
	// maxBaselineRun opens a breaker whatever the endpoint's baseline failure rate is.
	maxBaselineRun = 12
	// minBaselineProbability is the probability below which the baseline failure rate does not explain a run.
	minBaselineProbability = 1e-5
	// failureWindow is the time within which the failures of a run must fall.
	failureWindow = 60 * time.Second
	// minOpenDuration is the time for which a breaker opens first; it doubles with each failed trial.
	minOpenDuration = 2 * time.Second
	// maxOpenDuration bounds the time for which a breaker opens.
	maxOpenDuration = 30 * time.Second
	// slowAnswerFactor is the multiple of the unloaded latency from which an answer counts as a failure
	// among many nodes.
	slowAnswerFactor = 5.0
)

// breakerState is the state of a circuit breaker.
type breakerState uint8

const (
	breakerClosed   breakerState = iota // attempts are sent
	breakerOpen                         // none are sent
	breakerHalfOpen                     // one is sent, the trial
)

// breaker is the circuit breaker of an endpoint.
type breaker struct {
	state        breakerState
	failures     []time.Duration // times of the consecutive failures within failureWindow
	openDuration time.Duration   // of the present or the next opening, before jitter
	halfOpenAt   time.Duration   // when open: it turns half-open
	trial        *attempt        // when half-open: the trial in flight
}

// failureKind says what a failure rests on.
type failureKind uint8

const (
	failureReported   failureKind = iota // an error, or a connection that broke or was refused
	failureBySlowness                    // no answer in time, or a very late one
)

// halfOpenIfDue turns an open breaker half-open when its time has come.
func (c *breaker) halfOpenIfDue(now time.Duration) {
	if c.state == breakerOpen && now >= c.halfOpenAt {
		c.state, c.trial = breakerHalfOpen, nil
	}
}

// awaitsTrial reports whether the next attempt at the endpoint is its trial.
func (c *breaker) awaitsTrial() bool { return c.state == breakerHalfOpen && c.trial == nil }

// admitsTrial reports whether the request may be the trial. One that is not idempotent is a last resort,
// after the breaker has been half-open for its open duration: a failure could not be retried.
func (c *breaker) admitsTrial(now time.Duration, r *request) bool {
	return c.awaitsTrial() && (r.class.Idempotency != NotIdempotent || now > c.halfOpenAt+c.openDuration)
}

// endTrial lets the next request be the trial if the attempt was one, without a verdict.
func (c *breaker) endTrial(a *attempt) {
	if c.trial == a {
		c.trial = nil
	}
}

// recordSuccess ends the run of failures. It closes the breaker if the attempt was the trial. An answer to an
// attempt from before the breaker opened shows that the endpoint is alive, so its trial may come at once.
func (c *breaker) recordSuccess(now time.Duration, a *attempt) {
	c.failures = c.failures[:0]
	switch {
	case c.state == breakerHalfOpen && c.trial == a:
		c.state, c.trial, c.openDuration = breakerClosed, nil, minOpenDuration
	case c.state == breakerOpen:
		c.halfOpenAt = now
	}
}

// recordFailure counts a failure and opens the endpoint's breaker where the rule says so.
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

// openBreaker ejects an endpoint. No answers are expected to its attempts in flight.
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

// baselineFailureRate returns the endpoint's failure rate before its current run of failures, 0 to 1, drawn
// towards the subset's by priorOutcomes.
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
