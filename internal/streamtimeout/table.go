package streamtimeout

import (
	"container/heap"
	"time"
)

// Limits are the timeouts of a stream, by the class of its request; 0 is none.
type Limits struct {
	MaxDuration  time.Duration // from the head of the response
	DrainTimeout time.Duration // from when the endpoint began to drain, or was removed
}

// Cause is why a stream has to end.
type Cause uint8

// The causes.
const (
	MaxDurationExceeded Cause = iota // Limits.MaxDuration is over
	EndpointDraining                 // Limits.DrainTimeout is over
)

// String implements fmt.Stringer.
func (c Cause) String() string { return [...]string{"its time is over", "its server drains"}[c] }

// Stream is an open stream.
type Stream struct {
	Owner     any // as given to Open
	endpoint  uint64
	limits    Limits
	due       time.Duration // when it has to end, if it is in the heap
	cause     Cause         // why it has to end then
	heapIndex int           // in Table.dueHeap; -1: no timeout runs
	open      bool
}

// Table has the open streams, and nothing of endpoints without a stream. It is not safe for concurrent use; New creates
// it. Times are on one clock, which may begin anywhere.
type Table struct {
	byEndpoint map[uint64]map[*Stream]struct{}
	dueHeap    streamHeap // the streams of which a timeout runs
	count      int
}

// New returns an empty table.
func New() *Table { return &Table{byEndpoint: map[uint64]map[*Stream]struct{}{}} }

// Open adds a stream from an endpoint. The endpoint may have begun to drain before: the caller checks that after Open,
// and calls DrainEndpoint if so, so that no drain is missed.
func (t *Table) Open(now time.Duration, endpoint uint64, l Limits, owner any) *Stream {
	s := &Stream{Owner: owner, endpoint: endpoint, limits: l, heapIndex: -1, open: true}
	streams := t.byEndpoint[endpoint]
	if streams == nil {
		streams = map[*Stream]struct{}{}
		t.byEndpoint[endpoint] = streams
	}
	streams[s] = struct{}{}
	t.count++
	if l.MaxDuration > 0 {
		t.setDue(s, now+l.MaxDuration, MaxDurationExceeded)
	}
	return s
}

// DrainEndpoint starts the drain timeouts of an endpoint that drains, or was removed, since a time. The earliest such
// time of a stream counts.
func (t *Table) DrainEndpoint(since time.Duration, endpoint uint64) {
	for s := range t.byEndpoint[endpoint] {
		if s.limits.DrainTimeout > 0 {
			t.setDue(s, since+s.limits.DrainTimeout, EndpointDraining)
		}
	}
}

// setDue makes a stream end at a time, unless it ends by then anyway.
func (t *Table) setDue(s *Stream, at time.Duration, cause Cause) {
	if s.heapIndex >= 0 && s.due <= at {
		return
	}
	s.due, s.cause = at, cause
	if s.heapIndex >= 0 {
		heap.Fix(&t.dueHeap, s.heapIndex)
		return
	}
	heap.Push(&t.dueHeap, s)
}

// Close removes a stream. It may be called repeatedly.
func (t *Table) Close(s *Stream) {
	if !s.open {
		return
	}
	s.open = false
	t.count--
	if s.heapIndex >= 0 {
		heap.Remove(&t.dueHeap, s.heapIndex)
	}
	if streams := t.byEndpoint[s.endpoint]; len(streams) == 1 {
		delete(t.byEndpoint, s.endpoint)
	} else {
		delete(streams, s)
	}
}

// NextDue returns the time from which PopDue returns a stream; false: no timeout runs.
func (t *Table) NextDue() (time.Duration, bool) {
	if len(t.dueHeap) == 0 {
		return 0, false
	}
	return t.dueHeap[0].due, true
}

// PopDue returns a stream that has to end by now, and removes it; nil: there is none.
func (t *Table) PopDue(now time.Duration) (*Stream, Cause) {
	if len(t.dueHeap) == 0 || t.dueHeap[0].due > now {
		return nil, 0
	}
	s := t.dueHeap[0]
	t.Close(s)
	return s, s.cause
}

// Len returns the number of open streams.
func (t *Table) Len() int { return t.count }
