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

// program runs the program under test in processes that the tests start.
func program() {
	if err := cli.New(os.Stdout, os.Stderr).ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func TestMain(m *testing.M) { testutil.MainOr(m, program) }

// maxCounterError is the maximum difference in MB between two of the kernel's figures of the same memory. The kernel counts
// pages on each CPU and adds up the counts in batches.
const maxCounterError = 2

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

// In a complete run of a real process, requests are answered, changes come into force, and each figure has a valid value and a
// unit.
func TestMeasure(t *testing.T) {
	plan, err := process.ParsePlan("tiny", []byte(tinyPlan))
	if err != nil {
		t.Fatal(err)
	}
	command, env := testutil.SelfCommand()
	r, err := process.Measure(t.Context(), plan, t.TempDir(), command, env, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, f := range r.Figures {
		// The CPU time per request may be negative: the CPU time of the idle process is subtracted, and the plan's short idle
		// period measures it inexactly.
		negative := f.Value < 0 && !strings.HasSuffix(f.Key, ".cpu_per_request")
		invalid := negative || math.IsNaN(f.Value) || math.IsInf(f.Value, 0)
		if f.Unit == "" || invalid || seen[f.Key] || !strings.HasPrefix(f.Key, "tiny.") {
			t.Errorf("figure %+v: want a unit, a finite value that is not negative, and a unique key that begins with tiny", f)
		}
		seen[f.Key] = true
	}
	value := func(name string) float64 {
		f, ok := r.Value("tiny." + name)
		if !ok {
			t.Errorf("the report has no figure tiny.%s", name)
		}
		return f.Value
	}
	if value("check.taken") != 1 || value("load.200.services_2.asked") < 1 || value("load.200.services_all.served") < 1 {
		t.Errorf("figures %+v, notes %q; want an accepted check, requested services_2 and served services_all", r.Figures, r.Notes)
	}
	for _, memory := range []string{
		"ready.memory", "rest.memory", "load.memory", "settings.1.memory", "settings.3.memory", "route.1.memory",
		"list.2.memory",
	} {
		if v := value(memory); v <= 0 || v > value("end.peak")+maxCounterError {
			t.Errorf("%s is %v MB, want more than 0 and at most the peak of %v MB", memory, v, value("end.peak"))
		}
	}
	for _, change := range []string{"settings.of_1", "settings.of_2", "route.of_1", "list.of_2"} {
		if value(change+".in_force_p50") <= 0 {
			t.Errorf("%s.in_force_p50 is not positive", change)
		}
	}
	for _, n := range r.Notes {
		if strings.Contains(n, "context") || strings.Contains(n, "refuse") || strings.Contains(n, "rejected") {
			t.Errorf("note on a cancelled context, a refused connection or a rejected configuration: %s", n)
		}
	}
}

// A size whose number of tenants is rejected has notes, and is measured with FallbackTenants. With OnlyIfAccepted, it is not
// measured.
func TestRejectedTenants(t *testing.T) {
	text := strings.NewReplacer(
		"tenants = 40\nnodes", "tenants = 20000000\nnodes",
		"rates = [200]", "rates = []",
	).Replace(tinyPlan)
	plan, err := process.ParsePlan("tiny", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	plan.Sizes[0].Tenants = config.MaxTenants + 1
	command, env := testutil.SelfCommand()
	r, err := process.Measure(t.Context(), plan, t.TempDir(), command, env, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	f, _ := r.Value("tiny.check.taken")
	if f.Value != 0 || len(r.Sizes) != 1 || r.Sizes[0].Tenants != 40 || len(r.Notes) < 2 {
		t.Errorf("figure %+v, sizes %+v, notes %q; want value 0, one size with 40 tenants, at least 2 notes", f, r.Sizes, r.Notes)
	}
	plan.Sizes[0].OnlyIfAccepted = true
	r, err = process.Measure(t.Context(), plan, t.TempDir(), command, env, io.Discard)
	if err != nil || len(r.Sizes) != 0 {
		t.Errorf("with OnlyIfAccepted: measured sizes %+v, error %v; want none", r.Sizes, err)
	}
}

// inProcess is the program under test running in the test's own process, so that the test can count its heap objects.
type inProcess struct {
	t         *testing.T
	dir, addr string
	generator process.Generator
	settings  process.Settings
	requests  int
}

// startInProcess starts the program with a configuration of a size. The program ends with the test.
func startInProcess(t *testing.T, size process.Size) *inProcess {
	// Addresses of the servers. They store nothing of their requests, because the test would count those heap objects too.
	var servers []string
	for range size.Servers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "served")
		}))
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		servers = append(servers, server.Listener.Addr().String())
	}
	s := &inProcess{t: t, dir: t.TempDir(), generator: process.Generator{Size: size, Seed: 1, Place: process.Place{
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

func (s *inProcess) path() string { return filepath.Join(s.dir, "served", "yokestall.toml") }

// change replaces the settings, waits until the new settings are in force, and sends one request for each service.
func (s *inProcess) change() {
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
		return s.get(process.Request{Method: http.MethodGet, Host: process.VersionHost, Path: "/version"}) == want
	})
	for range s.generator.Size.Services {
		s.get(s.generator.Request(s.requests, s.generator.Size.Services))
		s.requests++
	}
}

// get sends a request over a new connection, and returns the response body without surrounding white space.
func (s *inProcess) get(a process.Request) string {
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

// liveObjects returns the numbers of heap objects and goroutines after a garbage collection.
func liveObjects() (objects uint64, goroutines int) {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // Frees the objects that finalizers released after the first collection.
	runtime.ReadMemStats(&m)
	return m.HeapObjects, runtime.NumGoroutine()
}

// The objects of a version are freed when another version replaces it: after 100 changes the program has about as many heap
// objects and goroutines as after 10. The number of objects may grow by less than a tenth, so that the test finds ten leaked
// objects for each of the 90 changes, or two for each cluster and change.
func TestChangesDontLeak(t *testing.T) {
	const few, many = 10, 100
	s := startInProcess(t, process.Size{Services: 7, Servers: 3, Routes: 100, Tenants: 40, Nodes: 10})
	for range few {
		s.change()
	}
	objects, goroutines := liveObjects()
	for range many - few {
		s.change()
	}
	var nowObjects uint64
	var nowGoroutines int
	defer func() {
		t.Logf("after %d changes: %d objects, %d goroutines; after %d changes: %d objects, %d goroutines",
			few, objects, goroutines, many, nowObjects, nowGoroutines)
	}()
	testutil.Until(t, "the objects of earlier versions to be freed", func() bool {
		nowObjects, nowGoroutines = liveObjects()
		return nowObjects < objects+objects/10 && nowGoroutines <= goroutines+10
	})
}
