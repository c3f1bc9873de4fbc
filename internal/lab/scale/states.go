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
	Node         string        `json:"node"`
	Region       int           `json:"region"`
	Zone         int           `json:"zone"`
	Version      uint64        `json:"number"` // of the version, 0: none
	Complete     bool          `json:"whole"`  // not the stricter of it and another one
	Disconnected bool          `json:"alone"`  // its lease is over
	ChangedAt    time.Duration `json:"at"`     // since when, by the machine's clock since boot
	AppliedAt    time.Duration `json:"took"`   // when it first acted on this version whole with a lease since it started
}

// ActsOn tells whether the node acts on a version, or a later one, with a lease.
func (s *State) ActsOn(number uint64) bool {
	return s.Complete && !s.Disconnected && s.Version >= number
}

// States are what the nodes of a process act on. Create it with NewStates.
type States struct {
	mu      sync.Mutex
	nodes   map[string]*State
	changed chan struct{}
}

// NewStates makes a record without nodes.
func NewStates() *States { return &States{nodes: map[string]*State{}, changed: make(chan struct{})} }

// Register has a node be there that acts on nothing yet.
func (s *States) Register(node string, region, zone int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[node] = &State{Node: node, Region: region, Zone: zone, ChangedAt: agent.BootTime()}
	s.notify()
}

// Record takes what a node acts on from now on.
func (s *States) Record(node string, rules consensus.ActiveVersions, alone bool) {
	now := agent.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	whole := rules.PendingVersion == 0
	if whole && !alone && (n.Version != rules.Version || n.AppliedAt == 0) {
		n.AppliedAt = now
	}
	n.Version, n.Complete, n.Disconnected, n.ChangedAt = rules.Version, whole, alone, now
	s.notify()
}

func (s *States) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot gives the states in the order of the names, with whether all nodes act on a version.
func (s *States) Snapshot(number uint64) (list []State, on bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	on = true
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[name]
		on = on && n.ActsOn(number)
		list = append(list, *n)
	}
	return list, on, s.changed
}

// Await waits until all nodes act on a version or a later one, or ctx ends, and gives their states.
func (s *States) Await(ctx context.Context, number uint64) []State {
	for {
		list, on, changed := s.Snapshot(number)
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
