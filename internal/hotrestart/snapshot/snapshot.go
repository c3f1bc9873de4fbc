// Package snapshot is the encoding in which the learnt state of a node is passed from one of its
// processes to the next: a snapshot with a version, a checksum and the time at which it was taken.
// It is pure. Parts that are out of range or do not fit the receiver are dropped one by one; a part
// that is dropped only makes the receiver learn it anew.
package snapshot

import (
	"time"

	"yokestall/internal/discovery"
	"yokestall/policy"
)

// Snapshot is what one process passes to the next. Times of starts are wall time, so that they hold
// on the receiver's clock.
type Snapshot struct {
	Version   int    `json:"version"` // set by Encode
	Node      string `json:"node"`    // name of the node
	TakenAtMs int64  `json:"takenMs"` // Unix milliseconds
	// Classes are the names of the sender's classes, in the order of Policy.Classes.
	Classes []string `json:"classes"`
	// Generation is the version of the endpoint list, ListReceived whether the sender had it from
	// discovery, Instances the list.
	Generation   uint64               `json:"generation"`
	ListReceived bool                 `json:"listed"`
	Instances    []discovery.Instance `json:"list"`
	Policy       PolicyState          `json:"module"`
}

// PolicyState is policy.Snapshot with starts in wall time.
type PolicyState struct {
	Classes   []policy.ClassSnapshot `json:"classes"`
	Load      policy.LoadSnapshot    `json:"bounds"`
	Endpoints []Endpoint             `json:"servers"`
}

// Endpoint is policy.EndpointSnapshot with its start in wall time.
type Endpoint struct {
	StartedAtMs int64 `json:"startedMs"` // Unix milliseconds; 0: not known, long ago
	policy.EndpointSnapshot
}

// Clock converts between wall time and the monotonic clock of a process.
type Clock interface {
	At(wall time.Time) time.Duration
	Wall(at time.Duration) time.Time
}

// FromPolicy returns the form of the policy's state that is passed on. clock is the sender's.
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

// ToPolicy returns the policy's form. clock is the receiver's.
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
