package policy

import (
	"cmp"
	"slices"
	"time"

	"yokestall/internal/slowstart"
)

// Endpoint updates: which endpoints exist, and in which state. The list is authoritative: an endpoint that is
// draining or removed gets no further attempt from the update on (maySend), and one that is missing from a
// full update is removed. What was learnt of an endpoint belongs to one start of it; a restart resets it.
// Ready endpoints stand in one order at every node, a hash ring, from which each node takes its subset.

// endpoint is a listed endpoint, or a removed one with attempts in flight, and what was learnt of it since
// its start.
type endpoint struct {
	Endpoint
	sameZone     bool   // in this node's zone
	ringPosition uint64 // the same at every node

	inFlight         []*attempt // of this node, oldest first; those to a former process are not among them
	incompleteBodies int        // of them, whose request bodies are incomplete
	sentSinceStart   bool       // an attempt was sent to it
	lastAnswerAt     time.Duration

	breaker               breaker
	consecutiveRejections int           // since the last answer
	pausedUntil           time.Duration // after consecutive rejections: no attempt until then
	slowStart             slowstart.Budget

	outcomes    outcomeWindow
	score       float64 // 0 to 1, higher is better, as of the last refresh
	successRate float64 // 0 to 1, as of the last refresh
	latency     float64 // multiple of the unloaded latency, as of the last refresh

	unloadedInflation float64 // mean logarithm of the latency over the class's, of unloaded attempts
	unloadedSamples   float64
}

// newEndpoint returns an endpoint of which nothing is known yet.
func newEndpoint(position uint64) endpoint {
	return endpoint{ringPosition: position, breaker: breaker{openDuration: minOpenDuration}}
}

// applyUpdate applies a list, or changes to it.
func (b *Balancer) applyUpdate(kind UpdateKind, entries []Endpoint) {
	if kind != DeltaUpdate {
		for _, e := range b.endpoints {
			e.State = Removed
		}
		b.ready = b.ready[:0]
	}
	for _, entry := range entries {
		b.applyEntry(entry)
	}
	b.ready = slices.DeleteFunc(b.ready, func(e *endpoint) bool { return e.State != Ready })
	b.subset.stale = true
	slices.SortFunc(b.ready, func(x, y *endpoint) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
	for id, e := range b.endpoints {
		if e.State == Removed && len(e.inFlight) == 0 {
			delete(b.endpoints, id)
		}
	}
}

// applyEntry applies one entry. Attempts that were sent to a former process of the endpoint are not answered
// any more.
func (b *Balancer) applyEntry(entry Endpoint) {
	e := b.endpoints[entry.ID]
	if e == nil {
		e = new(endpoint)
		*e = newEndpoint(ringPosition(entry))
		b.endpoints[entry.ID] = e
	} else if entry.StartedAt != e.StartedAt {
		for _, a := range e.inFlight {
			b.excludeFromLoad(a)
		}
		listed := e.Endpoint
		*e = newEndpoint(e.ringPosition)
		e.Endpoint = listed
	}
	wasReady := e.State == Ready
	e.Endpoint = entry
	e.sameZone = entry.Zone == b.settings.Zone
	if entry.State == Ready && !wasReady {
		b.ready = append(b.ready, e)
	}
}

// ringPosition orders the endpoints alike at every node. Those of a cell stand side by side, so that a subset
// contains the group that a request with an idempotency key is bound to (Class.DedupScope).
func ringPosition(e Endpoint) uint64 {
	const cellSalt = 0x9e3779b97f4a7c15 // cell 0 must not map to position 0
	return mix64(uint64(e.Cell)+cellSalt)&^(1<<32-1) | mix64(uint64(e.ID))>>32
}

// mix64 is the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
