package fleetsim

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64 // orders events of the same time
	run func()
}

// eventQueue is a heap of events, the earliest first. Of events at one time, that scheduled first comes first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{} // frees what run refers to
	*q = (*q)[:last]
	return e
}

// schedule runs a function at a virtual time.
func (s *simulation) schedule(at time.Duration, run func()) {
	heap.Push(&s.queue, event{at: at, seq: s.nextSeq(), run: run})
}

// nextSeq returns a number that is larger than all before.
func (s *simulation) nextSeq() uint64 {
	s.lastSeq++
	return s.lastSeq
}

// networkDelay draws the delay of a message.
func (s *simulation) networkDelay() time.Duration {
	least := s.scenario.NetworkDelay
	return least + time.Duration(s.rng.Int64N(int64(least)/2+1))
}
