package policy

import (
	"slices"
	"time"
)

// Stalled answers: an answer that has begun may pause because it is broken, or because its endpoint is
// slow. The inputs are the host's reports of pauses and of their ends, and the unloaded latency of the
// class. Where hedging is allowed, a pause causes a hedged request. Elsewhere the attempt is replaced
// as late as a further attempt can still be answered in time, and only once for each request, so that a
// sound answer that pauses is not given up while it could still be served. An attempt whose answer shows
// life and may be passed on at the deadline (begunanswers.go) is not replaced. A pause counts as a failure of
// the endpoint only when the attempt ends without an answer: because it was replaced, because another
// attempt was faster, or by a timeout.

// maxHostDelay is how long the host may be held up between a decision and the send.
const maxHostDelay = 150 * time.Millisecond

// replacementTime returns how long before its deadline the request's stalled attempt is replaced: the time
// that a further attempt takes at an idle endpoint, and maxHostDelay.
func (b *Balancer) replacementTime(r *request) time.Duration {
	return b.fastestAnswer(r) + maxHostDelay
}

// AnswerStalled handles a pause in an answer that has begun and of which progress has come. It sends a
// hedged request if that is allowed and the request has no other attempt in flight. Otherwise replace tells
// whether the attempt is to be replaced if the pause lasts until replaceAt. If replaceAt is not later than
// now, the host has to end the attempt as ErrorResponse at once; at a later time it calls AnswerStalled
// again, unless it has called AnswerResumed. The host may report a pause again as long as it lasts.
func (b *Balancer) AnswerStalled(
	now time.Duration, id RequestID, index int, progress AnswerProgress,
) (replaceAt time.Duration, replace bool) {
	r, a := b.findAttempt(id, index)
	if r == nil || r.done || r.streaming {
		return 0, false
	}
	b.recordStall(a)
	if r.inFlight > 1 {
		return 0, false
	}
	if b.settings.Limits.AllowHedging {
		b.hedgeStalled(now, r)
		return 0, false
	}
	return b.replaceStalled(now, r, progress)
}

// AnswerResumed handles the end of a pause that was reported by AnswerStalled.
func (b *Balancer) AnswerResumed(id RequestID, index int) {
	if _, a := b.findAttempt(id, index); a != nil {
		a.stalled = false
	}
}

// recordStall marks the attempt as stalled. Since its answer has begun, the endpoint is not unresponsive, so
// that a failure which recordUnresponsive has counted is taken back.
func (b *Balancer) recordStall(a *attempt) {
	a.stalled, a.hasStalled = true, true
	b.excludeFromLoad(a)
	if a.unresponsiveAt == 0 {
		return
	}
	at, e := a.unresponsiveAt, a.endpoint
	a.unresponsiveAt = 0
	e.outcomes.removeFailure(at)
	if i := slices.Index(e.breaker.failures, at); i >= 0 {
		e.breaker.failures = slices.Delete(e.breaker.failures, i, i+1)
	}
}

// load returns the number of attempts in flight that take capacity of the endpoint. Attempts whose request
// body is incomplete or whose answer pauses take none: a few broken answers would otherwise keep further
// attempts from all endpoints.
func (e *endpoint) load() int {
	load := len(e.inFlight) - e.incompleteBodies
	for _, a := range e.inFlight {
		if a.stalled {
			load--
		}
	}
	return load
}

// hedgeStalled sends a hedged request beside a stalled attempt if an answer to it is possible in time.
func (b *Balancer) hedgeStalled(now time.Duration, r *request) {
	if !b.mayReplace(now, r) {
		return
	}
	if e := b.pick(now, r); e != nil {
		b.send(now, r, e)
	}
}

// replaceStalled decides when the request's only attempt in flight, which is stalled, is replaced.
func (b *Balancer) replaceStalled(
	now time.Duration, r *request, progress AnswerProgress,
) (replaceAt time.Duration, replace bool) {
	replaceAt = max(now, r.deadline-b.replacementTime(r))
	if progress.Bytes > 0 {
		replaceAt = max(replaceAt, progress.LastAt+maxSilence)
	}
	latest := r.deadline - b.fastestAnswer(r)
	switch {
	case r.replacement != noReplacement || !b.mayReplace(replaceAt, r):
		return 0, false
	case replaceAt > now:
		return replaceAt, true
	case !b.canReplaceNow(now, r):
		return min(now+sweepInterval, latest), now+sweepInterval <= latest
	}
	r.replacement = replacementDue
	return now, true
}

// canReplaceNow reports whether an endpoint could get a further attempt of the request now if its only one
// in flight had ended.
func (b *Balancer) canReplaceNow(now time.Duration, r *request) bool {
	r.inFlight, r.replacement = r.inFlight-1, replacementDue
	defer func() { r.inFlight, r.replacement = r.inFlight+1, noReplacement }()
	return b.pick(now, r) != nil
}

// mayReplace reports whether a further attempt beside or instead of a stalled one is possible at the given
// time and can still be answered before the deadline.
func (b *Balancer) mayReplace(at time.Duration, r *request) bool {
	return len(r.attempts) < b.settings.Limits.MaxAttempts && b.retryBudgetAllows() && !r.barredFrom(at) &&
		b.hasUntriedEndpoint(at, r) && at+b.fastestAnswer(r) <= r.deadline
}

// fastestAnswer returns the time that the request takes at an idle endpoint.
func (b *Balancer) fastestAnswer(r *request) time.Duration {
	return time.Duration(b.unloadedLatency(r) * float64(time.Second))
}

// sendReplacement sends the attempt that replaces a stalled one, without a backoff. It returns false if none
// is due.
func (b *Balancer) sendReplacement(now time.Duration, r *request) (sent bool) {
	if r.replacement != replacementDue {
		return false
	}
	e := b.pick(now, r)
	r.replacement = replacementSent
	if e != nil {
		b.send(now, r, e)
	}
	return e != nil
}

// recordOvertaken counts the stalled attempts of a request that another attempt has answered as failures of
// their endpoints.
func (b *Balancer) recordOvertaken(now time.Duration, r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && a.stalled {
			b.recordStalledFailure(now, a)
			a.stalled = false
		}
	}
}

// recordStalledFailure counts a stalled attempt that gave no answer as a failure of its endpoint.
func (b *Balancer) recordStalledFailure(now time.Duration, a *attempt) {
	a.endpoint.outcomes.record(now, false, 0)
	b.recordFailure(now, a, failureBySlowness)
}

// replacement is the state of replacing a request's stalled attempt.
type replacement uint8

const (
	noReplacement   replacement = iota // no attempt of the request was given up because of a pause
	replacementDue                     // a stalled attempt ends, and another one takes its place
	replacementSent                    // a stalled attempt was replaced; no further one is
)
