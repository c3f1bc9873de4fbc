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
	Value      any           // for Served: the answer; else the latest answer of an endpoint, nil if there was none
	From       Source        // for Served: the endpoint that answered
	MayHaveRun bool          // an attempt was sent and may have run at its endpoint
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
	a.MayHaveRun = r.mayHaveRun()
	r.answer <- a
}

// answerUnserved gives a request that was not served its final answer, with the latest answer of an endpoint as its
// value. It has no effect on a request that has ended.
func (c *Cluster) answerUnserved(id policy.RequestID, a Answer) {
	r := c.requests[id]
	if r == nil || r.ended {
		return
	}
	a.Value = r.fallbackAnswer
	c.sendAnswer(r, a)
	c.deferred = append(c.deferred, requestAnswered{r})
}

// mayHaveRun reports whether an attempt of the request was sent and may have run at its endpoint.
func (r *Request) mayHaveRun() bool {
	if r.attemptMayHaveRun {
		return true
	}
	for _, a := range r.attempts {
		if !a.reported && a.mayHaveRun(policy.Cancelled) {
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
