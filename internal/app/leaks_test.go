package app

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
)

// Replaced versions must not leak memory: after 200 further changes of settings, the heap has about the size that it had
// after 20.
func TestChangesLeaveNothing(t *testing.T) {
	const count = 100
	first := servicesConfiguration(t, count, testutil.StartAppServer(t, "b"))
	s := serve(t, first)
	change := func(times int) (heap uint64) {
		for i := range times {
			p := *first.Program
			p.Limits.MaxRetryAfter += time.Duration(1+i%2) * time.Millisecond
			if err := s.app.Apply(&files.Configuration{Program: &p, Version: first.Version}); err != nil {
				t.Fatal(err)
			}
			s.requestStatus(i % count) // activates a cluster, so that running engines are replaced too
		}
		s.app.deactivateIdle(s.app.afterIdleTimeout())
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	few := change(20)
	many := change(200)
	if grown := int64(many) - int64(few); grown > 200*count*16 { // 16 bytes per cluster and version
		t.Errorf("the heap grew by %d bytes over 200 changes of settings, %d per cluster and change; want at most 16",
			grown, grown/200/count)
	}
}

// A thousand versions must not leak memory, goroutines or file descriptors. Every tenth version has other settings, so that
// its cluster and that of the next version are replaced.
func TestThousandVersions(t *testing.T) {
	b := testutil.StartAppServer(t, "box-1")
	p := parse(t, program)
	other := parse(t, strings.Replace(program, "attempts = 3", "attempts = 2", 1))
	s := serve(t, newConfiguration(p, roomsCluster(endpointOf(b))))
	apply := func(n int) {
		for i := range n {
			extra := cluster.Endpoint{
				ID: fmt.Sprintf("x-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), Health: cluster.Draining,
			}
			next := p
			if i%10 == 5 {
				next = other
			}
			if err := s.app.Apply(newConfiguration(next, roomsCluster(endpointOf(b), extra))); err != nil {
				t.Fatal(err)
			}
			if i%50 == 0 {
				if status, _, _ := s.get("/x", ""); status != 200 {
					t.Fatalf("version %d: status %d, want 200", i, status)
				}
			}
		}
	}
	descriptors := func() int {
		list, _ := os.ReadDir("/proc/self/fd")
		return len(list)
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	apply(100)
	s.client.CloseIdleConnections()
	testutil.Until(t, "retired clusters to end", func() bool { return runtime.NumGoroutine() < 40 })
	g0, d0, h0 := runtime.NumGoroutine(), descriptors(), heap()
	apply(1000)
	s.client.CloseIdleConnections()
	testutil.Until(t, "goroutines and descriptors to be as few as before, within 10 each", func() bool {
		return runtime.NumGoroutine() <= g0+10 && descriptors() <= d0+10
	})
	if h1 := heap(); h1 > h0+4<<20 {
		t.Errorf("the heap grew from %d to %d bytes, want at most 4 MiB more", h0, h1)
	}
}
