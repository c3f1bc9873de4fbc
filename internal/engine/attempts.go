package engine

import (
	"time"

	"yokestall/policy"
)

// attempt is one delivery of a request to one endpoint. Its fields belong to the loop's goroutine, but for Call and,
// until exchangeReturned is posted, result.
type attempt struct {
	Call
	request          *Request
	index            int           // in Request.attempts; above 0: a retry or a hedged request
	startedAt        time.Duration // of the Balancer's decision; for an upload, of its last byte
	reported         bool          // the Balancer has the outcome
	awaitsLateAnswer bool          // it is not stopped yet, for Request.OnLateAnswer
	countsAsRetry    bool          // it is in Cluster.retriesInFlight
	timeoutTimer     timer
	result           Result // of Exchanger.Exchange, taken by takeResult
}

// newAttempt adds an attempt to a request.
func (c *Cluster) newAttempt(now time.Duration, r *Request, endpoint policy.EndpointID) *attempt {
	a := &attempt{request: r, index: len(r.attempts), startedAt: now}
	a.endpoint, a.drain = endpoint, c.drainOf(endpoint)
	a.clock, a.onSend = c.clock, c.onSend
	a.sendAllowed, a.clientDisconnected = r.SendAllowed, r.ClientDisconnected
	a.dedupWindow = r.dedupWindow
	if a.index == 0 {
		r.attempts = r.firstAttempt[:0]
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	return a
}

// endpointReady reports whether the endpoint was ready when the attempt was made. An attempt whose endpoint was not is
// never started.
func (a *attempt) endpointReady() bool { return a.drain != nil }

// mayStart reports whether an attempt that the Balancer decided on is within the limits of its request.
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
// Request.inFlight counts that attempt already.
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

// setTimeout sets an attempt's timer to the shorter of the Balancer's timeout, where 0 is none, and the request's. None
// is set where the request's deadline comes first.
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

// exchange carries out an attempt, on a goroutine of its own.
func (c *Cluster) exchange(a *attempt, timeRemaining time.Duration) {
	a.result = c.exchanger.Exchange(&a.Call, a.endpoint, a.request.Payload, timeRemaining)
	if !c.post(exchangeReturned{a}) {
		closeAnswer(a.takeResult().Answer)
	}
}

// takeResult returns the result of the exchange and drops the attempt's reference to its answer.
func (a *attempt) takeResult() Result {
	result := a.result
	a.result = Result{}
	return result
}

// reportOutcome reports the first outcome of an attempt to the Balancer; later ones carry a late answer at most.
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
	c.forgetIfDone(r)
}

// closeAttempt takes an attempt out of what is in flight and stops it, unless its late answer is awaited.
func (c *Cluster) closeAttempt(now time.Duration, a *attempt, status policy.Status) {
	r := a.request
	a.reported = true
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
	if a.mayHaveRun(status) {
		r.ran = true
	} else if r.dedupWindow != nil {
		r.dedupWindow.neverRan(&a.Call)
	}
	c.timers.clear(&a.timeoutTimer)
}

// mayAnswerLate reports whether an attempt that ends with this status is one whose answer Request.OnLateAnswer wants.
func (a *attempt) mayAnswerLate(now time.Duration, status policy.Status) bool {
	r := a.request
	if r.OnLateAnswer == nil || r.served || !a.gate.passed() {
		return false
	}
	gaveUp := status == policy.Timeout || status == policy.Cancelled
	return gaveUp && (r.ended || now >= r.Deadline)
}

// takeLateAnswer passes on or closes the answer of an attempt whose outcome was reported before.
func (a *attempt) takeLateAnswer(result Result) {
	if a.awaitsLateAnswer && result.Status == policy.OK {
		go a.request.OnLateAnswer(result.Answer)
		return
	}
	closeAnswer(result.Answer)
}

// takeAnswer answers the request with a successful result, and stores the answer of another one as the fallback. The
// first successful answer to a request that has ended goes to OnLateAnswer.
func (c *Cluster) takeAnswer(a *attempt, result Result, servedBefore bool) {
	r := a.request
	switch {
	case r.ended && r.OnLateAnswer != nil && result.Status == policy.OK && !servedBefore:
		go r.OnLateAnswer(result.Answer)
	case r.ended:
		closeAnswer(result.Answer)
	case result.Status == policy.OK:
		c.sendAnswer(r, Answer{Verdict: Served, Value: result.Answer, From: Source{a.endpoint, a.drain}})
	case result.Answer != nil:
		r.fallbackAnswer = result.Answer
	}
}

// failIfNotResendable fails a request that can have no further attempt: its result is final, or its payload consumed.
func (c *Cluster) failIfNotResendable(r *Request, result Result) {
	if r.ended {
		return
	}
	payload, streaming := r.Payload.(StreamingPayload)
	if result.Final || streaming && payload.Consumed() {
		c.answerUnserved(r.id, Answer{Verdict: Failed})
	}
}

// answerIfSendForbidden ends a request whose only attempt was not sent because Request.SendAllowed forbids it. It is
// rejected, or fails if an earlier attempt may have run.
func (c *Cluster) answerIfSendForbidden(r *Request, result Result) {
	if r.ended || r.inFlight > 0 || result.Status != policy.NeverSent || r.SendAllowed == nil || r.SendAllowed() {
		return
	}
	verdict := Rejected
	if r.ran {
		verdict = Failed
	}
	c.answerUnserved(r.id, Answer{Verdict: verdict, RetryAfter: r.SendRetryAfter})
}

// mayHaveRun reports whether an attempt that ends with this status may have run at its endpoint.
func (a *attempt) mayHaveRun(status policy.Status) bool {
	switch status {
	case policy.Rejected, policy.ConnectFailed, policy.NeverSent:
		return false
	}
	return a.gate.passed()
}
