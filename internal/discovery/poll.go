// The calls of one poll. Calls are hedged as in J. Dean and L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013, but
// only once they are overdue: a long poll is expected to take as long as it asks the discovery service to wait.

package discovery

import "time"

// Poll schedules the calls of one poll: a long poll, and hedged calls in addition while the long poll is overdue. The
// poll ends with the first response, or when all of its calls have failed. Create a Poll with PollTiming.StartPoll.
type Poll struct {
	timing    PollTiming
	nextHedge time.Duration // when the next hedged call is due, since the start of the poll
	inFlight  int           // calls in flight, at most timing.MaxCalls
}

// StartPoll starts a poll whose first call asks the discovery service to wait up to the given time for a change. A wait
// of 0 asks for an immediate response. timeout is the timeout of that call.
func (t PollTiming) StartPoll(wait time.Duration) (poll Poll, timeout time.Duration) {
	return Poll{timing: t, nextHedge: wait + t.OverdueAfter, inFlight: 1}, wait + t.AbandonAfter
}

// NextHedge returns when the next hedged call is due, as the time since the start of the poll.
func (p *Poll) NextHedge() time.Duration { return p.nextHedge }

// StartHedge reports whether to start a hedged call now, and then counts the call as in flight. It reports false if no
// hedged call is due. If one is due while MaxCalls calls are in flight, that call is skipped, and the next one is due
// after HedgeInterval. elapsed is the time since the start of the poll.
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

// CallFailed records that a call failed, and reports whether it was the last call in flight, which ends the poll.
func (p *Poll) CallFailed() (last bool) {
	p.inFlight--
	return p.inFlight == 0
}
