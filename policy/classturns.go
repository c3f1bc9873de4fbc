package policy

import (
	"slices"
	"time"
)

// Turns of classes: the queue is ordered by value for each unit of work, so that requests of a class that
// always has some in the queue would keep those of a class of less value from ever being sent. So a class
// gives way after maxClassRun requests in a row from the queue: the first queued request of another class
// is sent then. The inputs are the classes of the sends.

// maxClassRun is the number of queued requests of one class that are sent in a row while others wait.
const maxClassRun = 4

// classTurn counts the queued requests that were sent in a row.
type classTurn struct {
	class *class
	sent  int
}

// record records that a queued request was sent.
func (t *classTurn) record(r *request) {
	if r.class != t.class {
		t.class, t.sent = r.class, 0
	}
	t.sent++
}

// dispatchOtherClass sends the first queued request of another class if a class has to give way.
func (b *Balancer) dispatchOtherClass(now time.Duration) {
	if b.turn.sent < maxClassRun {
		return
	}
	i := slices.IndexFunc(b.queue, func(r *request) bool { return !r.done && r.class != b.turn.class })
	if i < 0 {
		return
	}
	r := b.queue[i]
	if e := b.pick(now, r); e != nil {
		b.queue = slices.Delete(b.queue, i, i+1)
		b.sendQueued(now, r, e)
	}
}

// sendQueued sends a request that was queued.
func (b *Balancer) sendQueued(now time.Duration, r *request, e *endpoint) {
	r.queued = false
	b.turn.record(r)
	b.send(now, r, e)
}
