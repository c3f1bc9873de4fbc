package cluster

import (
	"cmp"
	"fmt"
	"slices"
)

// Patch is a change of one cluster's list.
type Patch struct {
	Name       string
	Upserts    []Endpoint // new ones, and those that are another now; checked, by id
	RemovedIDs []string   // ids
	Source     string
}

// Apply gives the cluster as a patch makes it, at the cost of one pass. What doesn't go with the list is an error: an
// id to remove that it hasn't, an address that another endpoint has.
func (c *Config) Apply(p *Patch) (*Config, error) {
	fail := func(format string, args ...any) error {
		return &Problem{Source: p.Source, Field: "cluster " + c.Name, Text: fmt.Sprintf(format, args...)}
	}
	gone := make(map[string]bool, len(p.RemovedIDs))
	for _, id := range p.RemovedIDs {
		gone[id] = true
	}
	addresses := make(map[string]string, len(p.Upserts))
	for i := range p.Upserts {
		addresses[p.Upserts[i].Address] = p.Upserts[i].ID
		if gone[p.Upserts[i].ID] {
			return nil, fail("%s is removed and named", p.Upserts[i].ID)
		}
	}
	out := *c
	out.Endpoints = make([]Endpoint, 0, len(c.Endpoints)+len(p.Upserts))
	found, at := 0, 0
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		for at < len(p.Upserts) && p.Upserts[at].ID < e.ID {
			out.Endpoints = append(out.Endpoints, p.Upserts[at])
			at++
		}
		switch {
		case at < len(p.Upserts) && p.Upserts[at].ID == e.ID:
			out.Endpoints = append(out.Endpoints, p.Upserts[at])
			at++
		case gone[e.ID]:
			found++
		default:
			if id, taken := addresses[e.Address]; taken {
				return nil, fail("%s has the address %s that %s is to have", e.ID, e.Address, id)
			}
			out.Endpoints = append(out.Endpoints, *e)
		}
	}
	out.Endpoints = append(out.Endpoints, p.Upserts[at:]...)
	switch n := len(out.Endpoints); {
	case found < len(gone):
		return nil, fail("%d of %d servers to remove are not in the list", len(gone)-found, len(gone))
	case n > MaxEndpoints:
		return nil, fail("%d endpoints; %d at most", n, MaxEndpoints)
	case n == 0:
		return nil, fail("no servers are left; a change can't mean that")
	}
	out.AllowEmpty, out.ShrinkTo = false, -1
	if !slices.IsSortedFunc(out.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }) {
		return nil, fail("the change is not in the order of its ids")
	}
	return &out, nil
}
