package engine

import (
	"time"

	"yokestall/policy"
)

// This file passes on answers that have begun when their request's deadline comes. Exchangers buffer an answer of unknown
// length as long as another attempt may replace it, and report what has come (Call.ReportBody). Shortly before the deadline,
// the Balancer chooses the attempt whose answer is passed on (policy.Balancer.AnswerDue), and its Exchanger returns what it
// has, as an answer that goes on.

// passOnTimeout is how long after the deadline an Exchanger may return an answer that it was told to pass on. A final answer
// counts up to half a second after the deadline.
const passOnTimeout = 250 * time.Millisecond

// ReportBody reports that n bytes have arrived of the body of an answer that the Exchanger can pass on before its end.
func (c *Call) ReportBody(n int) {
	if c.standalone() {
		return
	}
	c.bodyLastAt.Store(int64(c.clock.Now()))
	c.bodyBytes.Add(int64(n))
}

// OnPassOn runs f when the answer is to be passed on, before PassOnRequested returns true to others. f must not block. With
// nil, no function runs any more when OnPassOn has returned.
func (c *Call) OnPassOn(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onPassOn = f
}

// PassOnRequested reports whether the answer is to be passed on although it has not ended.
func (c *Call) PassOnRequested() bool { return c.passOnRequested.Load() }

// passOn has the Exchanger pass on the answer.
func (c *Call) passOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passOnRequested.Store(true)
	if c.onPassOn != nil {
		c.onPassOn()
	}
}

// progress returns what has come of the answer.
func (c *Call) progress() policy.AnswerProgress {
	return policy.AnswerProgress{Bytes: c.bodyBytes.Load(), LastAt: time.Duration(c.bodyLastAt.Load())}
}

// answerDue has the Balancer choose, once, the attempt whose answer is passed on.
func (c *Cluster) answerDue(now time.Duration, r *Request) {
	if r.dueHandled || r.ended {
		return
	}
	r.dueHandled = true
	progress := make([]policy.AnswerProgress, len(r.attempts))
	for i, a := range r.attempts {
		if !a.reported {
			progress[i] = a.progress()
		}
	}
	if index, passOn := c.balancer.AnswerDue(now, r.id, progress); passOn {
		r.passedOn = r.attempts[index]
		r.passedOn.passOn()
	}
}

// awaitsPassedOn reports whether the request waits for the Exchanger of an answer that is to be passed on.
func (r *Request) awaitsPassedOn(now time.Duration) bool {
	return r.passedOn != nil && !r.passedOn.reported && now < r.Deadline+passOnTimeout
}
