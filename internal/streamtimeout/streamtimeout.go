// Package streamtimeout decides how long answers that go on as streams, and upgraded connections,
// may live once their attempt is over. It is pure: time is passed in, and what has to end is
// handed out.
//
// An attempt ends with the head of its answer; the drain rule speaks of new work and leaves it
// alone. But an event stream lives for hours, and a server that waits for its last one would
// never be gone. So a stream has a bound of its own behind word that its server drains.
package streamtimeout

import (
	"container/heap"
	"time"
)

// Limits of a stream, by its request's class; 0: none.
type Limits struct {
	MaxDuration  time.Duration // from the head of the answer
	DrainTimeout time.Duration // from word that the server drains or is gone
}

// Cause is why a stream has to end.
type Cause uint8

// The causes.
const (
	MaxDurationExceeded Cause = iota // Limits.Whole
	EndpointDrained                  // Limits.Drain
)

func (c Cause) String() string { return [...]string{"its time is over", "its server drains"}[c] }

// Stream is an open one.
type Stream struct {
	Owner     any // whoever opened it
	endpoint  uint64
	limits    Limits
	due       time.Duration
	cause     Cause
	heapIndex int // in the heap; -1: it has no due time
	open      bool
}

// Table holds the open streams. Its size is what the fronts' bounds on requests let in; it
// holds nothing of servers that have no stream. Create it with New.
type Table struct {
	byEndpoint map[uint64]map[*Stream]struct{}
	dueHeap    streamHeap
	count      int
}

// New makes an empty table.
func New() *Table { return &Table{byEndpoint: map[uint64]map[*Stream]struct{}{}} }

// Open takes in a stream from a server. The caller looks afterwards whether word of the server's
// drain had come already, and tells Drain of it again if so: whichever comes first, none is missed.
func (t *Table) Open(now time.Duration, server uint64, l Limits, owner any) *Stream {
	s := &Stream{Owner: owner, endpoint: server, limits: l, heapIndex: -1, open: true}
	of := t.byEndpoint[server]
	if of == nil {
		of = map[*Stream]struct{}{}
		t.byEndpoint[server] = of
	}
	of[s] = struct{}{}
	t.count++
	if l.MaxDuration > 0 {
		t.setDue(s, now+l.MaxDuration, MaxDurationExceeded)
	}
	return s
}

// DrainEndpoint notes that a server has drained, or is gone, since a time. Word that comes again
// changes nothing: the first counts.
func (t *Table) DrainEndpoint(since time.Duration, server uint64) {
	for s := range t.byEndpoint[server] {
		if s.limits.DrainTimeout > 0 {
			t.setDue(s, since+s.limits.DrainTimeout, EndpointDrained)
		}
	}
}

// setDue has a stream setDue at a time, unless it ends before that.
func (t *Table) setDue(s *Stream, at time.Duration, why Cause) {
	if s.heapIndex >= 0 && s.due <= at {
		return
	}
	s.due, s.cause = at, why
	if s.heapIndex >= 0 {
		heap.Fix(&t.dueHeap, s.heapIndex)
		return
	}
	heap.Push(&t.dueHeap, s)
}

// Close forgets a stream; again: nothing.
func (t *Table) Close(s *Stream) {
	if !s.open {
		return
	}
	s.open = false
	t.count--
	if s.heapIndex >= 0 {
		heap.Remove(&t.dueHeap, s.heapIndex)
	}
	if of := t.byEndpoint[s.endpoint]; len(of) == 1 {
		delete(t.byEndpoint, s.endpoint)
	} else {
		delete(of, s)
	}
}

// NextDue is when Due has something to give; false: there is no such time yet.
func (t *Table) NextDue() (time.Duration, bool) {
	if len(t.dueHeap) == 0 {
		return 0, false
	}
	return t.dueHeap[0].due, true
}

// PopDue gives a stream that has to end by now and forgets it; nil: there is none.
func (t *Table) PopDue(now time.Duration) (*Stream, Cause) {
	if len(t.dueHeap) == 0 || t.dueHeap[0].due > now {
		return nil, 0
	}
	s := t.dueHeap[0]
	t.Close(s)
	return s, s.cause
}

// Len counts the open streams.
func (t *Table) Len() int { return t.count }

// streamHeap is a heap of streams by their due times.
type streamHeap []*Stream

func (d streamHeap) Len() int           { return len(d) }
func (d streamHeap) Less(i, j int) bool { return d[i].due < d[j].due }
func (d streamHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *streamHeap) Push(x any) {
	s := x.(*Stream)
	s.heapIndex = len(*d)
	*d = append(*d, s)
}

// Pop implements heap.Interface.
func (d *streamHeap) Pop() any {
	last := len(*d) - 1
	s := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	s.heapIndex = -1
	return s
}
