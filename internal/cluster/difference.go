package cluster

// EndpointChange is an endpoint of the same id in the old and the new version of a cluster.
type EndpointChange struct{ Old, New Endpoint }

// Difference lists the endpoints that differ between two versions of a cluster. Each endpoint is in at most one list.
type Difference struct {
	Added    []Endpoint
	Replaced []EndpointChange // same id with another address or start time, so another process
	Changed  []EndpointChange // other fields differ; includes endpoints that serve again
	Draining []Endpoint       // new version of endpoints that served before and get no new requests any more
	Removed  []Endpoint
}

// Empty reports whether no endpoint differs.
func (d *Difference) Empty() bool {
	return len(d.Added)+len(d.Replaced)+len(d.Changed)+len(d.Draining)+len(d.Removed) == 0
}

// Diff returns the difference between two versions of a cluster whose endpoints are sorted, as Check leaves them. A nil
// version stands for a cluster without endpoints. Diff makes one pass over both versions, and allocates memory only for
// the endpoints that differ.
func Diff(before, after *Config) Difference {
	var d Difference
	var old, next []Endpoint
	if before != nil {
		old = before.Endpoints
	}
	if after != nil {
		next = after.Endpoints
	}
	if len(old) > 0 && len(old) == len(next) && &old[0] == &next[0] {
		return d // both versions share one list of endpoints
	}
	for i, j := 0, 0; i < len(old) || j < len(next); {
		switch {
		case j == len(next) || i < len(old) && old[i].ID < next[j].ID:
			d.Removed = append(d.Removed, old[i])
			i++
		case i == len(old) || next[j].ID < old[i].ID:
			d.Added = append(d.Added, next[j])
			j++
		default:
			d.addChange(&old[i], &next[j])
			i++
			j++
		}
	}
	return d
}

// addChange adds an endpoint that is in both versions to a list, if its two versions differ.
func (d *Difference) addChange(before, after *Endpoint) {
	switch {
	case before.Address != after.Address || before.StartedMs != after.StartedMs:
		d.Replaced = append(d.Replaced, EndpointChange{*before, *after})
	case before.Serves() && !after.Serves():
		d.Draining = append(d.Draining, *after)
	case *before != *after:
		d.Changed = append(d.Changed, EndpointChange{*before, *after})
	}
}
