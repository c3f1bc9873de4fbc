package process_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"yokestall/internal/cli"
	"yokestall/internal/config"
	"yokestall/internal/lab/process"
	"yokestall/internal/testutil"
)

// program is the product program, for tests that start real processes of it.
func program() {
	if err := cli.New(os.Stdout, os.Stderr).ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func TestMain(m *testing.M) { testutil.MainOr(m, program) }

// countersError is by how many MB two figures of the system on the same memory may differ: it counts pages on each
// CPU, and adds them up in batches.
const countersError = 2

const tinyPlan = `
seed = 1
tenants_if_refused = 40
rates = [200]
in_use = [2, 0]
server_time = "1ms"
load = "300ms"
rest = "50ms"
settle = "64ms"
changes = [1, 3]
route_changes = 1
list_changes = 2

[[size]]
name = "tiny"
services = 7
servers = 3
routes = 100
tenants = 40
nodes = 10
`

// A real process is measured whole: each request has an answer, each change is in force, each figure is there with
// its unit.
func TestMeasure(t *testing.T) {
	plan, err := process.ParsePlan("tiny", []byte(tinyPlan))
	if err != nil {
		t.Fatal(err)
	}
	itself, env := testutil.SelfCommand()
	r, err := process.Measure(t.Context(), plan, t.TempDir(), itself, env, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, f := range r.Figures {
		// The CPU time of a request leaves out what the process takes at rest, which is a guess over so short a rest.
		less := f.Value < 0 && !strings.HasSuffix(f.Key, ".cpu_per_request")
		if f.Unit == "" || less || math.IsNaN(f.Value) || math.IsInf(f.Value, 0) || seen[f.Key] || !strings.HasPrefix(f.Key, "tiny.") {
			t.Errorf("%+v", f)
		}
		seen[f.Key] = true
	}
	value := func(what string) float64 {
		f, ok := r.Value("tiny." + what)
		if !ok {
			t.Errorf("no figure %s", what)
		}
		return f.Value
	}
	if value("check.taken") != 1 || value("load.200.services_2.asked") < 1 || value("load.200.services_all.served") < 1 {
		t.Errorf("%+v, %v", r.Figures, r.Notes)
	}
	for _, memory := range []string{"ready.memory", "rest.memory", "load.memory", "settings.1.memory", "settings.3.memory", "route.1.memory", "list.2.memory"} {
		if v := value(memory); v <= 0 || v > value("end.peak")+countersError {
			t.Errorf("%s is %v MB, the most was %v", memory, v, value("end.peak"))
		}
	}
	for _, change := range []string{"settings.of_1", "settings.of_2", "route.of_1", "list.of_2"} {
		if value(change+".in_force_p50") <= 0 {
			t.Errorf("%s took no time", change)
		}
	}
	for _, n := range r.Notes {
		if strings.Contains(n, "context") || strings.Contains(n, "refuse") {
			t.Error(n)
		}
	}
}

// A size whose tenants are refused is noted, and measured with fewer, or not at all where it says so.
func TestRefusedTenants(t *testing.T) {
	text := strings.NewReplacer("tenants = 40\nnodes", "tenants = 20000000\nnodes", "rates = [200]", "rates = []").Replace(tinyPlan)
	plan, err := process.ParsePlan("tiny", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	plan.Sizes[0].Tenants = config.MaxTenants + 1
	itself, env := testutil.SelfCommand()
	r, err := process.Measure(t.Context(), plan, t.TempDir(), itself, env, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if f, _ := r.Value("tiny.check.taken"); f.Value != 0 || len(r.Sizes) != 1 || r.Sizes[0].Tenants != 40 || len(r.Notes) < 2 {
		t.Errorf("%+v, %+v, %v", f, r.Sizes, r.Notes)
	}
	plan.Sizes[0].OnlyIfTaken = true
	if r, err = process.Measure(t.Context(), plan, t.TempDir(), itself, env, io.Discard); err != nil || len(r.Sizes) != 0 {
		t.Errorf("%+v, %v", r.Sizes, err)
	}
}

// inside is the program within the test's own process, whose heap can be counted.
type inside struct {
	t         *testing.T
	dir, addr string
	generator process.Generator
	settings  process.Settings
	asked     int
}

func newInside(t *testing.T, size process.Size) *inside {
	var servers []string // that keep nothing of what they are asked, or it would be counted
	for range size.Servers {
		b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") }))
		t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
		servers = append(servers, b.Listener.Addr().String())
	}
	s := &inside{t: t, dir: t.TempDir(), generator: process.Generator{Size: size, Seed: 1, Place: process.Place{
		Listen: "127.0.0.1:0", Server: func(j int) string { return servers[j] },
	}}}
	if err := s.generator.Write(filepath.Join(s.dir, "served")); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ready, ended := make(chan net.Addr, 1), make(chan error, 1)
	go func() {
		ended <- cli.Serve(ctx, s.path(), slog.New(slog.DiscardHandler), func(a net.Addr) { ready <- a })
	}()
	t.Cleanup(func() {
		stop()
		if err := testutil.Wait(t, ended, "the program's end"); err != nil {
			t.Error(err)
		}
	})
	s.addr = testutil.Wait(t, ready, "the program to listen").String()
	return s
}

func (s *inside) path() string { return filepath.Join(s.dir, "served", "yokestall.toml") }

// change has other settings be in force, and some requests be served by them.
func (s *inside) change() {
	s.settings.Version++
	s.settings.Step++
	written := filepath.Join(s.dir, "next")
	if err := os.WriteFile(written, s.generator.Program(s.settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(written, s.path()); err != nil {
		s.t.Fatal(err)
	}
	want := process.VersionText(s.settings)
	testutil.Until(s.t, want, func() bool {
		return s.get(process.Ask{Method: http.MethodGet, Host: process.VersionHost, Path: "/version"}) == want
	})
	for range s.generator.Size.Services {
		s.get(s.generator.Ask(s.asked, s.generator.Size.Services))
		s.asked++
	}
}

// get makes a request over a connection of its own, and gives the answer's text.
func (s *inside) get(a process.Ask) string {
	q, err := http.NewRequest(a.Method, "http://"+s.addr+a.Path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	q.Host, q.Close = a.Host, true
	if a.Tenant != "" {
		q.Header.Set("X-Tenant-Id", a.Tenant)
	}
	if a.Key != "" {
		q.Header.Set("Idempotency-Key", a.Key)
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		s.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return strings.TrimSpace(string(text))
}

// held counts what is alive after a collection.
func held() (objects uint64, goroutines int) {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers of the first let go
	runtime.ReadMemStats(&m)
	return m.HeapObjects, runtime.NumGoroutine()
}

// What a version of the settings needed is let go when another takes its place: after 100 changes the program holds
// about as many objects and goroutines as after 10. The bound is a tenth: ten objects kept of each of the 90 changes
// between are found, so two of each cluster.
func TestChangesLetGo(t *testing.T) {
	const few, many = 10, 100
	s := newInside(t, process.Size{Services: 7, Servers: 3, Routes: 100, Tenants: 40, Nodes: 10})
	for range few {
		s.change()
	}
	objects, goroutines := held()
	for range many - few {
		s.change()
	}
	var nowObjects uint64
	var nowGoroutines int
	defer func() {
		t.Logf("after %d changes %d objects and %d goroutines, after %d %d and %d", few, objects, goroutines, many, nowObjects, nowGoroutines)
	}()
	testutil.Until(t, "what changes held to be let go", func() bool {
		nowObjects, nowGoroutines = held()
		return nowObjects < objects+objects/10 && nowGoroutines <= goroutines+10
	})
}
