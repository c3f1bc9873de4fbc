package engine

import "time"

// run handles events and timers until the context ends.
func (c *Cluster) run() {
	defer c.discardEvents() // after ended is closed: see post
	defer close(c.ended)
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	armed := time.Duration(-1) // the time that wakeup is set to; below 0: not set
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

// arm sets the loop's wake-up to a time on the clock; below 0: to none.
func (c *Cluster) arm(wakeup *time.Timer, at time.Duration) {
	if at < 0 {
		wakeup.Stop()
		return
	}
	wakeup.Reset(max(0, at-c.clock.Now()))
}

// expireTimers handles the timers that are due now. Those that become due meanwhile are handled in the loop's next
// round, which follows at once.
func (c *Cluster) expireTimers() {
	now := c.clock.Now()
	for t := c.timers.due(now); t != nil; t = c.timers.due(now) {
		t.expiry.expire(c, now)
	}
}

// handle applies an event, and then those that the Balancer's calls raised: the Balancer must not be called from
// within its own calls.
func (c *Cluster) handle(now time.Duration, e event) {
	e.apply(c, now)
	for i := 0; i < len(c.deferred); i++ { // each may raise more
		c.deferred[i].apply(c, c.clock.Now())
	}
	clear(c.deferred)
	c.deferred = c.deferred[:0]
}

// post sends the loop an event; false if the loop has ended.
func (c *Cluster) post(e event) bool {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
		return false
	}
	select {
	case <-c.ended: // the loop may have ended before it took the event
		c.discardEvents()
	default:
	}
	return true
}

// runOnLoop runs a function on the loop's goroutine, without waiting for it; false if the loop has ended.
func (c *Cluster) runOnLoop(f func()) bool { return c.post(functionCall(f)) }

// stopAttempts stops all that is in flight.
func (c *Cluster) stopAttempts() {
	for _, r := range c.requests {
		for _, a := range r.attempts {
			a.Stop()
		}
	}
}

// discardEvents empties the queue of a loop that has ended, and closes the answers in it.
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
