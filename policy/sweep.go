package policy

import (
	"math"
	"time"
)

// Sweeps: the periodic work on open requests. While there are any, a sweep runs every sweepInterval, and when
// a client's time is up: the answer may be due sooner after that than an interval. It sheds, detects
// unresponsive attempts, ends backoffs, and gives up at the deadline.

// sweepInterval is the longest time between two sweeps.
const sweepInterval = 10 * time.Millisecond

// The tokens of the timers.
const (
	tokenSweep uint64 = iota
	tokenPoll
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// sweepBy schedules the next sweep for the given time at the latest.
func (b *Balancer) sweepBy(at time.Duration) {
	if at < b.sweepAt {
		b.sweepAt = at
		b.host.SetTimer(at, tokenSweep)
	}
}

// sweep does what is due for the queue and for every open request.
func (b *Balancer) sweep(now time.Duration) {
	b.refresh(now)
	b.shed(now)
	next := now + sweepInterval
	for i := len(b.openRequests) - 1; i >= 0; i-- { // release moves the last one here, which was visited
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
