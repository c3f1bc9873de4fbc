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

// afterIdleTimeout returns a time on the app's clock at which each cluster that is not in use now can be deactivated.
func (a *App) afterIdleTimeout() time.Duration {
	return a.clock.Now() + a.idleAfter(a.state.Load()) + time.Second
}

// A cluster without requests must have no engines and thus no goroutines. It becomes active with its first request, and is
// deactivated when it has been idle.
func TestClustersAreActiveWhileUsed(t *testing.T) {
	const count = 200
	server := testutil.StartAppServer(t, "b")
	before := runtime.NumGoroutine()
	s := serve(t, servicesConfiguration(t, count, server))
	if n := runtime.NumGoroutine() - before; n > count/4 {
		t.Errorf("%d more goroutines for %d clusters without requests, want at most %d", n, count, count/4)
	}
	for i := range 3 {
		if got := s.requestStatus(i); got != http.StatusOK {
			t.Fatalf("service %d: status %d, want 200", i, got)
		}
	}
	if n := s.app.ActiveClusters(); n != 3 {
		t.Errorf("%d clusters are active after requests to 3 clusters, want 3", n)
	}
	if n := s.app.deactivateIdle(s.app.clock.Now()); n != 0 {
		t.Errorf("%d clusters were deactivated right after a request, want none", n)
	}
	if n := s.app.deactivateIdle(s.app.afterIdleTimeout()); n != 3 || s.app.ActiveClusters() != 0 {
		t.Errorf("%d idle clusters were deactivated, %d are active; want 3 and 0", n, s.app.ActiveClusters())
	}
	if got := s.requestStatus(1); got != http.StatusOK || s.app.ActiveClusters() != 1 {
		t.Errorf("request to an idle cluster: status %d, %d active clusters; want 200 and 1", got, s.app.ActiveClusters())
	}
}

// Requests that arrive at any moment of the deactivation of their cluster must be served. The test deactivates the cluster
// repeatedly while two clients send requests.
func TestRequestsDuringDeactivation(t *testing.T) {
	server := testutil.StartAppServer(t, "b")
	s := serve(t, servicesConfiguration(t, 1, server))
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
	for range answered { // one client got an answer; the other client's request may be in any phase
		requests++
		deactivated += s.app.deactivateIdle(s.app.afterIdleTimeout())
		done.Store(deactivated >= times)
	}
	if n := notServed.Load(); n > 0 {
		t.Errorf("%d of %d requests were not served while the cluster was deactivated %d times", n, requests, deactivated)
	}
}

// A request that begins at any moment of the deactivation of its cluster must get engines that run until its end. Unlike
// TestRequestsDuringDeactivation, this test uses no sockets and calls activate directly, so that only the race between
// activate and deactivate is tested.
func TestDeactivationRace(t *testing.T) {
	const requests = 2000
	s := serve(t, servicesConfiguration(t, 1, testutil.StartAppServer(t, "b")))
	r := s.app.state.Load().clusters["s0"]
	checks := make(chan struct{}, 1) // buffered: the next request begins while the check at the last request's end runs
	go func() {
		defer close(checks)
		for i := range requests {
			for range i % 8 {
				runtime.Gosched() // varies the place in deactivate at which the request begins
			}
			r.inFlight.Add(1)
			tiers, err := r.activate()
			if err != nil {
				t.Error(err)
				return
			}
			for range 4 { // waits until a check that began before the request has ended
				checks <- struct{}{}
			}
			select {
			case <-tiers.list[0].engine.Ended():
				t.Errorf("request %d: the engine ended during the request", i)
				return
			default:
			}
			r.endRequest()
			checks <- struct{}{}
		}
	}()
	deactivated := 0
	for range checks {
		deactivated += s.app.deactivateIdle(s.app.afterIdleTimeout())
	}
	if !t.Failed() && deactivated < requests/10 {
		t.Errorf("the cluster was deactivated %d times over %d requests, want at least %d", deactivated, requests, requests/10)
	}
}

// An update of an idle cluster must apply when the cluster becomes active again: a server that was marked as draining
// while the cluster was idle gets no request.
func TestUpdateWhileIdle(t *testing.T) {
	stays, leaves := testutil.StartAppServer(t, "stays"), testutil.StartAppServer(t, "leaves")
	first := servicesConfiguration(t, 1, stays, leaves)
	s := serve(t, first)
	s.requestStatus(0)
	if s.app.deactivateIdle(s.app.afterIdleTimeout()) != 1 {
		t.Fatal("the cluster is still active")
	}
	next := serviceConfig(0, stays, leaves)
	for i := range next.Endpoints {
		if e := &next.Endpoints[i]; e.ID == leaves.Name {
			e.Health = cluster.Draining
		}
	}
	if !s.app.ApplyClusters(time.Now(), []*cluster.Config{next}) {
		t.Fatal("ApplyClusters did not apply the version")
	}
	if s.app.ActiveClusters() != 0 {
		t.Error("an update activated a cluster without requests")
	}
	before := leaves.Count()
	for range 40 {
		if got := s.requestStatus(0); got != http.StatusOK {
			t.Fatalf("status %d, want 200", got)
		}
	}
	if n := leaves.Count() - before; n != 0 {
		t.Errorf("%d of 40 requests went to the draining server, want none", n)
	}
}

// A cluster with an open stream that has a timeout must stay active, so that a drain still applies to the stream.
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
	s := serve(t, newConfiguration(parse(t, programWithStreamSetting("stream = \"1h\"\n")), roomsCluster(endpoint)))
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/", nil)
	resp, err := s.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Wait(t, started, "the stream to start")
	rooms := s.app.state.Load().clusters["rooms"]
	testutil.Until(t, "the request to end", func() bool { return rooms.inFlight.Load() == 0 })
	if n := s.app.deactivateIdle(s.app.afterIdleTimeout()); n != 0 {
		t.Error("a cluster with an open stream was deactivated")
	}
	close(end)
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	testutil.Until(t, "the cluster to be deactivated", func() bool { return s.app.deactivateIdle(s.app.afterIdleTimeout()) == 1 })
}

// A cluster stays active without requests for the configured time, and at least until the slow start of servers that were
// new at its last request is over and late answers can no longer arrive.
func TestIdleAfterFollowsSettings(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *config.Program)
		want   time.Duration
	}{
		"default": {func(p *config.Program) { p.Rules.SlowStartWindow = 0 }, 2 * time.Minute},
		"setting": {func(p *config.Program) { p.ClusterIdle = time.Hour }, time.Hour},
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
		s := serve(t, newConfiguration(&p, roomsCluster(endpointOf(testutil.StartAppServer(t, "b")))))
		if got := s.app.idleAfter(s.app.state.Load()); got != c.want {
			t.Errorf("%s: idle after %v, want %v", name, got, c.want)
		}
	}
}
