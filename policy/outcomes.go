package policy

import "time"

// The outcome of an attempt updates the score, the breaker, the latency estimates and the slow-start budget
// of its endpoint. The inputs are the status and the latency of the attempt, and the endpoint's recent
// successes and rejections. An error response, a broken connection and a refused connection are failures.
// An endpoint that had a success recently and now refuses connections has reached its connection limit but
// is not down, so the refused connection counts as a rejection. A rejection lowers the score, since a full
// endpoint would otherwise look idle and attract requests, but does not count towards opening the breaker.
// A second consecutive rejection also pauses the endpoint, since a full endpoint that rejects every request
// always has capacity by the node's own count. A single rejection does not pause it: if many endpoints
// rejected a few requests each, all would pause at once.

const (
	// presumedAliveDuration is the time after a success of the endpoint during which a refused connection
	// counts as a rejection.
	presumedAliveDuration = time.Second
	// maxPresumedAliveRejections is a number of rejections since the endpoint's last success. Once it is
	// reached, a refused connection counts as a failure even within presumedAliveDuration.
	maxPresumedAliveRejections = 3
	// maxPauseDoublings is the maximum number of times that the pause after rejections is doubled. The first
	// pause lasts one typical latency.
	maxPauseDoublings = 5
)

// recordOutcome updates the state of the attempt's endpoint. It ignores the outcome of an attempt that was
// sent to a former process of the endpoint, before its latest start.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, o Outcome) {
	e := a.endpoint
	if a.sentAt < e.StartedAt {
		return
	}
	latency := o.Latency.Seconds() / b.unloadedLatency(r)
	if r.BodyIncomplete || a.hasStalled { // the measured time is that of the client's upload, or has a pause
		latency = b.health.meanLatency
	}
	switch e.effectiveStatus(now, o.Status) {
	case OK:
		b.recordAnswer(now, r, a, o.Latency.Seconds(), latency)
	case ErrorResponse, Reset, ConnectFailed:
		if r.replacement == replacementDue {
			b.recordStalledFailure(now, a)
			break
		}
		e.outcomes.record(now, false, latency)
		b.recordFailure(now, a, failureReported)
	case Timeout:
		if a.stalled {
			b.recordStalledFailure(now, a)
			break
		}
		// A wait of at most unresponsiveFactor times the mean latency shows only that the deadline was short,
		// not that the endpoint was slow.
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

// effectiveStatus returns the status that counts for the endpoint. It is the given status, except that a
// refused connection within presumedAliveDuration of a success counts as a rejection. After
// maxPresumedAliveRejections consecutive rejections a refused connection counts as a failure again.
func (e *endpoint) effectiveStatus(now time.Duration, status Status) Status {
	if status == ConnectFailed && e.lastSuccessAt > 0 && now-e.lastSuccessAt < presumedAliveDuration &&
		e.consecutiveRejections < maxPresumedAliveRejections {
		return Rejected
	}
	return status
}

// recordAnswer updates the endpoint's state and the node's estimates after an answer. seconds is the
// latency of the answer; latency is the same as a multiple of the unloaded latency. Among many nodes
// (Balancer.manyNodes) an answer that took more than slowAnswerFactor times the unloaded latency counts as
// a failure: the endpoint is saturated by other nodes' requests, and an open breaker lets it recover.
func (b *Balancer) recordAnswer(now time.Duration, r *request, a *attempt, seconds, latency float64) {
	e := a.endpoint
	e.outcomes.record(now, true, latency)
	e.slowStart.RecordCompleted(&b.slowStartRules, now, b.unloadedLatency(r))
	if latency > slowAnswerFactor && b.manyNodes() {
		b.recordFailure(now, a, failureBySlowness)
	} else {
		e.recordSuccess(now, a)
	}
	b.recordLatency(now, a, r, seconds)
	b.adjustConcurrencyLimit(now)
}

// recordSuccess records that the endpoint is alive and accepts requests. It ends a pause after rejections.
func (e *endpoint) recordSuccess(now time.Duration, a *attempt) {
	e.consecutiveRejections, e.pausedUntil = 0, 0
	e.lastSuccessAt = now
	e.breaker.recordSuccess(now, a)
}

// pauseAfterRejection counts a rejection. From the second consecutive rejection on it pauses the endpoint,
// for a time that doubles with each further rejection.
func (b *Balancer) pauseAfterRejection(now time.Duration, e *endpoint) {
	if e.consecutiveRejections > 0 {
		doublings := min(e.consecutiveRejections-1, maxPauseDoublings)
		e.pausedUntil = now + time.Duration(b.typicalLatency*float64(time.Second))<<doublings
	}
	e.consecutiveRejections++
}
