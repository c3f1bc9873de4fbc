package engine

import "time"

// timer is a timer of the loop.
type timer struct {
	at       time.Duration // expiration time on the Clock
	position int           // position in the timerHeap, counted from 1; 0 if the timer is not set
	expiry   expiry
}

// expiry is the action of a timer: a requestDeadline, an attemptTimeout or a balancerTimer.
type expiry interface {
	// expire runs on the loop's goroutine, after the timer was removed from the heap. It calls Cluster.handle for the
	// events that it causes.
	expire(c *Cluster, now time.Duration)
}

// timerHeap is a binary heap of timers with the earliest timer first. The timer of a request or an attempt is removed when
// its request or attempt ends, so that the number of these timers is bounded by the open requests and attempts.
type timerHeap struct{ timers []*timer }

// next returns the time of the earliest timer, or a negative value if no timer is set.
func (h *timerHeap) next() time.Duration {
	if len(h.timers) == 0 {
		return -1
	}
	return h.timers[0].at
}

// due removes and returns the earliest timer if its time has come, and returns nil otherwise.
func (h *timerHeap) due(now time.Duration) *timer {
	if len(h.timers) == 0 || h.timers[0].at > now {
		return nil
	}
	t := h.timers[0]
	h.clear(t)
	return t
}

// set adds a timer that is not set.
func (h *timerHeap) set(t *timer) {
	h.timers = append(h.timers, t)
	t.position = len(h.timers)
	h.up(t.position - 1)
}

// clear removes a timer. It has no effect on a timer that is not set.
func (h *timerHeap) clear(t *timer) {
	if t.position == 0 {
		return
	}
	i, last := t.position-1, len(h.timers)-1
	h.swap(i, last)
	h.timers[last] = nil
	h.timers = h.timers[:last]
	t.position = 0
	if i < last {
		h.up(i)
		h.down(i)
	}
}

func (h *timerHeap) swap(i, j int) {
	h.timers[i], h.timers[j] = h.timers[j], h.timers[i]
	h.timers[i].position, h.timers[j].position = i+1, j+1
}

func (h *timerHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if h.timers[parent].at <= h.timers[i].at {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *timerHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.timers) {
			return
		}
		if child+1 < len(h.timers) && h.timers[child+1].at < h.timers[child].at {
			child++
		}
		if h.timers[i].at <= h.timers[child].at {
			return
		}
		h.swap(i, child)
		i = child
	}
}
