package streamtimeout

import (
	"container/heap"
	"time"
)

// Limits are the timeouts of a stream. They depend on the class of its request. 0 means no timeout.
type Limits struct {
	MaxDuration  time.Duration // counted from the call of Open, after the head of the response
	DrainTimeout time.Duration // counted from the time at which the endpoint began to drain or was removed
}

// Cause is the reason for which a stream has to end.
type Cause uint8

// The causes.
const (
	MaxDurationExceeded Cause = iota // Limits.MaxDuration has elapsed
	EndpointDraining                 // Limits.DrainTimeout has elapsed since the endpoint began to drain or was removed
)

// String implements fmt.Stringer.
func (c Cause) String() string { return [...]string{"maximum duration", "drain timeout"}[c] }

// Stream is an open stream.
type Stream struct {
	Owner     any // the value that was passed to Open
	endpoint  uint64
	limits    Limits
	due       time.Duration // time at which the stream has to end; set while it is in Table.dueHeap
	cause     Cause         // reason for which the stream has to end at due
	heapIndex int           // index in Table.dueHeap; -1 if no timeout of the stream runs
	open      bool
}

// Table has the open streams by their endpoints. It keeps no state for an endpoint without an open stream. Create it with
// New. A Table is not safe for concurrent use. The times passed to its methods are readings of one clock, whose zero may be
// any time.
type Table struct {
	byEndpoint map[uint64]map[*Stream]struct{}
	dueHeap    streamHeap // the streams with a running timeout
	count      int        // number of open streams
}

// New returns an empty table.
func New() *Table { return &Table{byEndpoint: map[uint64]map[*Stream]struct{}{}} }

// Open adds a stream from an endpoint. The endpoint may have begun to drain before the call. The caller must check that after
// Open and call DrainEndpoint if it has, so that no drain is missed.
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

// DrainEndpoint starts the drain timeouts of the open streams of an endpoint that began to drain, or was removed, at the time
// since. If it is called repeatedly for an endpoint, the earliest time counts.
func (t *Table) DrainEndpoint(since time.Duration, endpoint uint64) {
	for s := range t.byEndpoint[endpoint] {
		if s.limits.DrainTimeout > 0 {
			t.setDue(s, since+s.limits.DrainTimeout, EndpointDraining)
		}
	}
}

// setDue sets the time at which a stream has to end, and the cause, unless the stream has to end by then already.
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

// NextDue returns the earliest time at which PopDue returns a stream. It returns false if no timeout runs.
func (t *Table) NextDue() (time.Duration, bool) {
	if len(t.dueHeap) == 0 {
		return 0, false
	}
	return t.dueHeap[0].due, true
}

// PopDue removes a stream that has to end by now and returns it with the cause. It returns nil if there is none.
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
