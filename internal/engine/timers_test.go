package engine

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Timers come out in the order of their times, and those that were cleared do not.
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
			t.Fatal("due before its time")
		}
		next := h.due(time.Hour)
		if next == nil || next.at < last {
			t.Fatalf("%+v after %v", next, last)
		}
		last = next.at
	}
	if h.next() >= 0 || h.due(time.Hour) != nil {
		t.Error("more timers than were set")
	}
}
