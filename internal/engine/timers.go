package engine

import "time"

// timer is one time that the loop waits for.
type timer struct {
	at       time.Duration // on the Clock
	position int           // in the heap, from 1; 0: not set
	expiry   expiry
}

// expiry is what happens at a timer's time: a requestDeadline, an attemptTimeout or a balancerTimer.
type expiry interface {
	// expire runs on the loop's goroutine, with the timer taken out of the heap. It handles events of its own.
	expire(c *Cluster, now time.Duration)
}

// timerHeap is a binary heap of timers, the next one first. A timer is taken out when its request or attempt ends, so
// that the size is bounded by what is open.
type timerHeap struct{ timers []*timer }

// next returns the time of the next timer, below 0 if none is set.
func (h *timerHeap) next() time.Duration {
	if len(h.timers) == 0 {
		return -1
	}
	return h.timers[0].at
}

// due takes out the next timer if its time has come, and returns nil otherwise.
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

// clear takes a timer out; one that is not set stays so.
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
