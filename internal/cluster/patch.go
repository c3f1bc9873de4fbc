package cluster

import (
	"fmt"
	"slices"
)

// Patch is a change to one cluster's list of endpoints.
type Patch struct {
	Name       string
	Upserts    []Endpoint // endpoints to add, or to replace by id; checked, and sorted by id
	RemovedIDs []string   // ids of the endpoints to remove
	Source     string
}

// Apply returns the cluster with a patch applied, after one pass over both. It does not change c. The result has neither
// AllowEmpty nor ShrinkTo set. The error is a *Problem for a patch that does not fit the cluster: an id that is both
// upserted and removed, an id to remove that the cluster does not have, an address that another endpoint has, upserts
// that are not sorted, or a result with no endpoints or with too many.
func (c *Config) Apply(p *Patch) (*Config, error) {
	removed := make(map[string]bool, len(p.RemovedIDs))
	for _, id := range p.RemovedIDs {
		removed[id] = true
	}
	newAddresses := make(map[string]string, len(p.Upserts)) // maps an address to the endpoint's id
	for i := range p.Upserts {
		e := &p.Upserts[i]
		newAddresses[e.Address] = e.ID
		if removed[e.ID] {
			return nil, c.patchProblem(p, "endpoint %s is both in the change's endpoints and among the removed", e.ID)
		}
	}
	out := *c
	out.Endpoints = make([]Endpoint, 0, len(c.Endpoints)+len(p.Upserts))
	out.AllowEmpty, out.ShrinkTo = false, ShrinkUnspecified
	found := 0 // number of ids to remove that are in the cluster
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
				return nil, c.patchProblem(p, "endpoint %s has the address %s, which the change gives to endpoint %s",
					e.ID, e.Address, id)
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

// checkPatched checks the number and the order of the endpoints of a patch's result.
func (c *Config) checkPatched(p *Patch, out *Config) error {
	switch n := len(out.Endpoints); {
	case n > MaxEndpoints:
		return c.patchProblem(p, "%d endpoints after the change, at most %d are allowed", n, MaxEndpoints)
	case n == 0:
		return c.patchProblem(p, "the change leaves no endpoints, which is allowed in a complete list only")
	case !slices.IsSortedFunc(out.Endpoints, compareIDs):
		return c.patchProblem(p, "the change's endpoints are not sorted by id")
	}
	return nil
}

// patchProblem returns the error for a patch that can't be applied.
func (c *Config) patchProblem(p *Patch, format string, args ...any) error {
	return &Problem{Source: p.Source, Field: "cluster " + c.Name, Text: fmt.Sprintf(format, args...)}
}
