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
	Whole time.Duration // from the head of the answer
	Drain time.Duration // from word that the server drains or is gone
}

// Cause is why a stream has to end.
type Cause uint8

// The causes.
const (
	Expired Cause = iota // Limits.Whole
	Moved                // Limits.Drain
)

func (c Cause) String() string { return [...]string{"its time is over", "its server drains"}[c] }

// Stream is an open one.
type Stream struct {
	Owner  any // whoever opened it
	server uint64
	limits Limits
	due    time.Duration
	cause  Cause
	place  int // in the heap; -1: it has no due time
	open   bool
}

// Table holds the open streams. Its size is what the fronts' bounds on requests let in; it
// holds nothing of servers that have no stream. Create it with New.
type Table struct {
	servers map[uint64]map[*Stream]struct{}
	due     dues
	count   int
}

// New makes an empty table.
func New() *Table { return &Table{servers: map[uint64]map[*Stream]struct{}{}} }

// Open takes in a stream from a server. The caller looks afterwards whether word of the server's
// drain had come already, and tells Drain of it again if so: whichever comes first, none is missed.
func (t *Table) Open(now time.Duration, server uint64, l Limits, owner any) *Stream {
	s := &Stream{Owner: owner, server: server, limits: l, place: -1, open: true}
	of := t.servers[server]
	if of == nil {
		of = map[*Stream]struct{}{}
		t.servers[server] = of
	}
	of[s] = struct{}{}
	t.count++
	if l.Whole > 0 {
		t.end(s, now+l.Whole, Expired)
	}
	return s
}

// Drain notes that a server has drained, or is gone, since a time. Word that comes again
// changes nothing: the first counts.
func (t *Table) Drain(since time.Duration, server uint64) {
	for s := range t.servers[server] {
		if s.limits.Drain > 0 {
			t.end(s, since+s.limits.Drain, Moved)
		}
	}
}

// end has a stream end at a time, unless it ends before that.
func (t *Table) end(s *Stream, at time.Duration, why Cause) {
	if s.place >= 0 && s.due <= at {
		return
	}
	s.due, s.cause = at, why
	if s.place >= 0 {
		heap.Fix(&t.due, s.place)
		return
	}
	heap.Push(&t.due, s)
}

// Close forgets a stream; again: nothing.
func (t *Table) Close(s *Stream) {
	if !s.open {
		return
	}
	s.open = false
	t.count--
	if s.place >= 0 {
		heap.Remove(&t.due, s.place)
	}
	if of := t.servers[s.server]; len(of) == 1 {
		delete(t.servers, s.server)
	} else {
		delete(of, s)
	}
}

// Next is when Due has something to give; false: there is no such time yet.
func (t *Table) Next() (time.Duration, bool) {
	if len(t.due) == 0 {
		return 0, false
	}
	return t.due[0].due, true
}

// Due gives a stream that has to end by now and forgets it; nil: there is none.
func (t *Table) Due(now time.Duration) (*Stream, Cause) {
	if len(t.due) == 0 || t.due[0].due > now {
		return nil, 0
	}
	s := t.due[0]
	t.Close(s)
	return s, s.cause
}

// Len counts the open streams.
func (t *Table) Len() int { return t.count }

// dues is a heap of streams by their due times.
type dues []*Stream

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].due < d[j].due }
func (d dues) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

// Push implements heap.Interface.
func (d *dues) Push(x any) {
	s := x.(*Stream)
	s.place = len(*d)
	*d = append(*d, s)
}

// Pop implements heap.Interface.
func (d *dues) Pop() any {
	last := len(*d) - 1
	s := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	s.place = -1
	return s
}
