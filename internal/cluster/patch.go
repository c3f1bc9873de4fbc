package cluster

import (
	"fmt"
	"slices"
)

// Patch is a change to one cluster's list of endpoints.
type Patch struct {
	Name       string
	Upserts    []Endpoint // to add, or to replace those of the same id; checked, and sorted by id
	RemovedIDs []string
	Source     string
}

// Apply returns the cluster with a patch applied, at the cost of one pass over both. c stays as it is. The error is a
// Problem for a patch that doesn't fit the list: an id to remove that is not in it, an address that another endpoint
// has, too many endpoints, or none.
func (c *Config) Apply(p *Patch) (*Config, error) {
	removed := make(map[string]bool, len(p.RemovedIDs))
	for _, id := range p.RemovedIDs {
		removed[id] = true
	}
	newAddresses := make(map[string]string, len(p.Upserts)) // to the id
	for i := range p.Upserts {
		e := &p.Upserts[i]
		newAddresses[e.Address] = e.ID
		if removed[e.ID] {
			return nil, c.patchProblem(p, "%s is removed and named", e.ID)
		}
	}
	out := *c
	out.Endpoints = make([]Endpoint, 0, len(c.Endpoints)+len(p.Upserts))
	out.AllowEmpty, out.ShrinkTo = false, ShrinkUnspecified
	found := 0 // of the ids to remove
	upserts := p.Upserts
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		for len(upserts) > 0 && upserts[0].ID < e.ID {
			out.Endpoints, upserts = append(out.Endpoints, upserts[0]), upserts[1:]
		}
		switch {
		case len(upserts) > 0 && upserts[0].ID == e.ID:
			out.Endpoints, upserts = append(out.Endpoints, upserts[0]), upserts[1:]
		case removed[e.ID]:
			found++
		default:
			if id, taken := newAddresses[e.Address]; taken {
				return nil, c.patchProblem(p, "%s has the address %s that %s is to have", e.ID, e.Address, id)
			}
			out.Endpoints = append(out.Endpoints, *e)
		}
	}
	out.Endpoints = append(out.Endpoints, upserts...)
	if found < len(removed) {
		return nil, c.patchProblem(p, "%d of %d servers to remove are not in the list", len(removed)-found, len(removed))
	}
	if err := c.checkPatched(p, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// checkPatched checks the result of a patch.
func (c *Config) checkPatched(p *Patch, out *Config) error {
	switch n := len(out.Endpoints); {
	case n > MaxEndpoints:
		return c.patchProblem(p, "%d endpoints; %d at most", n, MaxEndpoints)
	case n == 0:
		return c.patchProblem(p, "no servers are left; a change can't mean that")
	case !slices.IsSortedFunc(out.Endpoints, compareIDs):
		return c.patchProblem(p, "the change is not in the order of its ids")
	}
	return nil
}

// patchProblem returns the error for a patch that can't be applied.
func (c *Config) patchProblem(p *Patch, format string, args ...any) error {
	return &Problem{Source: p.Source, Field: "cluster " + c.Name, Text: fmt.Sprintf(format, args...)}
}
