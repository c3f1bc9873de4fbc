package scale

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

// State is what a node acts on.
type State struct {
	Node   string        `json:"node"`
	Region int           `json:"region"`
	Zone   int           `json:"zone"`
	Number uint64        `json:"number"` // of the version, 0: none
	Whole  bool          `json:"whole"`  // not the stricter of it and another one
	Alone  bool          `json:"alone"`  // its lease is over
	At     time.Duration `json:"at"`     // since when, by the machine's clock since boot
	Took   time.Duration `json:"took"`   // when it first acted on this version whole with a lease since it started
}

// On tells whether the node acts on a version, or a later one, with a lease.
func (s *State) On(number uint64) bool { return s.Whole && !s.Alone && s.Number >= number }

// States are what the nodes of a process act on. Create it with NewStates.
type States struct {
	mu      sync.Mutex
	nodes   map[string]*State
	changed chan struct{}
}

// NewStates makes a record without nodes.
func NewStates() *States { return &States{nodes: map[string]*State{}, changed: make(chan struct{})} }

// Start has a node be there that acts on nothing yet.
func (s *States) Start(node string, region, zone int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[node] = &State{Node: node, Region: region, Zone: zone, At: agent.BootTime()}
	s.tell()
}

// Acted takes what a node acts on from now on.
func (s *States) Acted(node string, rules consensus.ActiveVersions, alone bool) {
	now := agent.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	whole := rules.PendingVersion == 0
	if whole && !alone && (n.Number != rules.Version || n.Took == 0) {
		n.Took = now
	}
	n.Number, n.Whole, n.Alone, n.At = rules.Version, whole, alone, now
	s.tell()
}

func (s *States) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// All gives the states in the order of the names, with whether all nodes act on a version.
func (s *States) All(number uint64) (list []State, on bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	on = true
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[name]
		on = on && n.On(number)
		list = append(list, *n)
	}
	return list, on, s.changed
}

// Await waits until all nodes act on a version or a later one, or ctx ends, and gives their states.
func (s *States) Await(ctx context.Context, number uint64) []State {
	for {
		list, on, changed := s.All(number)
		if on {
			return list
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return list
		}
	}
}
