package adminstate

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yokestall/internal/discovery"
)

// model is the plain form of a State: what a list of calls says when it is read from its end.
type model struct{ calls []Change }

func (m *model) out(id string) bool {
	for _, c := range slices.Backward(m.calls) {
		if c.Server == id && c.Op.OfServer() {
			return c.Op == Detach
		}
	}
	return false
}

// back is the call that ended the server's latest time out; 0: none did.
func (m *model) back(id string) int64 {
	for i := len(m.calls) - 1; i >= 0; i-- {
		if c := m.calls[i]; c.Server == id && c.Op == Attach && (&model{m.calls[:i]}).out(id) {
			return c.AtMs
		}
	}
	return 0
}

func (m *model) lame() bool {
	for _, c := range slices.Backward(m.calls) {
		if !c.Op.OfServer() {
			return c.Op == LameDuck
		}
	}
	return false
}

// Drawn histories of calls and lists: a server that is out never comes out of the overlay as
// ready, one that was called back starts then at the earliest, all others come out as they went in.
func TestDrawnHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		var m model
		ids := []string{"a", "b", "c", "d"}
		started := map[string]float64{}
		now := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += int64(rapid.IntRange(1, 5).Draw(t, "ms"))
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch op := Op(rapid.IntRange(0, 4).Draw(t, "op")); op {
			case 0: // the server starts anew, and the list tells
				started[id] = float64(now)
			default:
				c := Change{Op: op, AtMs: now}
				if op.OfServer() {
					c.Server = id
				}
				if err := s.Check(c, func(string) bool { return true }); err != nil {
					t.Fatalf("%v: %v", c, err)
				}
				before := s.Version()
				wasOut, wasLame := m.out(id), m.lame()
				m.calls = append(m.calls, c)
				differs := op.OfServer() && wasOut != m.out(id) || !op.OfServer() && wasLame != m.lame()
				if got := s.Apply(c); got != differs || (s.Version() > before) != differs {
					t.Fatalf("%v made a difference: %v, want %v; version %d to %d", c, got, differs, before, s.Version())
				}
			}
			if _, lame := s.Lame(); lame != m.lame() {
				t.Fatalf("lame %v, want %v", lame, m.lame())
			}
			listed := rapid.SampledFrom([]string{"Ready", "Ready", "Terminating", "Gone", "novel"}).Draw(t, "lifecycle")
			lines := []discovery.Instance{{InstanceID: id, Lifecycle: listed, StartedAtMs: started[id], HostPort: "h:1"}}
			got := s.Overlay(lines)[0]
			want := discovery.Instance{InstanceID: id, Lifecycle: listed, HostPort: "h:1", StartedAtMs: max(started[id], float64(m.back(id)))}
			if m.out(id) && listed == "Ready" {
				want.Lifecycle = "Terminating"
			}
			if got != want {
				t.Fatalf("the list says %+v, want %+v", got, want)
			}
			// What is handed on as changes makes the same state.
			var copied State
			for _, c := range s.Changes() {
				copied.Apply(c)
			}
			if !maps.Equal(copied.entries, s.entries) || copied.lame != s.lame || s.lame && copied.lameMs != s.lameMs {
				t.Fatalf("copied %+v, want %+v", copied, s)
			}
		}
	})
}

func TestUnknownIDs(t *testing.T) {
	nobody := func(string) bool { return false }
	all := func(string) bool { return true }
	var s State
	for _, op := range []Op{Detach, Attach} {
		if err := s.Check(Change{Op: op, Server: "x"}, nobody); !errors.Is(err, ErrUnknown) {
			t.Errorf("%v of an id that nobody has: %v", op, err)
		}
	}
	s.Apply(Change{Op: Detach, Server: "x", AtMs: 1})
	if err := s.Check(Change{Op: Attach, Server: "x"}, nobody); err != nil {
		t.Errorf("the call back of a server that has left the list: %v", err)
	}
	if err := s.Check(Change{Op: Detach, Server: "y"}, all); err != nil {
		t.Error(err)
	}
}

// The state is bounded: past it servers that are back make room, those that are out never do.
func TestBound(t *testing.T) {
	all := func(string) bool { return true }
	var s State
	for i := range MaxEntries {
		s.Apply(Change{Detach, fmt.Sprint("s", i), int64(i + 1)})
	}
	if err := s.Check(Change{Op: Detach, Server: "more"}, all); !errors.Is(err, ErrFull) {
		t.Fatalf("one too many: %v", err)
	}
	s.Apply(Change{Attach, "s7", 9e3})
	s.Apply(Change{Attach, "s9", 9e3 + 1})
	c := Change{Detach, "more", 1e4}
	if err := s.Check(c, all); err != nil {
		t.Fatal(err)
	}
	s.Apply(c)
	if len(s.entries) != MaxEntries || s.Out("s7") || !s.Out("more") || s.entries["s9"].backMs == 0 {
		t.Errorf("%d entries, s7 out %v, more out %v", len(s.entries), s.Out("s7"), s.Out("more"))
	}
}

func TestDuck(t *testing.T) {
	const ms = time.Millisecond
	var d Duck
	if !d.Ready() || d.CloseIdle(time.Hour) {
		t.Error("a node at work closes connections")
	}
	d.Begin(10 * time.Second)
	d.Begin(12 * time.Second) // a second call doesn't begin anew
	if d.Ready() || d.CloseIdle(10*time.Second+DuckIdle-ms) || !d.CloseIdle(10*time.Second+DuckIdle) {
		t.Error("idle connections are closed too soon, or too late")
	}
	if DuckIdle+DuckNotice > 2*time.Second {
		t.Error("requests could come in the 2 s before all has to be empty")
	}
	d.End()
	if !d.Ready() || d.CloseIdle(time.Hour) {
		t.Error("back at work it closes connections")
	}
}
