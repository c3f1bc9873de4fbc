package process

import (
	"bytes"
	"math"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/route"
)

// tiny is a size that everything fits in a second of.
var tiny = Size{Name: "tiny", Services: 7, Servers: 3, Routes: 100, Tenants: 40, Nodes: 10}

// The same size, seed and place give the same bytes, another seed others.
func TestGeneratorRepeats(t *testing.T) {
	g := Generator{Size: tiny, Seed: 1, Place: DefaultPlace()}
	first, cluster, ask := g.Program(Settings{}), g.Cluster(3, 0), g.Request(17, 7)
	if !bytes.Equal(first, g.Program(Settings{})) || !bytes.Equal(cluster, g.Cluster(3, 0)) || ask != g.Request(17, 7) {
		t.Error("twice the same is not the same")
	}
	g.Seed = 2
	if bytes.Equal(first, g.Program(Settings{})) {
		t.Error("another seed gives the same program")
	}
}

// The program takes what is generated, with as many services, servers, routes and tenants as the size says, and each
// request of the load is led to the cluster of its service.
func TestGeneratedIsTaken(t *testing.T) {
	apart := tiny
	apart.TenantsFile, apart.MemoryMB = true, 64
	whole, split := generatedIsTaken(t, tiny), generatedIsTaken(t, apart)
	if whole.MemoryLimit != 0 || split.MemoryLimit != 64<<20 {
		t.Errorf("limits of memory %d and %d", whole.MemoryLimit, split.MemoryLimit)
	}
	if !reflect.DeepEqual(whole.Tenants, split.Tenants) {
		t.Error("the tenants in a file of their own are others")
	}
}

func generatedIsTaken(t *testing.T, tiny Size) *config.Program {
	t.Helper()
	g := Generator{Size: tiny, Seed: 1, Place: DefaultPlace()}
	dir := t.TempDir()
	if err := g.Write(dir); err != nil {
		t.Fatal(err)
	}
	s, err := files.Load(filepath.Join(dir, programFile))
	if err != nil {
		t.Fatal(err)
	}
	routes := 0
	for i := range s.Program.Hosts {
		if s.Program.Hosts[i].Name != "version" {
			routes += len(s.Program.Hosts[i].Routes)
		}
	}
	servers := 0
	for _, c := range s.Version.Clusters {
		servers += len(c.Endpoints)
	}
	if len(s.Version.Clusters) != tiny.Services || servers != tiny.Services*tiny.Servers || routes != tiny.Routes || len(s.Program.Tenants) != tiny.Tenants {
		t.Errorf("%d clusters, %d servers, %d routes, %d tenants", len(s.Version.Clusters), servers, routes, len(s.Program.Tenants))
	}
	for n := range 1000 {
		checkAsk(t, s.Program, g.Request(n, tiny.Services))
	}
	return s.Program
}

// checkAsk holds a request against the routes: it leads to its service's cluster, and has a key where the class wants
// one.
func checkAsk(t *testing.T, p *config.Program, a Request) {
	t.Helper()
	q := route.Request{Host: a.Host, Path: a.Path, Method: a.Method}
	m, ok := p.Table.Lookup(&q)
	if !ok || m.Cluster != ServiceName(a.Service) || (m.Route.Class == "write") != (a.Key != "") {
		t.Fatalf("%+v leads to %q of class %q", a, m.Cluster, m.Route.Class)
	}
}

// What a change alters is what it says, and nothing else.
func TestChangesAlterOneThing(t *testing.T) {
	g := Generator{Size: tiny, Seed: 1, Place: DefaultPlace()}
	before := strings.Split(string(g.Program(Settings{})), "\n")
	for name, s := range map[string]Settings{"settings": {Step: 1}, "a route": {Text: 1}, "the version": {Version: 1}} {
		after, changed := strings.Split(string(g.Program(s)), "\n"), 0
		for i := range before {
			if before[i] != after[i] {
				changed++
			}
		}
		if changed != 1 || len(after) != len(before) {
			t.Errorf("a change of %s alters %d lines", name, changed)
		}
	}
	if bytes.Equal(g.Cluster(0, 0), g.Cluster(0, 1)) {
		t.Error("a change of a list alters nothing")
	}
}

// Faults in a plan are told by line, and the plans of the repository have none.
func TestPlans(t *testing.T) {
	paths, err := filepath.Glob("../../../deploy/lab/process/*.toml")
	if err != nil || len(paths) < 3 {
		t.Fatalf("%v, %v", paths, err)
	}
	for _, path := range paths {
		if _, err := ReadPlan(path); err != nil {
			t.Error(err)
		}
	}
	const good = "[[size]]\nname = \"a\"\nservices = 2\nservers = 1\nroutes = 2\nnodes = 1\n"
	for text, want := range map[string]string{
		"":               "nothing would be measured",
		good + "speed=1": "p:7: size.speed: is no known key",
		strings.Replace(good, "routes = 2", "routes = 1", 1): "p:5: size 1: routes: 1 is not from 2 to",
		good + good:                 "p:8: size 2: name: wants a name of its own",
		"rest = \"1h\"\n" + good:    "rest: 1h0m0s is not from 0",
		"changes = [1, 1]\n" + good: "changes: 1 does not go up from 1",
		good + "[[slope]]\nname = \"s\"\nper = \"nodes\"\nsizes = [\"a\", \"a\", \"b\"]\n": "\"nodes\" is none of services, routes, tenants",
	} {
		if _, err := ParsePlan("p", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, not %q", text, err, want)
		}
	}
}

func TestUsageIsRead(t *testing.T) {
	stat := "7 (a) name (b)) S 1 7 7 0 -1 0 0 0 0 0 250 50 0 0 20 0 9 0 1 1 1\n"
	status := "Name:\ta\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\n"
	u, err := parseUsage(stat, status)
	if want := (Usage{CPU: 3 * time.Second, RSS: 1 << 20, Peak: 2 << 20}); err != nil || u != want {
		t.Errorf("%+v, %v", u, err)
	}
	for _, bad := range [][2]string{{"7 (a) S 1", status}, {stat, "Name:\ta\n"}, {strings.Replace(stat, "250", "x", 1), status}} {
		if _, err := parseUsage(bad[0], bad[1]); err == nil {
			t.Errorf("%q gives no error", bad)
		}
	}
}

// A line and its residual are what arithmetic says; points at one place give none.
func TestFit(t *testing.T) {
	f, ok := fit([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	if !ok || math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-1) > 1e-9 || f.Residual > 1e-9 || f.Points != 4 {
		t.Errorf("%+v, %v", f, ok)
	}
	// Off by +1, -2, +1 from y = x: the line stays, and the residual is the root of 6 over 1.
	f, _ = fit([]float64{1, 2, 3}, []float64{2, 0, 4})
	if math.Abs(f.Slope-1) > 1e-9 || math.Abs(f.Intercept) > 1e-9 || math.Abs(f.Residual-math.Sqrt(6)) > 1e-9 {
		t.Errorf("%+v", f)
	}
	if _, ok := fit([]float64{1, 1, 1}, []float64{1, 2, 3}); ok {
		t.Error("a line through points at one place")
	}
}

// A slope takes the figures that its sizes share, by the sizes as they were measured.
func TestSlopesOfAReport(t *testing.T) {
	r := Report{}
	for i, name := range []string{"a", "b", "c"} {
		r.Sizes = append(r.Sizes, Size{Name: name, Services: 10 * (i + 1), Tenants: 5})
		r.Figures = append(r.Figures, Figure{name + ".memory", float64(100 + 20*i), "MB"})
	}
	r.Figures = append(r.Figures, Figure{"a.alone", 1, "s"})
	for _, name := range []string{"a", "b", "c"} {
		r.Figures = append(r.Figures, Figure{name + ".check.wall", 1, "s"})
	}
	r.slope(Slope{Name: "by", Dimension: "services", Sizes: []string{"a", "b", "c"}})
	if len(r.Slopes) != 1 || r.Slopes[0] != (Fit{Key: "by.memory", Dimension: "services", Slope: 2, Intercept: 80, Points: 3, Unit: "MB"}) || len(r.Notes) != 0 {
		t.Errorf("%+v, %v", r.Slopes, r.Notes)
	}
	r.slope(Slope{Name: "none", Dimension: "tenants", Sizes: []string{"a", "b", "c", "d"}})
	if len(r.Slopes) != 1 || len(r.Notes) != 2 {
		t.Errorf("%+v, %v", r.Slopes, r.Notes)
	}
}
