package policy

import (
	"slices"
	"time"
)

// Retries: whether a request whose attempts have all ended gets another one, and after which backoff. It does
// while attempts are left, its idempotency permits, an untried endpoint is left, the backoff and an answer
// fit before the last useful time, and the retry budget allows it. Its inputs are the ends of the attempts,
// the class's latency objective and the success rate of recent retries (0 to 1). The backoff doubles with
// each attempt and is randomized. The budget is for outages in which nothing can be reached: when next to no
// retry succeeds, most are not made (client-side throttling, Site Reliability Engineering, chapter 21).

const (
	// firstBackoffShare is the first backoff as a share of the class's latency objective.
	firstBackoffShare = 1.0 / 16
	// maxBackoff bounds the backoff.
	maxBackoff = 30 * time.Second
	// minJitter is the least factor by which a delay is randomized.
	minJitter = 0.8
	// jitterSpan is the range of that factor: a fifth either way, so that doubled delays still grow.
	jitterSpan = 0.4
	// minRetrySuccessRate is the success rate of retries up to which the budget is exhausted.
	minRetrySuccessRate = 0.05
	// retryOdds: with an exhausted budget one in this many retries is made.
	retryOdds = 16
	// retrySamples is the number of retries that retrySuccessRate is averaged over.
	retrySamples = 8
)

// retry schedules a further attempt, or gives the request up at once if none is possible.
func (b *Balancer) retry(now time.Duration, r *request) {
	first := time.Duration(float64(r.class.LatencyObjective) * firstBackoffShare)
	delay := b.jitter(min(first<<(len(r.attempts)-1), maxBackoff))
	possible := len(r.attempts) < b.settings.Limits.MaxAttempts && b.retryBudgetAllows() &&
		!r.barredFrom(now+delay) && b.endpointLeft(now, r)
	if !possible || now+delay+b.expectedLatency(r) > r.lastUsefulTime() {
		b.giveUp(r)
		return
	}
	r.retryAt = now + delay
	b.sweepBy(now + sweepInterval)
}

// endpointLeft reports whether a ready endpoint is left that the request has not tried and may be sent to.
// After an attempt that never ran it is assumed: the endpoint list may be about to change.
func (b *Balancer) endpointLeft(now time.Duration, r *request) bool {
	if r.attempts[len(r.attempts)-1].neverRan {
		return true
	}
	return slices.ContainsFunc(b.ready, func(e *endpoint) bool {
		return !r.tried(e) && r.mayRepeatAt(now, e)
	})
}

// retryBudgetAllows reports whether a retry is made.
func (b *Balancer) retryBudgetAllows() bool {
	return b.retrySuccessRate > minRetrySuccessRate || b.random.IntN(retryOdds) == 0
}

// recordRetryOutcome takes the outcome of a retry or a hedged request into the success rate. Cancelled and
// never sent ones say nothing.
func (b *Balancer) recordRetryOutcome(o Outcome) {
	if o.Attempt > 0 && o.Status == OK {
		b.retrySuccessRate += (1 - b.retrySuccessRate) / retrySamples
	} else if o.Attempt > 0 && o.Status != Cancelled && o.Status != NeverSent {
		b.retrySuccessRate -= b.retrySuccessRate / retrySamples
	}
}

// jitter randomizes a delay.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (minJitter + jitterSpan*b.random.Float64()))
}
