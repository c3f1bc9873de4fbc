package policy

import "time"

// Outcomes: what the end of an attempt says of its endpoint, for its score, its breaker, its latency
// estimates and its slow-start budget. Its inputs are the status and the latency of the attempt, and the
// endpoint's recent answers and rejections. An error, a broken connection and a refused connection are
// failures. An endpoint that answered lately and now refuses connections is out of connections, not down:
// that is a rejection. A rejection costs score, since a full endpoint would else look idle and attract
// requests, but does not count towards opening the breaker. A second one in a row also pauses the endpoint: a
// full endpoint always has capacity by the node's own count. A single one does not, because many endpoints
// that reject a few each would all pause at once.

const (
	// aliveAfterAnswer is the time after an answer in which a refused connection counts as a rejection.
	aliveAfterAnswer = time.Second
	// maxAliveRejections is the number of rejections since an answer from which a refused connection counts
	// as a failure all the same.
	maxAliveRejections = 3
	// maxPauseDoublings bounds the pause after rejections: the typical latency, doubled this often.
	maxPauseDoublings = 5
)

// recordOutcome takes an outcome into what is known of its endpoint. A restarted endpoint is not judged by
// what its former process was sent.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, o Outcome) {
	e := a.endpoint
	if a.sentAt < e.StartedAt {
		return
	}
	latency := o.Latency.Seconds() / b.unloadedLatency(r)
	if r.BodyIncomplete { // the upload took the time, not the endpoint
		latency = b.health.meanLatency
	}
	switch e.effectiveStatus(now, o.Status) {
	case OK:
		b.recordAnswer(now, r, a, o.Latency.Seconds(), latency)
	case ErrorResponse, Reset, ConnectFailed:
		e.outcomes.record(now, false, latency)
		b.recordFailure(now, a, failureReported)
	case Timeout:
		// A shorter wait says more of the client's patience than of the endpoint.
		if !a.excludedFromLoad && latency > b.health.meanLatency*unresponsiveFactor {
			e.outcomes.record(now, false, latency)
			b.recordFailure(now, a, failureBySlowness)
		}
	case Rejected:
		e.outcomes.record(now, false, latency)
		b.pauseAfterRejection(now, e)
	}
	e.breaker.endTrial(a)
}

// effectiveStatus returns the status of an outcome as it counts for the endpoint.
func (e *endpoint) effectiveStatus(now time.Duration, status Status) Status {
	if status == ConnectFailed && e.lastAnswerAt > 0 && now-e.lastAnswerAt < aliveAfterAnswer &&
		e.consecutiveRejections < maxAliveRejections {
		return Rejected
	}
	return status
}

// recordAnswer takes an answer. seconds is its latency; latency is the same as a multiple of the unloaded
// latency. Among many nodes an answer that took very long counts as a failure: the endpoint is saturated by
// other nodes' requests, and its open breaker lets it recover.
func (b *Balancer) recordAnswer(now time.Duration, r *request, a *attempt, seconds, latency float64) {
	e := a.endpoint
	e.outcomes.record(now, true, latency)
	e.slowStart.Answered(&b.slowStartRules, now, b.unloadedLatency(r))
	if latency > slowAnswerFactor && b.manyNodes() {
		b.recordFailure(now, a, failureBySlowness)
	} else {
		e.recordSuccess(now, a)
	}
	b.recordLatency(now, a, r, seconds)
	b.adjustConcurrencyLimit(now)
}

// recordSuccess says that the endpoint is alive and accepts requests.
func (e *endpoint) recordSuccess(now time.Duration, a *attempt) {
	e.consecutiveRejections, e.pausedUntil = 0, 0
	e.lastAnswerAt = now
	e.breaker.recordSuccess(now, a)
}

// pauseAfterRejection counts a rejection and pauses the endpoint from the second one in a row on, for a time
// that doubles with each.
func (b *Balancer) pauseAfterRejection(now time.Duration, e *endpoint) {
	if e.consecutiveRejections > 0 {
		doublings := min(e.consecutiveRejections-1, maxPauseDoublings)
		e.pausedUntil = now + time.Duration(b.typicalLatency*float64(time.Second))<<doublings
	}
	e.consecutiveRejections++
}
