package policy

import (
	"slices"
	"time"
)

// Retries: a request whose attempts have all ended gets another attempt after a backoff if all of these
// conditions hold: it has attempts left, its idempotency permits a repeat, an endpoint is left that it has
// not tried, the backoff and an answer fit before its last useful time, and the retry budget allows a
// retry. The inputs are the ends of the attempts, the class's latency objective and the success rate of
// recent retries (0 to 1). The backoff doubles with each attempt and is randomized. The retry budget is
// meant for outages in which no endpoint can be reached: while almost no retry succeeds, most retries are
// not made (client-side throttling, Site Reliability Engineering, chapter 21).

const (
	// firstBackoffShare is the first backoff as a share of the class's latency objective.
	firstBackoffShare = 1.0 / 16
	// maxBackoff is the upper bound of the backoff, before jitter.
	maxBackoff = 30 * time.Second
	// minJitter is the smallest factor that a randomized delay is multiplied by.
	minJitter = 0.8
	// jitterSpan is the width of the range of the factor that a randomized delay is multiplied by. The range
	// is 20% either way, so that doubled delays still grow.
	jitterSpan = 0.4
	// minRetrySuccessRate is the success rate of retries at or below which the retry budget is exhausted.
	minRetrySuccessRate = 0.05
	// exhaustedBudgetOdds is the number of retries of which one is made, on average, while the retry budget
	// is exhausted.
	exhaustedBudgetOdds = 16
	// retrySamples is the number of retries over which retrySuccessRate is averaged.
	retrySamples = 8
)

// retry schedules a further attempt after a backoff, or gives the request up at once if none is possible.
func (b *Balancer) retry(now time.Duration, r *request) {
	if b.sendReplacement(now, r) {
		return
	}
	delay := b.jitter(r.backoff())
	if !b.mayRetryAt(now, now+delay, r) {
		b.giveUp(r)
		return
	}
	r.retryAt = now + delay
	b.sweepBy(now + sweepInterval)
}

// backoff returns the delay of the request's next attempt before jitter.
func (r *request) backoff() time.Duration {
	first := time.Duration(float64(r.class.LatencyObjective) * firstBackoffShare)
	return min(first<<(len(r.attempts)-1), maxBackoff)
}

// mayRetryAt reports whether a further attempt of the request is possible at the given time and can still
// be answered in time.
func (b *Balancer) mayRetryAt(now, at time.Duration, r *request) bool {
	possible := len(r.attempts) < b.settings.Limits.MaxAttempts && b.retryBudgetAllows() &&
		!r.barredFrom(at) && b.hasUntriedEndpoint(now, r)
	return possible && at+b.expectedLatency(r) <= r.lastUsefulTime()
}

// hasUntriedEndpoint reports whether a ready endpoint is left that the request has not tried and may be
// sent to. If the request's last attempt never ran, the result is true without a check, since the endpoint
// list may be about to change.
func (b *Balancer) hasUntriedEndpoint(now time.Duration, r *request) bool {
	if r.attempts[len(r.attempts)-1].neverRan {
		return true
	}
	return slices.ContainsFunc(b.ready, func(e *endpoint) bool {
		return !r.tried(e) && r.mayRepeatAt(now, e)
	})
}

// retryBudgetAllows reports whether the retry budget allows a retry. While the budget is exhausted, the
// result is random.
func (b *Balancer) retryBudgetAllows() bool {
	return b.retrySuccessRate > minRetrySuccessRate || b.random.IntN(exhaustedBudgetOdds) == 0
}

// recordRetryOutcome updates the success rate after a retry or a hedged request. It ignores attempts that
// were cancelled or never sent, since they show neither success nor failure.
func (b *Balancer) recordRetryOutcome(o Outcome) {
	if o.Attempt > 0 && o.Status == OK {
		b.retrySuccessRate += (1 - b.retrySuccessRate) / retrySamples
	} else if o.Attempt > 0 && o.Status != Cancelled && o.Status != NeverSent {
		b.retrySuccessRate -= b.retrySuccessRate / retrySamples
	}
}

// jitter multiplies a delay by a random factor from minJitter to minJitter+jitterSpan.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (minJitter + jitterSpan*b.random.Float64()))
}
