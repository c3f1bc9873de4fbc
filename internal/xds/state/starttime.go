package state

import (
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/xds/translate"
)

// inferStartTimes sets the start times of the endpoints of a new version that have no start time from the control
// plane.
//
// An endpoint that is new, or was not usable before, counts as started now: it may have been, and an endpoint that is
// warming up must not get as much load as the others. If no usable endpoint stays, as when all are replaced, the new
// endpoints count as started long ago, as those of a first version do: no other endpoint could take their load.
func inferStartTimes(now time.Time, old, next *translate.Assignment) {
	anyStays := false
	forEachEndpoint(old, next, func(before, e *cluster.Endpoint, _ bool) {
		anyStays = anyStays || sameEndpoint(before, e) && before.Serves() && e.Serves()
	})
	forEachEndpoint(old, next, func(before, e *cluster.Endpoint, stated bool) {
		switch {
		case stated:
		case sameEndpoint(before, e) && (before.Serves() || !e.Serves()):
			e.StartedMs = before.StartedMs
		case anyStays:
			e.StartedMs = now.UnixMilli()
		}
	})
}

// sameEndpoint reports whether the endpoints before and e have the same id and address. before may be nil.
func sameEndpoint(before, e *cluster.Endpoint) bool {
	return before != nil && before.ID == e.ID && before.Address == e.Address
}

// forEachEndpoint calls visit for each endpoint of next, with the endpoint of the same id in old (nil if there is none)
// and whether the control plane states the start time. The endpoints of both versions have to be sorted by id.
func forEachEndpoint(old, next *translate.Assignment, visit func(before, e *cluster.Endpoint, stated bool)) {
	i := 0
	for j := range next.Endpoints {
		e := &next.Endpoints[j]
		for i < len(old.Endpoints) && old.Endpoints[i].ID < e.ID {
			i++
		}
		var before *cluster.Endpoint
		if i < len(old.Endpoints) && old.Endpoints[i].ID == e.ID {
			before = &old.Endpoints[i]
		}
		visit(before, e, j < len(next.StartStated) && next.StartStated[j])
	}
}
