package fleetsim

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Duration
	seq uint64 // order among events with the same time
	run func()
}

// eventQueue is a heap of events with the earliest first. Events with the same time are in the order of scheduling.
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
	(*q)[last] = event{} // lets the garbage collector free the closure run
	*q = (*q)[:last]
	return e
}

// schedule adds an event that runs a function at the given virtual time.
func (s *simulation) schedule(at time.Duration, run func()) {
	heap.Push(&s.queue, event{at: at, seq: s.nextSeq(), run: run})
}

// nextSeq returns a sequence number that is larger than all previous ones.
func (s *simulation) nextSeq() uint64 {
	s.lastSeq++
	return s.lastSeq
}

// networkDelay returns the random one-way delay of a message.
func (s *simulation) networkDelay() time.Duration {
	minDelay := s.scenario.NetworkDelay
	return minDelay + time.Duration(s.rng.Int64N(int64(minDelay)/2+1))
}
