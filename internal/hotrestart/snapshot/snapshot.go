// Package snapshot encodes and decodes the learnt state of a node that one of its processes passes to its
// successor: a snapshot with a version, a checksum and the time at which it was taken. The package does no
// I/O and reads no clock. Decode drops parts that are out of range or do not fit the receiver; the receiver
// then learns the dropped parts anew.
package snapshot

import (
	"time"

	"yokestall/internal/discovery"
	"yokestall/policy"
)

// Snapshot is the learnt state that a process passes to its successor. Start times are wall times, since
// the processes' monotonic clocks differ.
type Snapshot struct {
	Version   int    `json:"version"` // version of the format; Encode writes its own, whatever the field says
	Node      string `json:"node"`    // name of the node
	TakenAtMs int64  `json:"takenMs"` // Unix milliseconds
	// Classes are the names of the sender's classes, in the order of Policy.Classes.
	Classes []string `json:"classes"`
	// Generation is the version of the endpoint list, and Instances are the instances in the list.
	// HasList says whether the sender had a list to continue from: one that it received from
	// discovery, or an initial list with instances.
	Generation uint64               `json:"generation"`
	HasList    bool                 `json:"listed"`
	Instances  []discovery.Instance `json:"list"`
	Policy     PolicyState          `json:"module"`
}

// PolicyState is a policy.Snapshot in which the endpoints' start times are wall times.
type PolicyState struct {
	Classes   []policy.ClassSnapshot `json:"classes"`
	Load      policy.LoadSnapshot    `json:"bounds"`
	Endpoints []Endpoint             `json:"servers"`
}

// Endpoint is a policy.EndpointSnapshot with the endpoint's start as wall time.
type Endpoint struct {
	StartedAtMs int64 `json:"startedMs"` // Unix milliseconds; 0: the start is not known, and counts as long ago
	policy.EndpointSnapshot
}

// Clock converts between wall time and the monotonic clock of a process.
type Clock interface {
	At(wall time.Time) time.Duration
	Wall(at time.Duration) time.Time
}

// FromPolicy converts a snapshot of the policy to the state that is passed to the successor. clock is the
// sender's clock.
func FromPolicy(s policy.Snapshot, clock Clock) PolicyState {
	state := PolicyState{Classes: s.Classes, Load: s.Load}
	for _, e := range s.Endpoints {
		startedAtMs := int64(0)
		if e.StartedAt > 0 {
			startedAtMs = clock.Wall(e.StartedAt).UnixMilli()
		}
		state.Endpoints = append(state.Endpoints, Endpoint{startedAtMs, e})
	}
	return state
}

// ToPolicy converts the state to a snapshot of the policy. clock is the receiver's clock.
func (p PolicyState) ToPolicy(clock Clock) policy.Snapshot {
	s := policy.Snapshot{Classes: p.Classes, Load: p.Load}
	for _, e := range p.Endpoints {
		e.StartedAt = 0
		if e.StartedAtMs > 0 {
			e.StartedAt = clock.At(time.UnixMilli(e.StartedAtMs))
		}
		s.Endpoints = append(s.Endpoints, e.EndpointSnapshot)
	}
	return s
}
