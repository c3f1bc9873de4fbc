package policy

import "time"

// The idempotency rules determine whether, and at which endpoints, a request may have a further attempt
// without causing an effect twice, and whether a rejection may promise that the request had no effect. The
// inputs are the class's idempotency, deduplication scope and deduplication window, and the sends and ends
// of the attempts. Only attempts that may have run restrict further attempts (attempt.neverRan is false, as
// it is while an attempt is in flight). If such an attempt belongs to a request that is not idempotent, no
// further attempt is allowed. If it belongs to a request with an idempotency key, further attempts are
// allowed within the deduplication scope and the deduplication window, where the endpoints drop repeats.

// mayRepeatAt reports whether the request may be sent to the endpoint without the risk of a second effect,
// whatever the earlier attempts did.
func (r *request) mayRepeatAt(now time.Duration, e *endpoint) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.neverRan && r.class.Idempotency == IdempotentByKey && !r.class.inDedupScope(a, e) {
			return false
		}
	}
	return !r.barredFrom(now)
}

// barredFrom reports whether earlier attempts forbid any further attempt at the given time or later, at every
// endpoint.
func (r *request) barredFrom(at time.Duration) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverRan {
			continue
		}
		if r.class.Idempotency == NotIdempotent {
			return true
		}
		if r.class.Idempotency == IdempotentByKey && at-a.sentAt >= r.class.DedupWindow {
			return true
		}
	}
	return false
}

// inDedupScope reports whether the endpoint is in the deduplication scope of the attempt and so drops a
// repeat.
func (c *class) inDedupScope(a *attempt, e *endpoint) bool {
	switch c.DedupScope {
	case ScopeZone:
		return a.zone == e.Zone
	case ScopeCell:
		return a.cell == e.Cell
	}
	return true
}

// RepeatIsHarmless reports whether a client may repeat a request of the class without harm, even if an
// attempt may have run: a repeat has no second effect, or all endpoints drop it.
func (c *Class) RepeatIsHarmless() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == ScopeAll
}

// mayReject reports whether a rejection may promise that the client can repeat the request without harm.
func (r *request) mayReject() bool {
	if r.class.RepeatIsHarmless() {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}
