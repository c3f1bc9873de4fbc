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

// State describes the version that a node acts on. Its times are since the machine's boot.
type State struct {
	Node         string        `json:"node"`
	Region       int           `json:"region"`
	Zone         int           `json:"zone"`
	Version      uint64        `json:"number"` // version number; 0 if the node acts on no version
	Complete     bool          `json:"whole"`  // whether the node acts on Version alone, without a pending version
	Disconnected bool          `json:"alone"`  // whether the node's lease has expired
	ChangedAt    time.Duration `json:"at"`     // time of the last change of this state
	AppliedAt    time.Duration `json:"took"`   // time of the first complete use of Version under a lease since the node's start
}

// ActsOn reports whether the node acts on a version or a later version, under a lease and not in a stricter combination
// with a pending version.
func (s *State) ActsOn(version uint64) bool {
	return s.Complete && !s.Disconnected && s.Version >= version
}

// States holds the states of a process's nodes. It is safe for concurrent use. Create it with NewStates.
type States struct {
	mu      sync.Mutex
	nodes   map[string]*State // by the node's name
	changed chan struct{}     // closed and replaced at each change
}

// NewStates returns States without any node.
func NewStates() *States {
	return &States{nodes: map[string]*State{}, changed: make(chan struct{})}
}

// Register adds a node that acts on no version. If the node is registered already, Register resets its state to that.
func (s *States) Register(node string, region, zone int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[node] = &State{Node: node, Region: region, Zone: zone, ChangedAt: agent.BootTime()}
	s.notify()
}

// Record sets the versions that a registered node acts on from now on. disconnected says that the node's lease has expired.
func (s *States) Record(node string, versions consensus.ActiveVersions, disconnected bool) {
	now := agent.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	complete := versions.PendingVersion == 0
	if complete && !disconnected && (n.Version != versions.Version || n.AppliedAt == 0) {
		n.AppliedAt = now
	}
	n.Version = versions.Version
	n.Complete = complete
	n.Disconnected = disconnected
	n.ChangedAt = now
	s.notify()
}

// notify wakes all callers that wait for a change. The caller of notify must hold s.mu.
func (s *States) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot returns the states in the order of the nodes' names, whether all nodes act on a version, and a channel that
// is closed at the next change of a state.
func (s *States) Snapshot(version uint64) (list []State, all bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all = true
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[name]
		all = all && n.ActsOn(version)
		list = append(list, *n)
	}
	return list, all, s.changed
}

// Await waits until all nodes act on a version or a later version, or until ctx ends, and returns the nodes' states.
func (s *States) Await(ctx context.Context, version uint64) []State {
	for {
		list, all, changed := s.Snapshot(version)
		if all {
			return list
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return list
		}
	}
}
