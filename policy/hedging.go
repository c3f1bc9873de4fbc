package policy

import "time"

// Hedging: when an attempt in flight counts as unresponsive, and gets a hedged request elsewhere beside it
// (Dean and Barroso, The Tail at Scale, 2013). An attempt is unresponsive when it has no answer for
// unresponsiveFactor times the expected latency and its endpoint has answered nothing else since it was sent.
// Its inputs are the time since the send, the expected latency and the endpoint's last answer. An
// unresponsive attempt counts as a failure of the endpoint, long before a timeout does, and the attempt no
// longer counts against the concurrency limit: hanging endpoints would else stop all sends.

// unresponsiveFactor is the multiple of the expected latency after which an attempt is unresponsive.
const unresponsiveFactor = 4.0

// detectUnresponsive counts the request's unresponsive attempts as failures. If the request has no other
// attempt in flight, and an answer is still in time, it sends a hedged request.
func (b *Balancer) detectUnresponsive(now time.Duration, r *request) {
	expected := b.expectedLatency(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.lacksAnswer(now, expected) {
			continue
		}
		b.excludeFromLoad(a)
		a.endpoint.outcomes.record(now, false, 0)
		b.recordFailure(now, a, failureBySlowness)
		if r.inFlight == 1 && b.settings.Limits.AllowHedging && now+expected <= r.objectiveDeadline {
			if e := b.pick(now, r); e != nil {
				b.send(now, r, e)
			}
		}
	}
}

// lacksAnswer reports whether the attempt is in flight for too long and its endpoint answered nothing since.
func (a *attempt) lacksAnswer(now, expected time.Duration) bool {
	if !a.inFlight || a.excludedFromLoad {
		return false
	}
	age := float64(now - a.sentAt)
	return age > unresponsiveFactor*float64(expected) && a.endpoint.lastAnswerAt < a.sentAt
}

// excludeFromLoad stops counting an attempt in flight against the concurrency limit: no answer is expected of
// it, or none before its body is complete.
func (b *Balancer) excludeFromLoad(a *attempt) {
	if !a.excludedFromLoad {
		a.excludedFromLoad = true
		b.concurrency.inFlight--
	}
}
