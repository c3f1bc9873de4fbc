package streamtimeout

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelStream is a stream as a model has it.
type modelStream struct {
	stream            *Stream
	endpoint          uint64
	drainTimeout      time.Duration
	endsAt, drainedAt time.Duration // by MaxDuration and by DrainTimeout; 0: not at all
}

// due returns when and why the stream has to end; 0: not at all.
func (s *modelStream) due() (time.Duration, Cause) {
	if s.drainedAt > 0 && (s.endsAt == 0 || s.drainedAt < s.endsAt) {
		return s.drainedAt, EndpointDraining
	}
	return s.endsAt, MaxDurationExceeded
}

// model is a table, and a list of its streams that is searched at each step.
type model struct {
	table *Table
	now   time.Duration
	open  []*modelStream
}

// openStream opens a drawn stream.
func (m *model) openStream(t *rapid.T) {
	l := Limits{
		MaxDuration:  time.Duration(rapid.IntRange(0, 9).Draw(t, "max duration")),
		DrainTimeout: time.Duration(rapid.IntRange(0, 9).Draw(t, "drain timeout")),
	}
	s := &modelStream{endpoint: drawEndpoint(t), drainTimeout: l.DrainTimeout}
	if l.MaxDuration > 0 {
		s.endsAt = m.now + l.MaxDuration
	}
	s.stream = m.table.Open(m.now, s.endpoint, l, s)
	m.open = append(m.open, s)
}

func drawEndpoint(t *rapid.T) uint64 { return uint64(rapid.IntRange(0, 2).Draw(t, "endpoint")) }

// drainEndpoint has a drawn endpoint drain from now on.
func (m *model) drainEndpoint(t *rapid.T) {
	endpoint := drawEndpoint(t)
	m.table.DrainEndpoint(m.now, endpoint)
	for _, s := range m.open {
		if s.endpoint != endpoint || s.drainTimeout == 0 {
			continue
		}
		if at := m.now + s.drainTimeout; s.drainedAt == 0 || at < s.drainedAt {
			s.drainedAt = at
		}
	}
}

// closeStream closes a drawn stream twice.
func (m *model) closeStream(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "close")
	m.table.Close(m.open[i].stream)
	m.table.Close(m.open[i].stream)
	m.open = slices.Delete(m.open, i, i+1)
}

// popDue takes all streams that are due and checks that they are.
func (m *model) popDue(t *rapid.T) {
	for {
		popped, cause := m.table.PopDue(m.now)
		if popped == nil {
			return
		}
		s := popped.Owner.(*modelStream)
		at, want := s.due()
		if at == 0 || at > m.now || cause != want && s.endsAt != s.drainedAt {
			t.Fatalf("returned at %d for %v, due at %d for %v", m.now, cause, at, want)
		}
		i := slices.Index(m.open, s)
		if i < 0 {
			t.Fatal("returned twice, or closed before")
		}
		m.open = slices.Delete(m.open, i, i+1)
	}
}

// check compares the table's next due time and size with the list's.
func (m *model) check(t *rapid.T) {
	first := time.Duration(0)
	for _, s := range m.open {
		if at, _ := s.due(); at > 0 && (first == 0 || at < first) {
			first = at
		}
	}
	next, ok := m.table.NextDue()
	if ok != (first > 0) || ok && next != first || m.table.Len() != len(m.open) {
		t.Fatalf("next at %d %v, %d open; want %d, %d", next, ok, m.table.Len(), first, len(m.open))
	}
}

// TestAgainstModel compares the table with the model over drawn steps.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: New(), now: 1}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pass"))
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
			t.Fatal("something of closed streams is left")
		}
	})
}
