// The calls of one poll. Overdue calls are hedged as in J. Dean and L. A. Barroso, "The Tail at Scale", CACM 56(2),
// 2013, but only once they are later than their wait allows.

package discovery

import "time"

// Poll schedules the calls of one poll: a long poll, and hedged calls beside it while it is overdue. The poll ends with
// the first response, or when all of its calls have failed. Create it with PollTiming.StartPoll.
type Poll struct {
	timing    PollTiming
	nextHedge time.Duration // when the next hedged call is due, since the start of the poll
	inFlight  int           // at most timing.MaxCalls
}

// StartPoll starts a poll with a call that asks the discovery service to wait for the given time. timeout is how long
// that call may take.
func (t PollTiming) StartPoll(wait time.Duration) (poll Poll, timeout time.Duration) {
	return Poll{timing: t, nextHedge: wait + t.OverdueAfter, inFlight: 1}, wait + t.AbandonAfter
}

// NextHedge returns when the next hedged call is due, as the time since the start of the poll.
func (p *Poll) NextHedge() time.Duration { return p.nextHedge }

// StartHedge reports whether to start a hedged call now: one is due and the calls in flight leave room for it. Where
// they do not, it is skipped until the next interval. elapsed is the time since the start of the poll.
func (p *Poll) StartHedge(elapsed time.Duration) bool {
	if elapsed < p.nextHedge {
		return false
	}
	p.nextHedge = elapsed + p.timing.HedgeInterval
	if p.inFlight == p.timing.MaxCalls {
		return false
	}
	p.inFlight++
	return true
}

// CallFailed records that a call failed, and reports whether it was the last one in flight.
func (p *Poll) CallFailed() (last bool) {
	p.inFlight--
	return p.inFlight == 0
}
