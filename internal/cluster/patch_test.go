package cluster

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// A random patch has the same result as on a map; one that doesn't fit the list is an error, and nothing changes.
func TestPatchAgainstMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(39, 3))
	c := &Config{Name: "rooms", ShrinkTo: ShrinkUnspecified}
	plain := map[string]Endpoint{}
	draw := func() Endpoint {
		i := rng.IntN(60)
		return Endpoint{
			ID: fmt.Sprintf("s-%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i+60*(rng.IntN(8)/7)),
			Weight: float64(rng.IntN(3)), Health: Health(rng.IntN(2)),
		}
	}
	good, rejected := 0, 0
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
		want, ok := applyToMap(plain, p)
		before := slices.Clone(c.Endpoints)
		next, err := c.Apply(p)
		if (err == nil) != ok {
			t.Fatalf("%+v: %v, want success: %v", p, err, ok)
		}
		if !reflect.DeepEqual(before, c.Endpoints) && len(before) > 0 {
			t.Fatal("the patch changed the earlier version")
		}
		if err != nil {
			rejected++
			continue
		}
		good++
		c, plain = next, want
		if err := c.Check(nil); err != nil || len(c.Endpoints) != len(plain) {
			t.Fatalf("%v; %d of %d", err, len(c.Endpoints), len(plain))
		}
		for _, e := range c.Endpoints {
			if plain[e.ID] != e {
				t.Fatalf("%+v, want %+v", e, plain[e.ID])
			}
		}
	}
	if good < 500 || rejected < 500 {
		t.Errorf("%d good, %d rejected", good, rejected)
	}
}

// applyToMap applies a patch to endpoints by id; false: it doesn't fit them.
func applyToMap(plain map[string]Endpoint, p *Patch) (map[string]Endpoint, bool) {
	out := map[string]Endpoint{}
	for id, e := range plain {
		out[id] = e
	}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(p.RemovedIDs))) {
		if _, there := out[id]; !there {
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
