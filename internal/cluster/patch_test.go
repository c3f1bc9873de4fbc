package cluster

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// Random patches must have the same result on a cluster as on a map of endpoints. A patch that does not fit must return an
// error, and no patch may change the earlier version.
func TestPatchAgainstMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(39, 3))
	c := &Config{Name: "rooms", ShrinkTo: ShrinkUnspecified}
	reference := map[string]Endpoint{}
	draw := func() Endpoint {
		i := rng.IntN(60)
		return Endpoint{
			ID: fmt.Sprintf("s-%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i+60*(rng.IntN(8)/7)),
			Weight: float64(rng.IntN(3)), Health: Health(rng.IntN(2)),
		}
	}
	applied, rejected := 0, 0
	for range 3000 {
		p := &Patch{Name: "rooms"}
		for range rng.IntN(4) {
			if e := draw(); !slices.ContainsFunc(p.Upserts, func(o Endpoint) bool { return o.ID == e.ID }) {
				p.Upserts = append(p.Upserts, e)
			}
		}
		slices.SortFunc(p.Upserts, compareIDs)
		for range rng.IntN(3) {
			p.RemovedIDs = append(p.RemovedIDs, draw().ID)
		}
		want, ok := applyToMap(reference, p)
		before := slices.Clone(c.Endpoints)
		next, err := c.Apply(p)
		if (err == nil) != ok {
			t.Fatalf("patch %+v: got error %v, want success %v", p, err, ok)
		}
		if !reflect.DeepEqual(before, c.Endpoints) && len(before) > 0 {
			t.Fatal("the patch changed the earlier version")
		}
		if err != nil {
			rejected++
			continue
		}
		applied++
		c, reference = next, want
		if err := c.Check(nil); err != nil || len(c.Endpoints) != len(reference) {
			t.Fatalf("got error %v from Check and %d endpoints, want %d", err, len(c.Endpoints), len(reference))
		}
		for _, e := range c.Endpoints {
			if reference[e.ID] != e {
				t.Fatalf("got endpoint %+v, want %+v", e, reference[e.ID])
			}
		}
	}
	if applied < 500 || rejected < 500 {
		t.Errorf("got %d applied and %d rejected patches, want at least 500 of each", applied, rejected)
	}
}

// applyToMap returns a map of endpoints by id with a patch applied. The result is false if the patch does not fit.
func applyToMap(reference map[string]Endpoint, p *Patch) (map[string]Endpoint, bool) {
	out := map[string]Endpoint{}
	for id, e := range reference {
		out[id] = e
	}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(p.RemovedIDs))) {
		if _, found := out[id]; !found {
			return nil, false
		}
		delete(out, id)
	}
	for _, e := range p.Upserts {
		if slices.Contains(p.RemovedIDs, e.ID) {
			return nil, false
		}
		out[e.ID] = e
	}
	addresses := map[string]bool{}
	for _, e := range out {
		if addresses[e.Address] {
			return nil, false
		}
		addresses[e.Address] = true
	}
	return out, len(out) > 0
}
