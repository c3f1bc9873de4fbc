package cluster

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

func TestDiff(t *testing.T) {
	a := endpoints(6)
	b := append([]Endpoint(nil), a[1:]...) // without s-00000
	b[0].Weight = 7
	b[1].Address = "10.9.9.9:80"
	b[2].Health = Draining
	b[3].StartedMs = 5
	b = append(b, Endpoint{ID: "s-9", Address: "10.8.8.8:80"})
	got := Diff(newConfig("x", a), newConfig("x", b))
	want := Difference{
		Added: b[5:], Removed: a[:1], Draining: b[2:3],
		Changed:  []EndpointChange{{a[1], b[0]}},
		Replaced: []EndpointChange{{a[2], b[1]}, {a[4], b[3]}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got difference %+v\nwant %+v", got, want)
	}
	back := Diff(newConfig("x", b), newConfig("x", a))
	if len(back.Changed) != 2 || len(back.Removed) != 1 || len(back.Added) != 1 {
		t.Errorf("got difference %+v in the other direction, want 2 changed, 1 removed and 1 added", back)
	}
	if d := Diff(newConfig("x", a), newConfig("x", a)); !d.Empty() {
		t.Errorf("got difference %+v between a version and itself, want none", d)
	}
	if d := Diff(nil, newConfig("x", a)); len(d.Added) != 6 {
		t.Errorf("got difference %+v from nil to 6 endpoints, want 6 added", d)
	}
	if d := Diff(newConfig("x", a), nil); len(d.Removed) != 6 {
		t.Errorf("got difference %+v from 6 endpoints to nil, want 6 removed", d)
	}
}

// The difference between two random versions, applied to the old version, must give the new one.
func TestDiffAppliedGivesNewVersion(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	draw := func() *Config {
		var list []Endpoint
		for _, e := range endpoints(30) {
			if rnd.IntN(3) == 0 {
				continue
			}
			e.Weight, e.Health = float64(rnd.IntN(2)), Health(rnd.IntN(3))
			if rnd.IntN(4) == 0 {
				e.Address = "10.7.7.7:" + fmt.Sprint(rnd.IntN(2)+1)
			}
			list = append(list, e)
		}
		return newConfig("x", list)
	}
	for range 500 {
		a, b := draw(), draw()
		d := Diff(a, b)
		state := map[string]Endpoint{}
		for _, e := range a.Endpoints {
			state[e.ID] = e
		}
		for _, e := range d.Removed {
			delete(state, e.ID)
		}
		for _, list := range [][]Endpoint{d.Added, d.Draining} {
			for _, e := range list {
				state[e.ID] = e
			}
		}
		for _, list := range [][]EndpointChange{d.Changed, d.Replaced} {
			for _, c := range list {
				if state[c.Old.ID] != c.Old {
					t.Fatalf("the difference has old endpoint %+v, want %+v", c.Old, state[c.Old.ID])
				}
				state[c.New.ID] = c.New
			}
		}
		if len(state) != len(b.Endpoints) {
			t.Fatalf("got %d endpoints after applying the difference, want %d", len(state), len(b.Endpoints))
		}
		for _, e := range b.Endpoints {
			if state[e.ID] != e {
				t.Fatalf("got endpoint %+v after applying the difference, want %+v", state[e.ID], e)
			}
		}
	}
}

func BenchmarkDiffOneChanged(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x, y := newConfig("x", endpoints(n)), newConfig("x", endpoints(n))
			y.Endpoints[n/2].Weight = 2
			b.ReportAllocs()
			for b.Loop() {
				if d := Diff(x, y); len(d.Changed) != 1 {
					b.Fatal(d)
				}
			}
		})
	}
}
