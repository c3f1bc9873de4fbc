package engine

import "time"

// run handles events and timers until the cluster's context ends.
func (c *Cluster) run() {
	defer c.discardEvents() // must run after ended is closed, see post
	defer close(c.ended)
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	armed := time.Duration(-1) // the time on the Clock that wakeup is set to; negative if wakeup is not set
	for {
		if next := c.timers.next(); next != armed {
			armed = next
			c.arm(wakeup, next)
		}
		select {
		case <-c.ctx.Done():
			c.stopAttempts()
			return
		case e := <-c.events:
			c.handle(c.clock.Now(), e)
		case <-wakeup.C:
			armed = -1
		}
		c.expireTimers()
	}
}

// arm sets the loop's wake-up timer to a time on the Clock, or stops the timer if at is negative.
func (c *Cluster) arm(wakeup *time.Timer, at time.Duration) {
	if at < 0 {
		wakeup.Stop()
		return
	}
	wakeup.Reset(max(0, at-c.clock.Now()))
}

// expireTimers handles the timers that are due now. Timers that become due while it runs are handled in the loop's next
// iteration, which follows at once.
func (c *Cluster) expireTimers() {
	now := c.clock.Now()
	for t := c.timers.due(now); t != nil; t = c.timers.due(now) {
		t.expiry.expire(c, now)
	}
}

// handle applies an event, and then the events that were deferred meanwhile because the Balancer must not be called from
// within its own calls of policy.Host.
func (c *Cluster) handle(now time.Duration, e event) {
	e.apply(c, now)
	for i := 0; i < len(c.deferred); i++ { // a deferred event may defer further events
		c.deferred[i].apply(c, c.clock.Now())
	}
	clear(c.deferred)
	c.deferred = c.deferred[:0]
}

// post sends an event to the loop. It returns false if the cluster's context has ended, so that the loop does not take
// the event.
func (c *Cluster) post(e event) bool {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
		return false
	}
	select {
	case <-c.ended: // the loop may have ended without taking the event
		c.discardEvents()
	default:
	}
	return true
}

// runOnLoop has f run on the loop's goroutine and does not wait for it. It returns false if the cluster's context has
// ended.
func (c *Cluster) runOnLoop(f func()) bool { return c.post(functionCall(f)) }

// stopAttempts stops all attempts of the requests that the cluster still tracks.
func (c *Cluster) stopAttempts() {
	for _, r := range c.requests {
		for _, a := range r.attempts {
			a.Stop()
		}
	}
}

// discardEvents empties the event queue of a loop that has ended and closes the answers that the queue held.
func (c *Cluster) discardEvents() {
	for {
		select {
		case e := <-c.events:
			switch e := e.(type) {
			case exchangeReturned:
				closeAnswer(e.attempt.takeResult().Answer)
			case clientDisconnected:
				e.request.closeUnclaimedAnswer()
			}
		default:
			return
		}
	}
}
