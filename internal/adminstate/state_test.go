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

// model is a simple model of State: the list of all changes, which its methods search from the end.
type model struct{ changes []Change }

func (m *model) detached(id string) bool {
	for _, c := range slices.Backward(m.changes) {
		if c.InstanceID == id && c.Operation.TargetsInstance() {
			return c.Operation == Detach
		}
	}
	return false
}

// reattachedMs returns the time of the latest change that reattached an instance, or 0 if there is none.
func (m *model) reattachedMs(id string) int64 {
	for i := len(m.changes) - 1; i >= 0; i-- {
		if c := m.changes[i]; c.InstanceID == id && c.Operation == Attach && (&model{m.changes[:i]}).detached(id) {
			return c.RequestedAtMs
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

// For random changes and endpoint lists, Overlay never leaves a detached instance ready, makes a reattached
// instance start no earlier than its reattachment, and leaves all other instances as they are. Apply reports
// whether it altered the state, and MinimalChanges leads to the same state.
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
			case 0: // the instance restarts, and the endpoint list has its new start
				started[id] = float64(now)
			default:
				c := Change{Operation: op, RequestedAtMs: now}
				if op.TargetsInstance() {
					c.InstanceID = id
				}
				if err := s.Validate(c, func(string) bool { return true }); err != nil {
					t.Fatalf("Validate(%v): got error %v, want none", c, err)
				}
				before := s.Version()
				wasDetached, wasLameDuck := m.detached(id), m.lameDuck()
				m.changes = append(m.changes, c)
				altered := wasLameDuck != m.lameDuck()
				if op.TargetsInstance() {
					altered = wasDetached != m.detached(id)
				}
				if got := s.Apply(c); got != altered || (s.Version() > before) != altered {
					t.Fatalf("Apply(%v): got altered %v, want %v; version changed from %d to %d", c, got, altered, before, s.Version())
				}
			}
			if _, active := s.LameDuckSince(); active != m.lameDuck() {
				t.Fatalf("got lame duck mode %v, want %v", active, m.lameDuck())
			}
			listed := rapid.SampledFrom([]string{"Ready", "Ready", "Terminating", "Gone", "novel"}).Draw(t, "lifecycle")
			instances := []discovery.Instance{{InstanceID: id, Lifecycle: listed, StartedAtMs: started[id], HostPort: "h:1"}}
			got := s.Overlay(instances)[0]
			want := discovery.Instance{
				InstanceID: id, Lifecycle: listed, HostPort: "h:1",
				StartedAtMs: max(started[id], float64(m.reattachedMs(id))),
			}
			if m.detached(id) && listed == "Ready" {
				want.Lifecycle = "Terminating"
			}
			if got != want {
				t.Fatalf("got instance %+v from Overlay, want %+v", got, want)
			}
			// MinimalChanges leads from the zero State to the same state.
			var copied State
			for _, c := range s.MinimalChanges() {
				copied.Apply(c)
			}
			if !maps.Equal(copied.overrides, s.overrides) || copied.lameDuck != s.lameDuck ||
				s.lameDuck && copied.lameDuckSinceMs != s.lameDuckSinceMs {
				t.Fatalf("got state %+v after the minimal changes, want %+v", copied, s)
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
			t.Errorf("%v of an unknown id: got error %v, want ErrUnknownInstance", op, err)
		}
	}
	s.Apply(Change{Operation: Detach, InstanceID: "x", RequestedAtMs: 1})
	if err := s.Validate(Change{Operation: Attach, InstanceID: "x"}, noneListed); err != nil {
		t.Errorf("Attach of a detached instance that has left the list: got error %v, want none", err)
	}
	if err := s.Validate(Change{Operation: Detach, InstanceID: "y"}, allListed); err != nil {
		t.Error(err)
	}
}

// When there are MaxOverrides overrides, a further Detach drops the override of the instance that was
// reattached first. The override of a detached instance is never dropped.
func TestMaxOverrides(t *testing.T) {
	allListed := func(string) bool { return true }
	var s State
	for i := range MaxOverrides {
		s.Apply(Change{Detach, fmt.Sprint("s", i), int64(i + 1)})
	}
	if err := s.Validate(Change{Operation: Detach, InstanceID: "more"}, allListed); !errors.Is(err, ErrTooManyOverrides) {
		t.Fatalf("Detach with MaxOverrides detached instances: got error %v, want ErrTooManyOverrides", err)
	}
	s.Apply(Change{Attach, "s7", 9e3})
	s.Apply(Change{Attach, "s9", 9e3 + 1})
	c := Change{Detach, "more", 1e4}
	if err := s.Validate(c, allListed); err != nil {
		t.Fatal(err)
	}
	s.Apply(c)
	if len(s.overrides) != MaxOverrides || s.Detached("s7") || !s.Detached("more") || s.overrides["s9"].reattachedMs == 0 {
		t.Errorf("got %d overrides, s7 detached %v, more detached %v; want MaxOverrides, false, true and s9 kept", len(s.overrides), s.Detached("s7"), s.Detached("more"))
	}
}

func TestLameDuckMode(t *testing.T) {
	const ms = time.Millisecond
	var m LameDuckMode
	if !m.Ready() || m.ClosesIdle(time.Hour) {
		t.Error("the zero LameDuckMode is not ready or closes idle connections, want it ready and idle connections kept open")
	}
	m.Enter(10 * time.Second)
	m.Enter(12 * time.Second) // must not restart the delay
	end := 10*time.Second + LameDuckIdleDelay
	if m.Ready() || m.ClosesIdle(end-ms) || !m.ClosesIdle(end) {
		t.Error("the mode is ready, or closes idle connections earlier or later than LameDuckIdleDelay after the first Enter")
	}
	if LameDuckIdleDelay+UnreadyPropagationDelay > 2*time.Second {
		t.Error("LameDuckIdleDelay and UnreadyPropagationDelay together exceed the 2 s after which the node must get no more requests")
	}
	m.Exit()
	if !m.Ready() || m.ClosesIdle(time.Hour) {
		t.Error("after Exit the mode is not ready or closes idle connections, want it ready and idle connections kept open")
	}
}
