package engine

import (
	"io"
	"time"

	"yokestall/policy"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The kinds of a final answer.
const (
	Served   Verdict = iota // an endpoint's answer; Answer.Value is what the Exchanger returned
	Rejected                // a retry of the request does no harm
	Failed                  // nothing is promised
)

// Answer is a request's final answer.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // for Rejected; 0: no advice
	Value      any           // for Served; else the latest answer of an endpoint, nil if there was none
	From       Source        // for Served
	MayHaveRun bool          // an attempt was sent, and nothing excludes that it ran
}

// Source is the endpoint that an answer came from, for what outlives the attempt, such as a stream.
type Source struct {
	Endpoint policy.EndpointID
	drain    *endpointDrain
}

// DrainingSince returns when, on the Clock, the engine was notified that the endpoint drains or was removed; false if
// it was not.
func (s Source) DrainingSince() (since time.Duration, draining bool) {
	if s.drain == nil {
		return 0, false
	}
	return s.drain.since()
}

// sendAnswer gives a request its final answer.
func (c *Cluster) sendAnswer(r *Request, a Answer) {
	c.endRequest(r)
	a.MayHaveRun = r.mayHaveRun()
	r.answer <- a
}

// answerUnserved gives a request that was not served its final answer, with the latest answer of an endpoint as its
// value. A request that has ended is left alone.
func (c *Cluster) answerUnserved(id policy.RequestID, a Answer) {
	r := c.requests[id]
	if r == nil || r.ended {
		return
	}
	a.Value = r.fallbackAnswer
	c.sendAnswer(r, a)
	c.deferred = append(c.deferred, requestAnswered{r})
}

// mayHaveRun reports whether an attempt was sent of which nothing excludes that it ran.
func (r *Request) mayHaveRun() bool {
	if r.ran {
		return true
	}
	for _, a := range r.attempts {
		if !a.reported && a.mayHaveRun(policy.Cancelled) {
			return true
		}
	}
	return false
}

// closeUnclaimedAnswer closes the answer of a request whose client disconnected at the same moment.
func (r *Request) closeUnclaimedAnswer() {
	select {
	case a := <-r.answer:
		closeAnswer(a.Value)
	default:
	}
}

// closeAnswer closes an answer that nobody receives.
func closeAnswer(answer any) {
	if c, ok := answer.(io.Closer); ok {
		c.Close()
	}
}
