package engine

import (
	"io"
	"time"

	"yokestall/policy"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts of final answers.
const (
	Served   Verdict = iota // an attempt succeeded; Answer.Value is the answer that its Exchanger returned
	Rejected                // the request can be retried without harm
	Failed                  // the request was not served; it may or may not have run
)

// Answer is a request's final answer.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // for Rejected: how long the client should wait before a retry; 0 means no advice
	Value      any           // for Served: the answer; else an answer of an endpoint (see fallback), nil if there is none
	From       Source        // for Served: the endpoint that answered
	MayHaveRun bool          // an attempt was sent and may have run at its endpoint
	Sent       bool          // an attempt was sent to an endpoint
	Attempts   []string      // unless Served: how each attempt ended, or that it was in flight
}

// Source is the endpoint that an answer came from. It lets users that outlive the attempt, such as streams, observe the
// endpoint's drain.
type Source struct {
	Endpoint policy.EndpointID
	drain    *endpointDrain
}

// DrainingSince returns the time on the Clock at which the engine was notified that the endpoint drains or was removed.
// draining is false if there was no such notice.
func (s Source) DrainingSince() (since time.Duration, draining bool) {
	if s.drain == nil {
		return 0, false
	}
	return s.drain.since()
}

// sendAnswer ends a request and gives it its final answer.
func (c *Cluster) sendAnswer(r *Request, a Answer) {
	c.endRequest(r)
	r.fallback.close()
	a.MayHaveRun, a.Sent = r.mayHaveRun(nil), r.sent()
	if a.Verdict != Served {
		a.Attempts = r.attemptResults()
	}
	r.answer <- a
}

// attemptResults returns how each attempt of the request has ended.
func (r *Request) attemptResults() (results []string) {
	for _, a := range r.attempts {
		switch {
		case a.reported && a.stalled.Load():
			results = append(results, a.status.String()+" after a pause")
		case a.reported:
			results = append(results, a.status.String())
		default:
			results = append(results, "in flight")
		}
	}
	return results
}

// answerUnserved gives a request that was not served its final answer, with an endpoint's answer as its value if there
// is one that the client may get. It has no effect on a request that has ended.
func (c *Cluster) answerUnserved(id policy.RequestID, a Answer) {
	r := c.requests[id]
	if r == nil || r.ended {
		return
	}
	c.endRequest(r) // no attempt may be sent between the choice of the value and the answer
	a.Value = r.fallback.take(r.mayHaveRun(nil), c.repeatIsHarmless(r))
	c.sendAnswer(r, a)
	c.deferred = append(c.deferred, requestAnswered{r})
}

// answerServed gives a request the answer of a successful attempt. The request fails instead if the answer is a refusal
// and another attempt may have run, unless a repeat is harmless.
func (c *Cluster) answerServed(a *attempt, answer any) {
	r := a.request
	c.endRequest(r) // no attempt may be sent between the check and the answer
	if isRefusal(answer) && r.mayHaveRun(a) && !c.repeatIsHarmless(r) {
		closeAnswer(answer)
		c.sendAnswer(r, Answer{Verdict: Failed})
		return
	}
	c.sendAnswer(r, Answer{Verdict: Served, Value: answer, From: Source{a.endpoint, a.drain}})
}

// repeatIsHarmless reports whether the client may repeat the request without harm even if an attempt may have run.
func (c *Cluster) repeatIsHarmless(r *Request) bool {
	return r.Class >= 0 && r.Class < len(c.classes) && c.classes[r.Class].RepeatIsHarmless()
}

// mayHaveRun reports whether an attempt of the request other than except was sent and may have run at its endpoint.
func (r *Request) mayHaveRun(except *attempt) bool {
	for _, a := range r.attempts {
		if a != except && a.mayHaveRun() {
			return true
		}
	}
	return false
}

// sent reports whether an attempt of the request was sent.
func (r *Request) sent() bool {
	for _, a := range r.attempts {
		if a.gate.passed() {
			return true
		}
	}
	return false
}

// closeUnclaimedAnswer closes the final answer of a request whose client disconnected before Do received the answer.
func (r *Request) closeUnclaimedAnswer() {
	select {
	case a := <-r.answer:
		closeAnswer(a.Value)
	default:
	}
}

// closeAnswer closes an answer that is passed to nobody, if it is an io.Closer.
func closeAnswer(answer any) {
	if c, ok := answer.(io.Closer); ok {
		c.Close()
	}
}
