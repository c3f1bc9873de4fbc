package policy

import (
	"slices"
	"time"
)

// Admission: which requests wait for capacity, in which order they are sent, and which are shed. A request
// that cannot be sent at once waits in a queue, ordered by weight for the expected work. Its inputs are
// weights, expected latencies, deadlines and the requests in flight. Load is shed early: a request that can
// probably no longer be answered within its objective is given up while the client can still try elsewhere.
// What stands ahead of it in the queue is served at the pace at which answers free capacity (Little's law,
// 1961).

const (
	// shedMargin is the multiple of the expected latency that must fit before the objective deadline.
	shedMargin = 2
	// shedMarginUnknown is the same multiple for a class with fewer than minLatencySamples answers.
	shedMarginUnknown = 1
	// shedMarginManyNodes is the same multiple among many nodes, where other nodes' queues are not seen.
	shedMarginManyNodes = 2.5
	// unsettledPaceFactor divides the time between answers while the concurrency limit still grows, or is
	// exceeded by chance among many nodes.
	unsettledPaceFactor = 2
	// retryAfterDivisor gives the Retry-After of a rejection: the latency objective divided by this.
	retryAfterDivisor = 2
)

// precedes reports whether the request is sent before another: by the weight for its expected work, then by
// the earlier objective deadline.
func (r *request) precedes(other *request) bool {
	x, y := r.weight/r.class.queueCost, other.weight/other.class.queueCost
	return x > y || (x == y && r.objectiveDeadline < other.objectiveDeadline)
}

// enqueue puts a request into the queue, behind those of the same order.
func (b *Balancer) enqueue(r *request) {
	low, high := 0, len(b.queue)
	for low < high {
		if mid := (low + high) / 2; r.precedes(b.queue[mid]) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	b.queue = slices.Insert(b.queue, low, r)
	r.queued = true
}

// dispatch sends queued requests while there is capacity. It gives all of them up when every breaker is open
// and no trial is due. Once a request without attempts finds no capacity, none behind it is tried.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue) == 0 {
		return
	}
	b.refresh(now)
	waiting, full := b.queue[:0], false
	for _, r := range b.queue {
		var e *endpoint
		if !r.done && !full {
			e = b.pick(now, r)
		}
		switch {
		case r.done:
		case e != nil:
			r.queued = false
			b.send(now, r, e)
		case b.health.closedBreakers+b.health.awaitingTrial == 0:
			r.queued = false
			b.giveUp(r)
		default:
			waiting = append(waiting, r)
			full = full || len(r.attempts) == 0 // one with attempts may only lack an endpoint in its scope
		}
	}
	b.queue = waiting
}

// shed gives up the queued requests that can no longer be sent, or not be answered in time.
func (b *Balancer) shed(now time.Duration) {
	wait, pace := 0.0, b.nanosPerAnswer()
	b.queue = slices.DeleteFunc(b.queue, func(r *request) bool {
		need := b.requiredMargin(r) * float64(b.expectedLatency(r))
		if r.class.latencySamples >= minLatencySamples { // else the wait is a guess as well
			need += wait
		}
		if r.done || now+time.Duration(need) <= r.objectiveDeadline && !r.barredFrom(now) {
			wait += pace
			return false // dispatch drops those that are done
		}
		r.queued = false
		b.giveUp(r)
		return true
	})
}

// requiredMargin returns the multiple of the expected latency that must fit for a request to stay queued.
func (b *Balancer) requiredMargin(r *request) float64 {
	if b.manyNodes() {
		return shedMarginManyNodes
	}
	if r.class.latencySamples < minLatencySamples {
		return shedMarginUnknown
	}
	return shedMargin
}

// nanosPerAnswer returns the expected time from one answer to the next, in nanoseconds.
func (b *Balancer) nanosPerAnswer() float64 {
	pace := b.typicalLatency / max(1, float64(b.concurrency.inFlight)) * float64(time.Second)
	if !b.concurrency.saturated || b.manyNodes() {
		pace /= unsettledPaceFactor
	}
	return pace
}

// giveUp ends a request without an answer: by a rejection where its promise holds, else as failed.
func (b *Balancer) giveUp(r *request) {
	if r.mayReject() {
		b.host.Reject(r.ID, min(r.class.LatencyObjective/retryAfterDivisor, b.settings.Limits.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(r)
}
