package app

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/testutil"
)

// idleNow returns a time at which each cluster that is not in use has been idle for long enough.
func (a *App) idleNow() time.Duration {
	return a.clock.Now() + a.idleAfter(a.state.Load()) + time.Second
}

// Clusters without requests cost no goroutines: a cluster is active from its first request on, and no longer once it
// has been idle.
func TestClustersAreActiveWhileUsed(t *testing.T) {
	const count = 200
	server := testutil.StartAppServer(t, "b")
	before := runtime.NumGoroutine()
	s := serve(t, servicesSnapshot(t, count, server))
	if n := runtime.NumGoroutine() - before; n > count/4 {
		t.Errorf("%d goroutines more for %d clusters without requests", n, count)
	}
	for i := range 3 {
		if got := s.requestStatus(i); got != http.StatusOK {
			t.Fatalf("service %d: status %d", i, got)
		}
	}
	if n := s.app.ActiveClusters(); n != 3 {
		t.Errorf("%d clusters are active after requests to 3", n)
	}
	if n := s.app.deactivateIdle(s.app.clock.Now()); n != 0 {
		t.Errorf("%d clusters were deactivated right after a request", n)
	}
	if n := s.app.deactivateIdle(s.app.idleNow()); n != 3 || s.app.ActiveClusters() != 0 {
		t.Errorf("%d clusters were deactivated of 3 without requests; %d are active", n, s.app.ActiveClusters())
	}
	if got := s.requestStatus(1); got != http.StatusOK || s.app.ActiveClusters() != 1 {
		t.Errorf("status %d of a service that was idle; %d are active", got, s.app.ActiveClusters())
	}
}

// A request may arrive at any moment of a check whether its cluster is idle: all are answered while the cluster is
// deactivated over and over.
func TestRequestsDuringDeactivation(t *testing.T) {
	server := testutil.StartAppServer(t, "b")
	s := serve(t, servicesSnapshot(t, 1, server))
	const clients, times = 2, 15
	var notServed atomic.Int64
	var done atomic.Bool
	answered := make(chan struct{})
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for !done.Load() {
				if s.requestStatus(0) != http.StatusOK {
					notServed.Add(1)
				}
				answered <- struct{}{}
			}
		})
	}
	go func() { running.Wait(); close(answered) }()
	requests, deactivated := 0, 0
	for range answered { // the other client's request is anywhere on its way
		requests++
		deactivated += s.app.deactivateIdle(s.app.idleNow())
		done.Store(deactivated >= times)
	}
	if n := notServed.Load(); n > 0 {
		t.Errorf("%d of %d requests were not served while the cluster was deactivated %d times", n, requests, deactivated)
	}
}

// The same without sockets, for the race between a check for idleness and a request alone: a request that begins at any
// moment of a check has engines that last until its end.
func TestDeactivationRace(t *testing.T) {
	const requests = 2000
	s := serve(t, servicesSnapshot(t, 1, testutil.StartAppServer(t, "b")))
	r := s.app.state.Load().clusters["s0"]
	checks := make(chan struct{}, 1) // the next request begins beside the check at the last one's end
	go func() {
		defer close(checks)
		for i := range requests {
			for range i % 8 {
				runtime.Gosched() // a check is at another place each time
			}
			r.inFlight.Add(1)
			tiers, err := r.activate()
			if err != nil {
				t.Error(err)
				return
			}
			for range 4 { // the check that may have begun before the request is over then
				checks <- struct{}{}
			}
			select {
			case <-tiers.list[0].engine.Ended():
				t.Errorf("request %d: its engine ended under it", i)
				return
			default:
			}
			r.endRequest()
			checks <- struct{}{}
		}
	}()
	deactivated := 0
	for range checks {
		deactivated += s.app.deactivateIdle(s.app.idleNow())
	}
	if !t.Failed() && deactivated < requests/10 {
		t.Errorf("the cluster was deactivated %d times over %d requests", deactivated, requests)
	}
}

// An update applies to a cluster without engines too: a server that was drained meanwhile gets no request.
func TestUpdateWhileIdle(t *testing.T) {
	stays, leaves := testutil.StartAppServer(t, "stays"), testutil.StartAppServer(t, "leaves")
	first := servicesSnapshot(t, 1, stays, leaves)
	s := serve(t, first)
	s.requestStatus(0)
	if s.app.deactivateIdle(s.app.idleNow()) != 1 {
		t.Fatal("the cluster is still active")
	}
	next := serviceConfig(0, stays, leaves)
	for i := range next.Endpoints {
		if e := &next.Endpoints[i]; e.ID == leaves.Name {
			e.Health = cluster.Draining
		}
	}
	if !s.app.ApplyClusters(time.Now(), []*cluster.Config{next}) {
		t.Fatal("the version was not taken")
	}
	if s.app.ActiveClusters() != 0 {
		t.Error("an update activated a cluster without requests")
	}
	before := leaves.Count()
	for range 40 {
		if got := s.requestStatus(0); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
	}
	if n := leaves.Count() - before; n != 0 {
		t.Errorf("%d of 40 requests went to a server that drains", n)
	}
}

// A cluster with an open stream that its class bounds stays active, so that a drain still reaches the stream.
func TestStreamsKeepClustersActive(t *testing.T) {
	started, end := make(chan struct{}), make(chan struct{})
	server := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, strings.Repeat("x", 1<<10))
		w.(http.Flusher).Flush()
		started <- struct{}{}
		select {
		case <-end:
		case <-r.Context().Done():
		}
	})
	endpoint := cluster.Endpoint{ID: "b", Address: server.Addr(), Weight: 1}
	s := serve(t, snapshot(parse(t, streamText("stream = \"1h\"\n")), rooms(endpoint)))
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/", nil)
	resp, err := s.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Wait(t, started, "the stream")
	rooms := s.app.state.Load().clusters["rooms"]
	testutil.Until(t, "the request's end", func() bool { return rooms.inFlight.Load() == 0 })
	if n := s.app.deactivateIdle(s.app.idleNow()); n != 0 {
		t.Error("a cluster with an open stream was deactivated")
	}
	close(end)
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	testutil.Until(t, "the cluster to be deactivated", func() bool { return s.app.deactivateIdle(s.app.idleNow()) == 1 })
}

// A cluster stays active until the slow start of servers that were new at its last request is over, and late answers
// are no longer awaited.
func TestIdleAfterFollowsSettings(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *config.Program)
		want   time.Duration
	}{
		"nothing longer":   {func(p *config.Program) { p.Rules.SlowStartWindow = 0 }, 2 * time.Minute},
		"as the file says": {func(p *config.Program) { p.ClusterIdle = time.Hour }, time.Hour},
		"slow start": {func(p *config.Program) {
			p.Rules.SlowStartWindow, p.Rules.OverloadDuration = time.Hour, time.Second
		}, time.Hour + time.Second},
		"late answers": {func(p *config.Program) {
			p.Repeats.Late, p.Classes[0].DedupWindow = true, 24*time.Hour
		}, 24 * time.Hour},
	} {
		p := *parse(t, program)
		p.Classes = append([]config.Class(nil), p.Classes...)
		c.change(&p)
		s := serve(t, snapshot(&p, rooms(endpointOf(testutil.StartAppServer(t, "b")))))
		if got := s.app.idleAfter(s.app.state.Load()); got != c.want {
			t.Errorf("%s: idle after %v, want %v", name, got, c.want)
		}
	}
}
