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

// A version leaves no memory behind: after many changes of settings the heap has the size that it had after few.
func TestChangesLeaveNothing(t *testing.T) {
	const count = 100
	first := servicesSnapshot(t, count, testutil.StartAppServer(t, "b"))
	s := serve(t, first)
	change := func(times int) (heap uint64) {
		for i := range times {
			p := *first.Program
			p.Limits.MaxRetryAfter += time.Duration(1+i%2) * time.Millisecond
			if err := s.app.Apply(&files.Configuration{Program: &p, Version: first.Version}); err != nil {
				t.Fatal(err)
			}
			s.requestStatus(i % count) // so that engines are among what is replaced
		}
		s.app.deactivateIdle(s.app.idleNow())
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	few := change(20)
	many := change(200)
	if grown := int64(many) - int64(few); grown > 200*count*16 { // 16 bytes for each cluster of each version
		t.Errorf("200 changes of settings left %d bytes, %d for each cluster of each", grown, grown/200/count)
	}
}

// A thousand versions, some of which start every cluster anew, leave no memory,
// goroutine or descriptor behind.
func TestThousandVersions(t *testing.T) {
	b := testutil.StartAppServer(t, "box-1")
	p := parse(t, program)
	other := parse(t, strings.Replace(program, "attempts = 3", "attempts = 2", 1))
	s := serve(t, snapshot(p, rooms(endpointOf(b))))
	apply := func(n int) {
		for i := range n {
			extra := cluster.Endpoint{
				ID: fmt.Sprintf("x-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), Health: cluster.Draining,
			}
			next := p
			if i%10 == 5 {
				next = other
			}
			if err := s.app.Apply(snapshot(next, rooms(endpointOf(b), extra))); err != nil {
				t.Fatal(err)
			}
			if i%50 == 0 {
				if status, _, _ := s.get("/x", ""); status != 200 {
					t.Fatalf("version %d: status %d", i, status)
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
	testutil.Until(t, "goroutines and descriptors to be as few as before", func() bool {
		return runtime.NumGoroutine() <= g0+10 && descriptors() <= d0+10
	})
	if h1 := heap(); h1 > h0+4<<20 {
		t.Errorf("heap %d to %d bytes", h0, h1)
	}
}
