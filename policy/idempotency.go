package policy

import "time"

// Idempotency: whether a request may have a further attempt, and where, so that no effect happens twice; and
// whether a rejection may promise that the request had no effect. Its inputs are the class's idempotency and
// deduplication scope and window, and the sends and ends of the attempts. Only attempts that may have run
// restrict it (attempt.neverRan is false, also while in flight): one of a request that is not idempotent bars
// any other; one of a request with an idempotency key allows others within its deduplication scope and
// window, where the endpoints drop repeats.

// mayRepeatAt reports whether an attempt at the endpoint repeats no effect, whatever the earlier attempts
// did.
func (r *request) mayRepeatAt(now time.Duration, e *endpoint) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.neverRan && r.class.Idempotency == IdempotentByKey && !r.class.inDedupScope(a, e) {
			return false
		}
	}
	return !r.barredFrom(now)
}

// barredFrom reports whether an earlier attempt bars any further one at the given time or later, at whatever
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

// inDedupScope reports whether the endpoint drops a repeat of the attempt.
func (c *class) inDedupScope(a *attempt, e *endpoint) bool {
	switch c.DedupScope {
	case ScopeZone:
		return a.zone == e.Zone
	case ScopeCell:
		return a.cell == e.Cell
	}
	return true
}

// mayReject reports whether the promise of a rejection holds: the client may repeat the request without harm.
func (r *request) mayReject() bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == ScopeAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}
