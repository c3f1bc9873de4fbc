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

// model is a State as the list of all changes, searched from its end.
type model struct{ changes []Change }

func (m *model) detached(id string) bool {
	for _, c := range slices.Backward(m.changes) {
		if c.InstanceID == id && c.Operation.TargetsInstance() {
			return c.Operation == Detach
		}
	}
	return false
}

// reattachedMs is the time of the latest change that reattached an instance; 0: none did.
func (m *model) reattachedMs(id string) int64 {
	for i := len(m.changes) - 1; i >= 0; i-- {
		if c := m.changes[i]; c.InstanceID == id && c.Operation == Attach && (&model{m.changes[:i]}).detached(id) {
			return c.AtMs
		}
	}
	return 0
}

func (m *model) lameDuck() bool {
	for _, c := range slices.Backward(m.changes) {
		if !c.Operation.TargetsInstance() {
			return c.Operation == LameDuck
		}
	}
	return false
}

// Drawn histories of changes and lists: Overlay never leaves a detached instance ready, has a reattached
// one start at that moment at the earliest, and does not alter any other.
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
			switch op := Operation(rapid.IntRange(0, 4).Draw(t, "op")); op {
			case 0: // the instance restarts, and the list has it
				started[id] = float64(now)
			default:
				c := Change{Operation: op, AtMs: now}
				if op.TargetsInstance() {
					c.InstanceID = id
				}
				if err := s.Validate(c, func(string) bool { return true }); err != nil {
					t.Fatalf("%v: %v", c, err)
				}
				before := s.Version()
				wasDetached, wasLameDuck := m.detached(id), m.lameDuck()
				m.changes = append(m.changes, c)
				altered := wasLameDuck != m.lameDuck()
				if op.TargetsInstance() {
					altered = wasDetached != m.detached(id)
				}
				if got := s.Apply(c); got != altered || (s.Version() > before) != altered {
					t.Fatalf("%v altered the state: %v, want %v; version %d to %d", c, got, altered, before, s.Version())
				}
			}
			if _, active := s.LameDuckSince(); active != m.lameDuck() {
				t.Fatalf("lame duck mode %v, want %v", active, m.lameDuck())
			}
			listed := rapid.SampledFrom([]string{"Ready", "Ready", "Terminating", "Gone", "novel"}).Draw(t, "lifecycle")
			lines := []discovery.Instance{{InstanceID: id, Lifecycle: listed, StartedAtMs: started[id], HostPort: "h:1"}}
			got := s.Overlay(lines)[0]
			want := discovery.Instance{
				InstanceID: id, Lifecycle: listed, HostPort: "h:1",
				StartedAtMs: max(started[id], float64(m.reattachedMs(id))),
			}
			if m.detached(id) && listed == "Ready" {
				want.Lifecycle = "Terminating"
			}
			if got != want {
				t.Fatalf("overlaid line %+v, want %+v", got, want)
			}
			// The minimal changes lead to the same state.
			var copied State
			for _, c := range s.MinimalChanges() {
				copied.Apply(c)
			}
			if !maps.Equal(copied.overrides, s.overrides) || copied.lameDuck != s.lameDuck ||
				s.lameDuck && copied.lameDuckSinceMs != s.lameDuckSinceMs {
				t.Fatalf("copied %+v, want %+v", copied, s)
			}
		}
	})
}

func TestValidateUnknownInstance(t *testing.T) {
	noneListed := func(string) bool { return false }
	allListed := func(string) bool { return true }
	var s State
	for _, op := range []Operation{Detach, Attach} {
		if err := s.Validate(Change{Operation: op, InstanceID: "x"}, noneListed); !errors.Is(err, ErrUnknownInstance) {
			t.Errorf("%v of an unknown id: %v", op, err)
		}
	}
	s.Apply(Change{Operation: Detach, InstanceID: "x", AtMs: 1})
	if err := s.Validate(Change{Operation: Attach, InstanceID: "x"}, noneListed); err != nil {
		t.Errorf("Attach of a detached instance that has left the list: %v", err)
	}
	if err := s.Validate(Change{Operation: Detach, InstanceID: "y"}, allListed); err != nil {
		t.Error(err)
	}
}

// At MaxOverrides, reattached instances are dropped for new ones, detached instances never are.
func TestMaxOverrides(t *testing.T) {
	allListed := func(string) bool { return true }
	var s State
	for i := range MaxOverrides {
		s.Apply(Change{Detach, fmt.Sprint("s", i), int64(i + 1)})
	}
	if err := s.Validate(Change{Operation: Detach, InstanceID: "more"}, allListed); !errors.Is(err, ErrTooManyOverrides) {
		t.Fatalf("one too many: %v", err)
	}
	s.Apply(Change{Attach, "s7", 9e3})
	s.Apply(Change{Attach, "s9", 9e3 + 1})
	c := Change{Detach, "more", 1e4}
	if err := s.Validate(c, allListed); err != nil {
		t.Fatal(err)
	}
	s.Apply(c)
	if len(s.overrides) != MaxOverrides || s.Detached("s7") || !s.Detached("more") || s.overrides["s9"].reattachedMs == 0 {
		t.Errorf("%d overrides, s7 detached %v, more detached %v", len(s.overrides), s.Detached("s7"), s.Detached("more"))
	}
}

func TestLameDuckMode(t *testing.T) {
	const ms = time.Millisecond
	var m LameDuckMode
	if !m.Ready() || m.ClosesIdle(time.Hour) {
		t.Error("not ready, or closes connections, while off")
	}
	m.Enter(10 * time.Second)
	m.Enter(12 * time.Second) // does not restart the delay
	end := 10*time.Second + LameDuckIdleDelay
	if m.Ready() || m.ClosesIdle(end-ms) || !m.ClosesIdle(end) {
		t.Error("idle connections are closed too soon, or too late")
	}
	if LameDuckIdleDelay+LameDuckNotice > 2*time.Second {
		t.Error("requests could arrive in the 2 s in which the node has to empty")
	}
	m.Exit()
	if !m.Ready() || m.ClosesIdle(time.Hour) {
		t.Error("not ready, or closes connections, after Exit")
	}
}
