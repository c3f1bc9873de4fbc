package state

import (
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/xds/translate"
)

// inferStartTimes sets the start times of the endpoints of a new version, where the control plane states none.
//
// An endpoint that is new, or was not usable before, counts as started now: it may well have been, and one that warms
// up must not get what the others can take. Where no usable endpoint stays, as in a replacement of all of them, the new
// ones count as started long ago, as those of a first version do: no other endpoint could take their load.
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

// sameEndpoint reports whether an endpoint was there before, under the same id and address. before may be nil.
func sameEndpoint(before, e *cluster.Endpoint) bool {
	return before != nil && before.ID == e.ID && before.Address == e.Address
}

// forEachEndpoint calls visit with each endpoint of a version, the one of the same id in an older version (nil if there
// is none), and whether its start time is stated. Both versions are sorted by id.
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
