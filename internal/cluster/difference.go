package cluster

// EndpointChange is an endpoint before and after.
type EndpointChange struct{ Old, New Endpoint }

// Difference lists what differs between two versions of a cluster. Each endpoint is in one list at most.
type Difference struct {
	Added    []Endpoint
	Replaced []EndpointChange // another address or start under the same id: another process
	Changed  []EndpointChange // other fields, or it serves again
	Draining []Endpoint       // those that served and get no new requests any more
	Removed  []Endpoint
}

// Empty reports whether nothing differs.
func (d *Difference) Empty() bool {
	return len(d.Added)+len(d.Replaced)+len(d.Changed)+len(d.Draining)+len(d.Removed) == 0
}

// Diff returns the difference between two versions of a cluster whose endpoints are sorted, as Check leaves them; nil
// stands for a cluster without endpoints. It costs one pass over both, with memory for what differs alone.
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
		return d // the two share their list
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

// addChange adds an endpoint that both versions have, if it differs.
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
