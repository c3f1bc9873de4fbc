package policy

import (
	"math"
	"time"
)

// A sweep is the periodic work on open requests. While there are open requests, a sweep runs every
// sweepInterval. A sweep also runs at the deadline of a request without attempts in flight, since its final
// answer may be due before the next regular sweep. A sweep sheds queued requests, detects unresponsive
// attempts, ends backoffs, and gives up requests at their deadline.

// sweepInterval is the longest time between two sweeps while there are open requests.
const sweepInterval = 10 * time.Millisecond

// The tokens of Host.SetTimer and Balancer.Timer.
const (
	tokenSweep uint64 = iota
	tokenPoll
)

// never is a time later than all others.
const never = time.Duration(math.MaxInt64)

// sweepBy schedules a sweep for the given time unless an earlier one is scheduled.
func (b *Balancer) sweepBy(at time.Duration) {
	if at < b.sweepAt {
		b.sweepAt = at
		b.host.SetTimer(at, tokenSweep)
	}
}

// sweep sheds queued requests, handles every open request, dispatches the queue and schedules the next sweep.
func (b *Balancer) sweep(now time.Duration) {
	b.refresh(now)
	b.shed(now)
	next := now + sweepInterval
	for i := len(b.openRequests) - 1; i >= 0; i-- { // giveUp may move the last request, already handled, to i
		r := b.openRequests[i]
		switch {
		case r.streaming:
		case r.inFlight > 0:
			b.detectUnresponsive(now, r)
		case now >= r.deadline:
			b.giveUp(r)
		case r.retryAt > 0 && now >= r.retryAt:
			r.retryAt = 0
			b.enqueue(r)
		}
		if !r.done && r.inFlight == 0 {
			next = min(next, r.deadline)
		}
	}
	b.dispatch(now)
	if len(b.openRequests) > 0 {
		b.sweepBy(next)
	}
}
