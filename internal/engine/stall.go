package engine

import (
	"time"

	"yokestall/policy"
)

// stallObserver is told of the pauses of an attempt's answer.
type stallObserver interface {
	answerStalled()
	answerResumed()
}

// ReportStall reports that the attempt's answer has begun and has paused. The Balancer then decides whether the request
// gets a further attempt beside this one, or instead of it if the pause goes on; in the latter case, the call is stopped.
// ReportStall does not wait for the decision. It returns false for a standalone call, whose Exchanger has to end the attempt
// by itself.
func (c *Call) ReportStall() (continues bool) {
	if c.stalls == nil {
		return false
	}
	c.stalled.Store(true)
	c.stalls.answerStalled()
	return true
}

// ReportProgress reports that data of the attempt's answer has arrived. It costs little unless it ends a pause.
func (c *Call) ReportProgress() {
	if c.stalls != nil && c.stalled.CompareAndSwap(true, false) {
		c.stalls.answerResumed()
	}
}

var _ stallObserver = (*attempt)(nil)

// answerStalled implements stallObserver.
func (a *attempt) answerStalled() { a.cluster.post(answerStalled{a}) }

// answerResumed implements stallObserver.
func (a *attempt) answerResumed() { a.cluster.post(answerResumed{a}) }

// answerStalled reports that the answer of an attempt has begun and has paused.
type answerStalled struct{ attempt *attempt }

// apply implements event. A request whose body is still passed on has one attempt at a time, and none after the body's
// beginning was dropped, so that its attempt is left to wait.
func (e answerStalled) apply(c *Cluster, now time.Duration) {
	a := e.attempt
	if a.reported || a.request.ended || a.request.passedOn != nil || !a.stalled.Load() {
		return
	}
	if payload, ok := a.request.Payload.(StreamingPayload); ok && payload.Streaming() {
		return
	}
	replaceAt, replace := c.balancer.AnswerStalled(now, a.request.id, a.index, a.progress())
	c.timers.clear(&a.stallTimer)
	switch {
	case !replace:
	case replaceAt <= now:
		c.reportOutcome(now, a, Result{Status: policy.ErrorResponse})
	default:
		a.stallTimer = timer{at: replaceAt, expiry: stallTimeout(e)}
		c.timers.set(&a.stallTimer)
	}
}

// stallTimeout is the expiry of attempt.stallTimer. It has the Balancer decide again.
type stallTimeout struct{ attempt *attempt }

func (t stallTimeout) expire(c *Cluster, now time.Duration) { c.handle(now, answerStalled(t)) }

// answerResumed reports that an answer goes on after a pause that was reported by answerStalled.
type answerResumed struct{ attempt *attempt }

// apply implements event.
func (e answerResumed) apply(c *Cluster, _ time.Duration) {
	a := e.attempt
	c.timers.clear(&a.stallTimer)
	if !a.reported {
		c.balancer.AnswerResumed(a.request.id, a.index)
	}
}
