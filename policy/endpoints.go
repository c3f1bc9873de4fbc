package policy

import (
	"cmp"
	"slices"
	"time"

	"yokestall/internal/slowstart"
)

// Endpoint updates determine which endpoints exist and in which state. The endpoint list is authoritative:
// an endpoint that is draining or removed gets no further attempt from the update on (maySend), and an
// endpoint that is missing from a full update is removed. Statistics and breaker state belong to one start
// of an endpoint; a restart resets them. Every node keeps the ready endpoints in the same order, a hash
// ring, from which each node takes its subset.

// endpoint is a listed endpoint, or a removed one that has attempts in flight, with the state learned since
// its start.
type endpoint struct {
	Endpoint
	sameZone     bool   // the endpoint is in this node's zone
	ringPosition uint64 // position on the hash ring; the same at every node

	inFlight         []*attempt    // this node's attempts in flight to the current process, oldest first
	incompleteBodies int           // number of attempts in inFlight whose request body is incomplete
	sentSinceStart   bool          // an attempt was sent to the endpoint since its start
	lastSuccessAt    time.Duration // time of the last success; 0 if there was none

	breaker               breaker
	consecutiveRejections int           // number of rejections since the last success
	pausedUntil           time.Duration // no attempt is sent before this time, after consecutive rejections
	slowStart             slowstart.Budget

	outcomes    outcomeWindow
	score       float64 // 0 to 1, higher is better, as of the last refresh
	successRate float64 // 0 to 1, as of the last refresh
	latency     float64 // multiple of the unloaded latency, as of the last refresh

	unloadedInflation float64 // mean of ln(latency / unloaded latency of the class) over unloaded attempts
	unloadedSamples   float64 // number of attempts in unloadedInflation, bounded by maxInflationSamples
}

// newEndpoint returns an endpoint without any statistics.
func newEndpoint(position uint64) endpoint {
	return endpoint{ringPosition: position, breaker: breaker{openDuration: minOpenDuration}}
}

// applyUpdate applies an endpoint list, or changes to the current one if the kind is DeltaUpdate.
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

// applyEntry applies one entry of an update. If the endpoint has restarted, its statistics are reset, and
// attempts to its former process no longer count against the concurrency limit, because no answers to them
// are expected.
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

// ringPosition returns the position of an endpoint on the hash ring, which is the same at every node. The
// endpoints of a cell are adjacent, so that a subset contains the group of endpoints to which a request
// with an idempotency key is bound (Class.DedupScope).
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
