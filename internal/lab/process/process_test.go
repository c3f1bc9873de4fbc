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

// tiny is a size that is small enough for fast tests.
var tiny = Size{Name: "tiny", Services: 7, Servers: 3, Routes: 100, Tenants: 40, Nodes: 10}

// The same size, seed and place give the same files and requests. Another seed gives another main configuration file.
func TestGeneratorRepeats(t *testing.T) {
	g := Generator{Size: tiny, Seed: 1, Place: DefaultPlace()}
	program, cluster, request := g.Program(Settings{}), g.Cluster(3, 0), g.Request(17, 7)
	if !bytes.Equal(program, g.Program(Settings{})) || !bytes.Equal(cluster, g.Cluster(3, 0)) ||
		request != g.Request(17, 7) {
		t.Error("the same generator gives different files or requests the second time")
	}
	g.Seed = 2
	if bytes.Equal(program, g.Program(Settings{})) {
		t.Error("seeds 1 and 2 give the same main configuration file")
	}
}

// The program accepts the generated files. They have the numbers of services, servers, routes and tenants that the size has, and
// each request of the load is routed to the cluster of its service.
func TestGeneratedIsAccepted(t *testing.T) {
	withTenantsFile := tiny
	withTenantsFile.TenantsFile, withTenantsFile.MemoryMB = true, 64
	oneFile, twoFiles := checkGenerated(t, tiny), checkGenerated(t, withTenantsFile)
	if oneFile.MemoryLimit != 0 || twoFiles.MemoryLimit != 64<<20 {
		t.Errorf("memory limits %d and %d, want 0 and %d", oneFile.MemoryLimit, twoFiles.MemoryLimit, 64<<20)
	}
	if !reflect.DeepEqual(oneFile.Tenants, twoFiles.Tenants) {
		t.Error("the tenants in a separate file differ from those in the main configuration file")
	}
}

// checkGenerated writes the files of a size, loads and checks them, and returns the loaded program.
func checkGenerated(t *testing.T, size Size) *config.Program {
	t.Helper()
	g := Generator{Size: size, Seed: 1, Place: DefaultPlace()}
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
	clusters, tenants := len(s.Version.Clusters), len(s.Program.Tenants)
	if clusters != size.Services || servers != size.Services*size.Servers || routes != size.Routes ||
		tenants != size.Tenants {
		t.Errorf("%d clusters, %d servers, %d routes, %d tenants; want those of %+v", clusters, servers, routes, tenants, size)
	}
	for n := range 1000 {
		checkRequest(t, s.Program, g.Request(n, size.Services))
	}
	return s.Program
}

// checkRequest checks that a request is routed to its service's cluster, and has an idempotency key exactly if its class is
// "write".
func checkRequest(t *testing.T, p *config.Program, r Request) {
	t.Helper()
	q := route.Request{Host: r.Host, Path: r.Path, Method: r.Method}
	m, ok := p.Table.Lookup(&q)
	if !ok || m.Cluster != ServiceName(r.Service) || (m.Route.Class == "write") != (r.Key != "") {
		t.Fatalf("request %+v: found a route %v, to cluster %q with class %q; want cluster %q, and class write only with a key",
			r, ok, m.Cluster, m.Route.Class, ServiceName(r.Service))
	}
}

// A change of one value of Settings alters one line of the main configuration file.
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
			t.Errorf("a change of %s alters %d of %d lines and gives %d lines; want 1 altered line",
				name, changed, len(before), len(after))
		}
	}
	if bytes.Equal(g.Cluster(0, 0), g.Cluster(0, 1)) {
		t.Error("a change of an endpoint list doesn't alter the cluster file")
	}
}

// Errors of a plan have the number of the faulty line. The plans of the repository have no errors.
func TestPlans(t *testing.T) {
	paths, err := filepath.Glob("../../../deploy/lab/process/*.toml")
	if err != nil || len(paths) < 3 {
		t.Fatalf("found plans %v, error %v; want at least 3 plans", paths, err)
	}
	for _, path := range paths {
		if _, err := ReadPlan(path); err != nil {
			t.Error(err)
		}
	}
	const good = "[[size]]\nname = \"a\"\nservices = 2\nservers = 1\nroutes = 2\nnodes = 1\n"
	const badSlope = "[[slope]]\nname = \"s\"\nper = \"nodes\"\nsizes = [\"a\", \"a\", \"b\"]\n"
	for text, want := range map[string]string{
		"":               "nothing would be measured",
		good + "speed=1": "p:7: size.speed: is no known key",
		strings.Replace(good, "routes = 2", "routes = 1", 1): "p:5: size 1: routes: 1 is not from 2 to",
		good + good:                 "p:8: size 2: name: must be set and differ from the names of the other sizes",
		"rest = \"1h\"\n" + good:    "rest: 1h0m0s is not from 0",
		"changes = [1, 1]\n" + good: "changes: 1 is not greater than the total before it, 1",
		good + badSlope:             "\"nodes\" is not one of services, routes and tenants",
	} {
		if _, err := ParsePlan("p", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("plan %q: error %v, want one that contains %q", text, err, want)
		}
	}
}

// CPU time and memory are parsed from the files in /proc. A file without them is an error.
func TestUsageIsRead(t *testing.T) {
	stat := "7 (a) name (b)) S 1 7 7 0 -1 0 0 0 0 0 250 50 0 0 20 0 9 0 1 1 1\n"
	status := "Name:\ta\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\n"
	u, err := parseUsage(stat, status)
	if want := (Usage{CPU: 3 * time.Second, RSS: 1 << 20, Peak: 2 << 20}); err != nil || u != want {
		t.Errorf("usage %+v, error %v; want %+v", u, err, want)
	}
	for _, bad := range [][2]string{
		{"7 (a) S 1", status},
		{stat, "Name:\ta\n"},
		{strings.Replace(stat, "250", "x", 1), status},
	} {
		if _, err := parseUsage(bad[0], bad[1]); err == nil {
			t.Errorf("no error for stat and status %q", bad)
		}
	}
}

// A fit is the line of least squares with its residual. There is no fit if all points have the same x.
func TestFit(t *testing.T) {
	f, ok := fit([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	if !ok || math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-1) > 1e-9 || f.Residual > 1e-9 || f.Points != 4 {
		t.Errorf("fit %+v, found %v; want slope 2, intercept 1, residual 0, 4 points", f, ok)
	}
	// The points differ from y = x by +1, -2 and +1. The fitted line is y = x, and the residual is the root of 6 divided by 1,
	// the number of points minus 2.
	f, _ = fit([]float64{1, 2, 3}, []float64{2, 0, 4})
	if math.Abs(f.Slope-1) > 1e-9 || math.Abs(f.Intercept) > 1e-9 || math.Abs(f.Residual-math.Sqrt(6)) > 1e-9 {
		t.Errorf("fit %+v, want slope 1, intercept 0, residual %v", f, math.Sqrt(6))
	}
	if _, ok := fit([]float64{1, 1, 1}, []float64{1, 2, 3}); ok {
		t.Error("points with the same x have a fit")
	}
}

// A slope is fitted to the figures that at least three of its sizes have and that are not wall times, over the measured sizes.
// Sizes that were not measured, and a slope without a fit, have a note each.
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
	want := Fit{Key: "by.memory", Dimension: "services", Slope: 2, Intercept: 80, Points: 3, Unit: "MB"}
	if len(r.Slopes) != 1 || r.Slopes[0] != want || len(r.Notes) != 0 {
		t.Errorf("slopes %+v, notes %q; want only the slope %+v", r.Slopes, r.Notes, want)
	}
	r.slope(Slope{Name: "none", Dimension: "tenants", Sizes: []string{"a", "b", "c", "d"}})
	if len(r.Slopes) != 1 || len(r.Notes) != 2 {
		t.Errorf("slopes %+v, notes %q; want the slope by.memory alone, and two notes", r.Slopes, r.Notes)
	}
}
