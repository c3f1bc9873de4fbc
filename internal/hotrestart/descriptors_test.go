package hotrestart

import "testing"

func TestDescriptorLimit(t *testing.T) {
	const total = 400
	predecessor := func(descriptors int, phase ProcessPhase) Presence {
		return Presence{Number: 1, Phase: phase, Descriptors: descriptors}
	}
	starting := Presence{Number: 2}
	yielding := Presence{Number: 1, Descriptors: 220, Successor: 2}
	draining := Presence{Number: 1, Phase: PhaseDraining, Descriptors: 220, Successor: 2}
	for _, c := range []struct {
		name      string
		open      int
		self      Presence
		peers     []Presence
		limit     int
		successor uint64
		serving   bool // want of SuccessorServing
	}{
		{"without peers", 90, predecessor(90, PhaseServing), nil, total, 0, false},
		{"a successor starts", 90, predecessor(90, PhaseServing), []Presence{starting}, 200, 2, false},
		{"a successor serves", 90, predecessor(90, PhaseServing), []Presence{{Number: 2, Phase: PhaseServing}}, 200, 2, true},
		{"a predecessor with more than half of the descriptors open", 250, predecessor(250, PhaseServing), []Presence{starting}, 250, 2, false},
		{"the limit of a predecessor does not grow", 260, yielding, []Presence{starting}, 220, 2, false},
		{"a draining predecessor", 80, draining, []Presence{starting}, 80, 2, false},
		{"a draining predecessor with few descriptors", 3, draining, []Presence{starting}, MinDescriptors, 2, false},
		{"the successor of a predecessor with more than half", 20, starting, []Presence{predecessor(250, PhaseServing)}, 150, 0, false},
		{"the successor of a predecessor with nearly all", 20, starting, []Presence{predecessor(390, PhaseServing)}, MinDescriptors, 0, false},
		{"the successor of a draining predecessor", 20, starting, []Presence{predecessor(80, PhaseDraining)}, 320, 0, false},
		{"the successor was killed", 90, yielding, nil, total, 0, false},
	} {
		if got := SuccessorServing(c.self, c.peers); got != c.serving {
			t.Errorf("%s: got SuccessorServing %v, want the opposite", c.name, got)
		}
		limit, successor := DescriptorLimit(total, c.open, c.self, c.peers)
		if limit != c.limit || successor != c.successor {
			t.Errorf("%s: got limit %d, successor %d; want %d, %d", c.name, limit, successor, c.limit, c.successor)
		}
	}
}
