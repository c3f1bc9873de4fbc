package cluster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

func endpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Weight: 1})
	}
	return list
}

func named(name string, list []Endpoint) *Config {
	return &Config{Name: name, Endpoints: list, ShrinkTo: -1, Source: name + ".toml"}
}

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *Config)
		want   string // "" for nothing wrong
	}{
		"good":               {func(*Config) {}, ""},
		"no name":            {func(c *Config) { c.Name = "" }, "name: is missing"},
		"long name":          {func(c *Config) { c.Name = strings.Repeat("x", MaxNameBytes+1) }, "name: is longer"},
		"name with space":    {func(c *Config) { c.Name = "a b" }, "character"},
		"none":               {func(c *Config) { c.Endpoints = nil }, "names no servers"},
		"none, meant":        {func(c *Config) { c.Endpoints, c.AllowEmpty = nil, true }, ""},
		"some, meant none":   {func(c *Config) { c.AllowEmpty = true }, "no_servers: 3 servers are named"},
		"shrink":             {func(c *Config) { c.ShrinkTo = 3 }, ""},
		"shrink, not so":     {func(c *Config) { c.ShrinkTo = 2 }, "shrink_to: says 2"},
		"no id":              {func(c *Config) { c.Endpoints[1].ID = "" }, "endpoint 2: id: is missing"},
		"id twice":           {func(c *Config) { c.Endpoints[2].ID = "s-00000" }, "endpoint 3 (s-00000): id: is endpoint 1's"},
		"address twice":      {func(c *Config) { c.Endpoints[2].Address = c.Endpoints[0].Address }, "endpoint 3 (s-00002): address: 10.0.0.1:80 is endpoint 1's"},
		"no address":         {func(c *Config) { c.Endpoints[0].Address = "" }, "address: is missing"},
		"no port":            {func(c *Config) { c.Endpoints[0].Address = "10.0.0.1" }, "no host:port"},
		"port 0":             {func(c *Config) { c.Endpoints[0].Address = "10.0.0.1:0" }, "1 to 65535"},
		"port 70000":         {func(c *Config) { c.Endpoints[0].Address = "10.0.0.1:70000" }, "1 to 65535"},
		"no host":            {func(c *Config) { c.Endpoints[0].Address = ":80" }, "no host"},
		"weight NaN":         {func(c *Config) { c.Endpoints[0].Weight = math.NaN() }, "weight: NaN"},
		"weight negative":    {func(c *Config) { c.Endpoints[0].Weight = -1 }, "weight: -1"},
		"weight huge":        {func(c *Config) { c.Endpoints[0].Weight = 1e7 }, "weight: 1e+07"},
		"weight infinite":    {func(c *Config) { c.Endpoints[0].Weight = math.Inf(1) }, "weight: +Inf"},
		"cell negative":      {func(c *Config) { c.Endpoints[0].Cell = -1 }, "cell: -1"},
		"started negative":   {func(c *Config) { c.Endpoints[0].StartedMs = -1 }, "started_ms"},
		"zone long":          {func(c *Config) { c.Endpoints[0].Zone = strings.Repeat("z", MaxNameBytes+1) }, "zone"},
		"too many":           {func(c *Config) { c.Endpoints = make([]Endpoint, MaxEndpoints+1) }, "20000 at most"},
		"everything at once": {func(c *Config) { c.Endpoints = make([]Endpoint, 1000) }, "is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			cl := named("rooms", endpoints(3))
			c.change(cl)
			err := cl.Check(func(i int, _ string) int { return 10 + i })
			switch {
			case c.want == "" && err != nil:
				t.Errorf("error %v", err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "rooms.toml:")):
				t.Errorf("error %v, want %q with its place", err, c.want)
			case err != nil && strings.Count(err.Error(), "\n") > 30:
				t.Errorf("%d lines of errors", strings.Count(err.Error(), "\n"))
			}
		})
	}
}

func TestHealthWords(t *testing.T) {
	for h := Healthy; h <= Unhealthy; h++ {
		if got, err := ParseHealth(h.String()); got != h || err != nil {
			t.Errorf("%v: %v, %v", h, got, err)
		}
	}
	if _, err := ParseHealth("poorly"); err == nil {
		t.Error("any word is a health")
	}
}

func TestCompare(t *testing.T) {
	a := endpoints(6)
	b := append([]Endpoint(nil), a[1:]...) // s-00000 goes
	b[0].Weight = 7
	b[1].Address = "10.9.9.9:80"
	b[2].Health = Draining
	b[3].StartedMs = 5
	b = append(b, Endpoint{ID: "s-9", Address: "10.8.8.8:80"})
	got := Diff(named("x", a), named("x", b))
	want := Difference{
		Added: b[5:], Removed: a[:1], Draining: b[2:3],
		Changed:  []EndpointChange{{a[1], b[0]}},
		Replaced: []EndpointChange{{a[2], b[1]}, {a[4], b[3]}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	back := Diff(named("x", b), named("x", a))
	if len(back.Changed) != 2 || len(back.Removed) != 1 || len(back.Added) != 1 {
		t.Errorf("back: %+v", back)
	}
	if d := Diff(named("x", a), named("x", a)); !d.Empty() {
		t.Errorf("a version differs from itself: %+v", d)
	}
	if d := Diff(nil, named("x", a)); len(d.Added) != 6 {
		t.Errorf("from nothing: %+v", d)
	}
	if d := Diff(named("x", a), nil); len(d.Removed) != 6 {
		t.Errorf("to nothing: %+v", d)
	}
}

// The difference, applied to the old version, gives the new one.
func TestCompareAddsUp(t *testing.T) {
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
		return named("x", list)
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
					t.Fatalf("%+v was %+v", c.Old, state[c.Old.ID])
				}
				state[c.New.ID] = c.New
			}
		}
		if len(state) != len(b.Endpoints) {
			t.Fatalf("%d endpoints, want %d", len(state), len(b.Endpoints))
		}
		for _, e := range b.Endpoints {
			if state[e.ID] != e {
				t.Fatalf("%+v, want %+v", state[e.ID], e)
			}
		}
	}
}

func TestReview(t *testing.T) {
	version := func(list ...*Config) *Version {
		v := &Version{Clusters: map[string]*Config{}}
		for _, c := range list {
			v.Clusters[c.Name] = c
		}
		return v
	}
	ten := endpoints(10)
	drained := endpoints(10)
	for i := range 6 {
		drained[i].Health = Draining
	}
	shrunk := named("x", ten[:2])
	shrunk.ShrinkTo = 2
	empty := named("x", nil)
	empty.AllowEmpty = true
	one := named("x", ten[:1])
	for name, c := range map[string]struct {
		old, new *Version
		want     string
	}{
		"first":              {nil, version(named("x", nil)), ""},
		"same":               {version(named("x", ten)), version(named("x", ten)), ""},
		"half":               {version(named("x", ten)), version(named("x", ten[5:])), ""},
		"more than half":     {version(named("x", ten)), version(named("x", ten[6:])), "6 of 10 servers would go at once"},
		"more, meant":        {version(named("x", ten)), version(shrunk), ""},
		"all, meant":         {version(named("x", ten)), version(empty), ""},
		"drained":            {version(named("x", ten)), version(named("x", drained)), "6 of 10"},
		"drained ones go":    {version(named("x", drained)), version(named("x", drained[6:])), ""},
		"cluster gone":       {version(named("x", ten)), version(), "to remove a cluster"},
		"empty cluster gone": {version(empty), version(), ""},
		"one of two":         {version(named("x", ten[:2])), version(one), ""},
		"the last":           {version(one), version(named("x", nil)), "1 of 1"},
		"another grows":      {version(one), version(one, named("y", ten)), ""},
		"all exchanged":      {version(named("x", ten[:5])), version(named("x", ten[5:])), "5 of 5"},
	} {
		t.Run(name, func(t *testing.T) {
			err := CheckRemovals(c.old, c.new, 0.5)
			switch {
			case c.want == "" && err != nil:
				t.Error(err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestKey(t *testing.T) {
	a := Endpoint{ID: "s", Address: "10.0.0.1:80"}
	b := a
	b.Weight = 3
	c := a
	c.Address = "10.0.0.2:80"
	if a.Key() != b.Key() || a.Key() == c.Key() {
		t.Errorf("keys %x, %x, %x", a.Key(), b.Key(), c.Key())
	}
}

func BenchmarkCompareOneChanged(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x, y := named("x", endpoints(n)), named("x", endpoints(n))
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
