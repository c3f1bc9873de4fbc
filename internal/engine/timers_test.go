package engine

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Timers become due in the order of their times, and timers that were cleared do not become due.
func TestTimerHeap(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var h timerHeap
	var set []*timer
	for range 5000 {
		if rnd.IntN(3) > 0 || len(set) == 0 {
			added := &timer{at: time.Duration(rnd.IntN(1000))}
			h.set(added)
			set = append(set, added)
			continue
		}
		i := rnd.IntN(len(set))
		h.clear(set[i])
		h.clear(set[i])
		set = append(set[:i], set[i+1:]...)
	}
	last := time.Duration(-1)
	for range set {
		if h.due(h.next()-1) != nil {
			t.Fatal("due returned a timer before its time")
		}
		next := h.due(time.Hour)
		if next == nil || next.at < last {
			t.Fatalf("got the timer %+v after one at %v, want a timer at the same time or later", next, last)
		}
		last = next.at
	}
	if h.next() >= 0 || h.due(time.Hour) != nil {
		t.Error("the heap holds more timers than were set")
	}
}
