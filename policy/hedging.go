package policy

import "time"

// Hedging determines when an attempt in flight is unresponsive, and sends a hedged request to another
// endpoint (Dean and Barroso, The Tail at Scale, 2013). An attempt is unresponsive if it has had no answer
// for unresponsiveFactor times the expected latency and its endpoint has had no success since the attempt
// was sent. The inputs are the time since the send, the expected latency and the time of the endpoint's
// last success. An unresponsive attempt counts as a failure of the endpoint, long before a timeout would,
// and no longer counts against the concurrency limit; otherwise hanging endpoints would stop all sends.

// unresponsiveFactor is the multiple of the expected latency after which an attempt is unresponsive.
const unresponsiveFactor = 4.0

// detectUnresponsive counts the request's unresponsive attempts as failures. It sends a hedged request if
// hedging is allowed, the request has no other attempt in flight, and an answer can still meet the
// objective deadline.
func (b *Balancer) detectUnresponsive(now time.Duration, r *request) {
	expected := b.expectedLatency(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.isUnresponsive(now, expected) {
			continue
		}
		b.recordUnresponsive(now, a)
		if r.inFlight == 1 && b.settings.Limits.AllowHedging && now+expected <= r.objectiveDeadline {
			if e := b.pick(now, r); e != nil {
				b.send(now, r, e)
			}
		}
	}
}

// recordUnresponsive counts an attempt in flight as a failure of its endpoint, once.
func (b *Balancer) recordUnresponsive(now time.Duration, a *attempt) {
	if a.excludedFromLoad {
		return
	}
	b.excludeFromLoad(a)
	a.unresponsiveAt = now
	a.endpoint.outcomes.record(now, false, 0)
	b.recordFailure(now, a, failureBySlowness)
}

// isUnresponsive reports whether the attempt has been in flight for longer than unresponsiveFactor times
// the expected latency and its endpoint has had no success since the send. An attempt that is already
// excluded from load is not reported again.
func (a *attempt) isUnresponsive(now, expected time.Duration) bool {
	if !a.inFlight || a.excludedFromLoad {
		return false
	}
	age := float64(now - a.sentAt)
	return age > unresponsiveFactor*float64(expected) && a.endpoint.lastSuccessAt < a.sentAt
}

// excludeFromLoad stops counting an attempt in flight against the concurrency limit. It is used for
// attempts to which no answer is expected, or none before the request body is complete.
func (b *Balancer) excludeFromLoad(a *attempt) {
	if !a.excludedFromLoad {
		a.excludedFromLoad = true
		b.concurrency.inFlight--
	}
}
