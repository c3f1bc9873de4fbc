package engine

import (
	"time"

	"yokestall/policy"
)

// attempt is one delivery of a request to one endpoint. Only the loop's goroutine uses its fields, except for Call, which
// is safe for concurrent use, and result, which Cluster.exchange sets before it posts exchangeReturned.
type attempt struct {
	Call
	cluster          *Cluster
	request          *Request
	index            int           // position in Request.attempts; retries and hedged requests have 1 and above
	startedAt        time.Duration // time on the Clock of the Balancer's decision or, if later, of the last body byte's arrival
	reported         bool          // the outcome was reported to the Balancer
	status           policy.Status // the outcome, once it was reported
	awaitsLateAnswer bool          // the exchange goes on after the outcome, for Request.OnLateAnswer
	countsAsRetry    bool          // the attempt is counted in Cluster.retriesInFlight
	timeoutTimer     timer
	stallTimer       timer  // set while the answer pauses and the attempt may be replaced
	result           Result // returned by Exchanger.Exchange; cleared by takeResult
}

// newAttempt adds an attempt to a request. The attempt counts as in flight but is not started.
func (c *Cluster) newAttempt(now time.Duration, r *Request, endpoint policy.EndpointID) *attempt {
	a := &attempt{cluster: c, request: r, index: len(r.attempts), startedAt: now}
	a.endpoint, a.drain = endpoint, c.drainOf(endpoint)
	a.clock, a.onSend = c.clock, c.onSend
	a.sendAllowed, a.clientDisconnected = r.SendAllowed, r.ClientDisconnected
	a.dedupWindow, a.stalls = r.dedupWindow, a
	if a.index == 0 {
		r.attempts = r.firstAttempt[:0]
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	return a
}

// endpointReady reports whether the endpoint was ready when the attempt was created. Otherwise the attempt is never
// started.
func (a *attempt) endpointReady() bool { return a.drain != nil }

// mayStart reports whether an attempt that the Balancer decided on may start: its request has not ended and is within its
// deadline and its limits, and the endpoint is ready.
func (c *Cluster) mayStart(now time.Duration, a *attempt) bool {
	r := a.request
	maxAttempts := c.maxAttempts
	if r.MaxAttempts > 0 {
		maxAttempts = min(maxAttempts, r.MaxAttempts)
	}
	if r.ended || now >= r.Deadline || a.index >= maxAttempts || !a.endpointReady() {
		return false
	}
	return a.index == 0 || c.mayRetry(r)
}

// mayRetry reports whether the retry limit and the request's payload allow a second or later attempt.
// Request.inFlight must include that attempt.
func (c *Cluster) mayRetry(r *Request) bool {
	if limit := int(c.maxRetries.Load()); limit > 0 && c.retriesInFlight >= limit {
		return false
	}
	payload, ok := r.Payload.(StreamingPayload)
	if !ok {
		return true
	}
	return !payload.Consumed() && (r.inFlight == 1 || !payload.Streaming())
}

// setTimeout sets an attempt's timer to the shorter of the Balancer's timeout and Request.PerTryTimeout; for both, 0
// means no timeout. It sets no timer if the request's deadline is not later than the timeout or the payload is a
// SelfTimedPayload.
func (c *Cluster) setTimeout(now time.Duration, a *attempt, timeout time.Duration) {
	r := a.request
	if r.PerTryTimeout > 0 && (timeout == 0 || timeout > r.PerTryTimeout) {
		timeout = r.PerTryTimeout
	}
	if _, selfTimed := r.Payload.(SelfTimedPayload); selfTimed || timeout <= 0 || now+timeout >= r.Deadline {
		return
	}
	a.timeoutTimer = timer{at: now + timeout, expiry: attemptTimeout{a}}
	c.timers.set(&a.timeoutTimer)
}

// attemptTimeout is the expiry of attempt.timeoutTimer.
type attemptTimeout struct{ attempt *attempt }

func (t attemptTimeout) expire(c *Cluster, now time.Duration) {
	c.handle(now, attemptEnded{t.attempt, policy.Timeout})
}

// exchange carries out an attempt on the attempt's goroutine and posts the result to the loop.
func (c *Cluster) exchange(a *attempt, timeRemaining time.Duration) {
	a.result = c.exchanger.Exchange(&a.Call, a.endpoint, a.request.Payload, timeRemaining)
	if !c.post(exchangeReturned{a}) {
		closeAnswer(a.takeResult().Answer)
	}
}

// takeResult returns the result of the exchange and clears it in the attempt, so that the attempt does not keep the
// answer in memory.
func (a *attempt) takeResult() Result {
	result := a.result
	a.result = Result{}
	return result
}

// reportOutcome reports the first outcome of an attempt to the Balancer. Of later results, only the answer is used, for
// Request.OnLateAnswer.
func (c *Cluster) reportOutcome(now time.Duration, a *attempt, result Result) {
	r := a.request
	if a.reported {
		a.takeLateAnswer(result)
		return
	}
	servedBefore := r.served
	c.closeAttempt(now, a, result.Status)
	c.takeAnswer(a, result, servedBefore)
	c.failIfNotResendable(r, result)
	c.answerIfSendForbidden(r, result)
	c.balancer.Outcome(now, policy.Outcome{
		ID:          r.id,
		Attempt:     a.index,
		Endpoint:    a.endpoint,
		Status:      result.Status,
		RequestDone: r.ended,
		Latency:     now - a.startedAt,
	})
	c.removeIfDone(r)
}

// closeAttempt removes an attempt from the counts of attempts in flight and stops it. If Request.OnLateAnswer wants the
// attempt's answer, the attempt is stopped after Request.LateAnswerTimeout instead.
func (c *Cluster) closeAttempt(now time.Duration, a *attempt, status policy.Status) {
	r := a.request
	a.reported, a.status = true, status
	r.inFlight--
	if a.countsAsRetry {
		c.retriesInFlight--
	}
	a.Revoke()
	r.served = r.served || status == policy.OK
	a.awaitsLateAnswer = a.mayAnswerLate(now, status)
	if a.awaitsLateAnswer {
		time.AfterFunc(r.LateAnswerTimeout, a.Stop)
	} else {
		a.Stop()
	}
	if r.dedupWindow != nil && !a.mayHaveRun() {
		r.dedupWindow.remove(&a.Call)
	}
	c.timers.clear(&a.timeoutTimer)
	c.timers.clear(&a.stallTimer)
}

// mayAnswerLate reports whether Request.OnLateAnswer wants the answer of an attempt that ends with this status: the
// attempt was sent and then abandoned, and its request has ended or reached its deadline without being served.
func (a *attempt) mayAnswerLate(now time.Duration, status policy.Status) bool {
	r := a.request
	if r.OnLateAnswer == nil || r.served || !a.gate.passed() {
		return false
	}
	gaveUp := status == policy.Timeout || status == policy.Cancelled
	return gaveUp && (r.ended || now >= r.Deadline)
}

// takeLateAnswer passes the answer of an attempt whose outcome was reported before to Request.OnLateAnswer, or closes it.
func (a *attempt) takeLateAnswer(result Result) {
	if a.awaitsLateAnswer && result.Status == policy.OK {
		go a.request.OnLateAnswer(result.Answer)
		return
	}
	closeAnswer(result.Answer)
}

// takeAnswer gives a successful answer to the request as its final answer, and adds the answer of any other result to
// the request's fallback. If the request has ended, the first successful answer goes to Request.OnLateAnswer, if that is
// set, and other answers are closed.
func (c *Cluster) takeAnswer(a *attempt, result Result, servedBefore bool) {
	r := a.request
	switch {
	case r.ended && r.OnLateAnswer != nil && result.Status == policy.OK && !servedBefore:
		go r.OnLateAnswer(result.Answer)
	case r.ended:
		closeAnswer(result.Answer)
	case result.Status == policy.OK:
		c.answerServed(a, result.Answer)
	case result.Answer != nil:
		r.fallback.add(result)
	}
}

// failIfNotResendable fails a request that can have no further attempt because its result is final, or because its payload was
// consumed and no attempt is in flight.
func (c *Cluster) failIfNotResendable(r *Request, result Result) {
	if r.ended {
		return
	}
	payload, streaming := r.Payload.(StreamingPayload)
	if result.Final || streaming && payload.Consumed() && r.inFlight == 0 {
		c.answerUnserved(r.id, Answer{Verdict: Failed})
	}
}

// answerIfSendForbidden answers a request whose last attempt in flight was not sent because Request.SendAllowed returned
// false. The request is rejected, or fails if an earlier attempt may have run.
func (c *Cluster) answerIfSendForbidden(r *Request, result Result) {
	if r.ended || r.inFlight > 0 || result.Status != policy.NeverSent || r.SendAllowed == nil || r.SendAllowed() {
		return
	}
	verdict := Rejected
	if r.mayHaveRun(nil) {
		verdict = Failed
	}
	c.answerUnserved(r.id, Answer{Verdict: verdict, RetryAfter: r.SendRetryAfter})
}

// mayHaveRun reports whether the attempt was sent and may have run at its endpoint, or may yet run.
func (a *attempt) mayHaveRun() bool {
	if a.reported && a.status.NeverRan() {
		return false
	}
	return a.gate.passed()
}
