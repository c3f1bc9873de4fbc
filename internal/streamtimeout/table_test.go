package streamtimeout

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelStream is the model's record of a stream.
type modelStream struct {
	stream                          *Stream
	endpoint                        uint64
	drainTimeout                    time.Duration
	maxDurationEnd, drainTimeoutEnd time.Duration // times at which MaxDuration and DrainTimeout elapse; 0 means never
}

// due returns the time at which the stream has to end and the cause. The time is 0 if the stream has no timeout.
func (s *modelStream) due() (time.Duration, Cause) {
	if s.drainTimeoutEnd > 0 && (s.maxDurationEnd == 0 || s.drainTimeoutEnd < s.maxDurationEnd) {
		return s.drainTimeoutEnd, EndpointDraining
	}
	return s.maxDurationEnd, MaxDurationExceeded
}

// model is a table together with a plain list of its open streams, by which the table's results are checked.
type model struct {
	table *Table
	now   time.Duration
	open  []*modelStream
}

// openStream opens a stream with random limits.
func (m *model) openStream(t *rapid.T) {
	l := Limits{
		MaxDuration:  time.Duration(rapid.IntRange(0, 9).Draw(t, "max duration")),
		DrainTimeout: time.Duration(rapid.IntRange(0, 9).Draw(t, "drain timeout")),
	}
	s := &modelStream{endpoint: randomEndpoint(t), drainTimeout: l.DrainTimeout}
	if l.MaxDuration > 0 {
		s.maxDurationEnd = m.now + l.MaxDuration
	}
	s.stream = m.table.Open(m.now, s.endpoint, l, s)
	m.open = append(m.open, s)
}

// randomEndpoint returns one of three endpoints.
func randomEndpoint(t *rapid.T) uint64 { return uint64(rapid.IntRange(0, 2).Draw(t, "endpoint")) }

// drainEndpoint makes a random endpoint drain from now on.
func (m *model) drainEndpoint(t *rapid.T) {
	endpoint := randomEndpoint(t)
	m.table.DrainEndpoint(m.now, endpoint)
	for _, s := range m.open {
		if s.endpoint != endpoint || s.drainTimeout == 0 {
			continue
		}
		if at := m.now + s.drainTimeout; s.drainTimeoutEnd == 0 || at < s.drainTimeoutEnd {
			s.drainTimeoutEnd = at
		}
	}
}

// closeStream closes a random open stream, twice, because Close may be called repeatedly.
func (m *model) closeStream(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "close")
	m.table.Close(m.open[i].stream)
	m.table.Close(m.open[i].stream)
	m.open = slices.Delete(m.open, i, i+1)
}

// popDue removes all streams that PopDue returns, and checks that each is open, due, and has the right cause.
func (m *model) popDue(t *rapid.T) {
	for {
		popped, cause := m.table.PopDue(m.now)
		if popped == nil {
			return
		}
		s := popped.Owner.(*modelStream)
		at, want := s.due()
		if at == 0 || at > m.now || cause != want && s.maxDurationEnd != s.drainTimeoutEnd {
			t.Fatalf("PopDue returned a stream at %d with cause %v, want it at %d with cause %v", m.now, cause, at, want)
		}
		i := slices.Index(m.open, s)
		if i < 0 {
			t.Fatal("PopDue returned a stream that it had returned before or that was closed")
		}
		m.open = slices.Delete(m.open, i, i+1)
	}
}

// check compares the table's next due time and number of streams with those of the list.
func (m *model) check(t *rapid.T) {
	earliest := time.Duration(0)
	for _, s := range m.open {
		if at, _ := s.due(); at > 0 && (earliest == 0 || at < earliest) {
			earliest = at
		}
	}
	next, ok := m.table.NextDue()
	if ok != (earliest > 0) || ok && next != earliest || m.table.Len() != len(m.open) {
		t.Fatalf("got next due time %d (%v) and %d open streams, want %d and %d", next, ok, m.table.Len(), earliest, len(m.open))
	}
}

// Compares the table with the model over random steps. Guards against streams that end at a wrong time or for a wrong cause,
// and against state of closed streams that is left in the table.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: New(), now: 1}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 3).Draw(t, "elapsed"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				m.openStream(t)
			case 2:
				m.drainEndpoint(t)
			case 3:
				m.closeStream(t)
			case 4:
				m.popDue(t)
			}
			m.check(t)
		}
		for _, s := range m.open {
			m.table.Close(s.stream)
		}
		if len(m.table.byEndpoint) != 0 || len(m.table.dueHeap) != 0 {
			t.Fatal("the table has state of closed streams")
		}
	})
}
