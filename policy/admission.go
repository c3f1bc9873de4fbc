package policy

import (
	"slices"
	"time"
)

// Admission control decides which requests wait for capacity, in which order they are sent, and which are
// shed. A request that cannot be sent at once waits in a queue that is ordered by the request's weight
// divided by the mean latency of its class (class.queueCost). The inputs are weights, expected latencies,
// deadlines and the requests in flight. Load is shed early: a request that can probably no longer be
// answered within its objective is given up while the client can still try elsewhere. The waiting time of a
// queued request is estimated from the number of requests ahead of it and the rate at which answers free
// capacity (Little's law, 1961).

const (
	// shedMargin is the multiple of the expected latency that must be left before the objective deadline
	// for a request to stay queued.
	shedMargin = 2
	// shedMarginUnknown replaces shedMargin for a class with fewer than minLatencySamples answers.
	shedMarginUnknown = 1
	// shedMarginManyNodes replaces shedMargin among many nodes (Balancer.manyNodes), where this node does
	// not see the queues of the others.
	shedMarginManyNodes = 2.5
	// unsettledDivisor divides the expected time between answers until endpoints are saturated for the
	// first time, because the concurrency limit still grows quickly, and always among many nodes, where the
	// requests in flight may exceed the limit by chance.
	unsettledDivisor = 2
	// retryAfterDivisor determines the Retry-After of a rejection: the latency objective divided by
	// retryAfterDivisor.
	retryAfterDivisor = 2
)

// precedes reports whether the request is sent before another one. The request with the higher weight
// divided by class.queueCost comes first; at equal values the one with the earlier objective deadline does.
func (r *request) precedes(other *request) bool {
	x, y := r.weight/r.class.queueCost, other.weight/other.class.queueCost
	return x > y || (x == y && r.objectiveDeadline < other.objectiveDeadline)
}

// enqueue inserts a request into the queue, behind the requests of equal rank.
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

// dispatch sends queued requests while there is capacity. It gives up every queued request when no breaker
// in the subset is closed and no half-open endpoint awaits a trial request. Once a request without attempts
// finds no capacity, dispatch does not try the requests behind it.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue) == 0 {
		return
	}
	b.refresh(now)
	b.dispatchOtherClass(now)
	waiting, capacityExhausted := b.queue[:0], false
	for _, r := range b.queue {
		var e *endpoint
		if !r.done && !capacityExhausted {
			e = b.pick(now, r)
		}
		switch {
		case r.done:
		case e != nil:
			b.sendQueued(now, r, e)
		case b.health.closedBreakers+b.health.awaitingTrial == 0:
			r.queued = false
			b.giveUp(r)
		default:
			waiting = append(waiting, r)
			// A request with attempts may merely lack an endpoint that it may still be sent to.
			capacityExhausted = capacityExhausted || len(r.attempts) == 0
		}
	}
	b.queue = waiting
}

// shed gives up the queued requests that may no longer be sent or can probably not be answered within their
// objective.
func (b *Balancer) shed(now time.Duration) {
	wait, perAnswer := 0.0, b.nanosPerAnswer()
	b.queue = slices.DeleteFunc(b.queue, func(r *request) bool {
		need := b.requiredMargin(r) * float64(b.expectedLatency(r))
		// While the class's mean latency is a guess, the wait behind other requests is not counted.
		if r.class.latencySamples >= minLatencySamples {
			need += wait
		}
		if r.done || now+time.Duration(need) <= r.objectiveDeadline && !r.barredFrom(now) {
			wait += perAnswer
			return false // dispatch drops the requests that are done
		}
		r.queued = false
		b.giveUp(r)
		return true
	})
}

// requiredMargin returns the multiple of the expected latency that must be left before the objective deadline
// for a request to stay queued.
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
	perAnswer := b.typicalLatency / max(1, float64(b.concurrency.inFlight)) * float64(time.Second)
	if !b.concurrency.saturated || b.manyNodes() {
		perAnswer /= unsettledDivisor
	}
	return perAnswer
}

// giveUp ends a request without an answer from an endpoint. The request is rejected if a rejection may
// promise that the client can repeat it without harm; otherwise it fails.
func (b *Balancer) giveUp(r *request) {
	if r.mayReject() {
		b.host.Reject(r.ID, min(r.class.LatencyObjective/retryAfterDivisor, b.settings.Limits.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(r)
}
