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

// idleNow is a time at which each cluster that is not in use has been idle for long enough.
func (a *App) idleNow() time.Duration {
	return a.clock.Now() + a.idleAfter(a.state.Load()) + time.Second
}

// Guards against a cost of clusters that exist and aren't used: they hold no goroutine, and those without requests give
// theirs up.
func TestClustersAreActiveWhileUsed(t *testing.T) {
	const count = 200
	box := testutil.Box(t, "b")
	before := runtime.NumGoroutine()
	s := serve(t, servicesSnapshot(t, count, box))
	if n := runtime.NumGoroutine() - before; n > count/4 {
		t.Errorf("%d goroutines more for %d clusters that nobody asks", n, count)
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
		t.Errorf("%d clusters were given up right after a request", n)
	}
	if n := s.app.deactivateIdle(s.app.idleNow()); n != 3 || s.app.ActiveClusters() != 0 {
		t.Errorf("%d clusters were given up of 3 without requests; %d are active", n, s.app.ActiveClusters())
	}
	if got := s.requestStatus(1); got != http.StatusOK || s.app.ActiveClusters() != 1 {
		t.Errorf("status %d of a service that was idle; %d are active", got, s.app.ActiveClusters())
	}
}

// Guards against a request that falls between a cluster's looks at whether it is in use: all are answered while the
// cluster is given up again and again.
func TestRequestsDuringDeactivation(t *testing.T) {
	box := testutil.Box(t, "b")
	s := serve(t, servicesSnapshot(t, 1, box))
	const clients, times = 2, 15
	var refused atomic.Int64
	var over atomic.Bool
	answered := make(chan struct{})
	var asking sync.WaitGroup
	for range clients {
		asking.Go(func() {
			for !over.Load() {
				if s.requestStatus(0) != http.StatusOK {
					refused.Add(1)
				}
				answered <- struct{}{}
			}
		})
	}
	go func() { asking.Wait(); close(answered) }()
	asked, ended := 0, 0
	for range answered { // the other client's request is anywhere on its way
		asked++
		ended += s.app.deactivateIdle(s.app.idleNow())
		over.Store(ended >= times)
	}
	if n := refused.Load(); n > 0 {
		t.Errorf("%d of %d requests were not served while the cluster was given up %d times", n, asked, ended)
	}
}

// The same without sockets, for the race between a look and a request alone: a request that begins at any moment of a
// look has engines that last until its end.
func TestDeactivationRace(t *testing.T) {
	const requests = 2000
	s := serve(t, servicesSnapshot(t, 1, testutil.Box(t, "b")))
	r := s.app.state.Load().clusters["s0"]
	looked := make(chan struct{}, 1) // the next request begins beside the look at the last one's end
	go func() {
		defer close(looked)
		for i := range requests {
			for range i % 8 {
				runtime.Gosched() // a look is at another place each time
			}
			r.inFlight.Add(1)
			tiers, err := r.activate()
			if err != nil {
				t.Error(err)
				return
			}
			for range 4 { // the look that may have begun before the request is over then
				looked <- struct{}{}
			}
			select {
			case <-tiers.list[0].engine.Ended():
				t.Errorf("request %d: its engine ended under it", i)
				return
			default:
			}
			r.endRequest()
			looked <- struct{}{}
		}
	}()
	ended := 0
	for range looked {
		ended += s.app.deactivateIdle(s.app.idleNow())
	}
	if !t.Failed() && ended < requests/10 {
		t.Errorf("the cluster was given up %d times over %d requests", ended, requests)
	}
}

// Guards against news that a cluster without engines misses: a server that was taken out meanwhile gets nothing.
func TestUpdateWhileIdle(t *testing.T) {
	stays, leaves := testutil.Box(t, "stays"), testutil.Box(t, "leaves")
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
		t.Error("news activated a cluster that nobody asks")
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
	begun, end := make(chan struct{}), make(chan struct{})
	server := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, strings.Repeat("x", 1<<10))
		w.(http.Flusher).Flush()
		begun <- struct{}{}
		select {
		case <-end:
		case <-r.Context().Done():
		}
	})
	text := strings.Replace(program, "effect = \"safe\"\ndeadline = \"5s\"", "effect = \"safe\"\ndeadline = \"5s\"\nstream = \"1h\"", 1)
	s := serve(t, snapshot(parse(t, text), rooms(cluster.Endpoint{ID: "b", Address: server.Addr(), Weight: 1})))
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/", nil)
	resp, err := s.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Wait(t, begun, "the stream")
	rooms := s.app.state.Load().clusters["rooms"]
	testutil.Until(t, "the request's end", func() bool { return rooms.inFlight.Load() == 0 })
	if n := s.app.deactivateIdle(s.app.idleNow()); n != 0 {
		t.Error("a cluster with an open stream was given up")
	}
	close(end)
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	testutil.Until(t, "the cluster to be given up", func() bool { return s.app.deactivateIdle(s.app.idleNow()) == 1 })
}

// A cluster stays active until servers that were cold at its last request are warm, and late answers are not listened
// for any more.
func TestIdleAfterFollowsSettings(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *config.Program)
		want   time.Duration
	}{
		"nothing longer":   {func(p *config.Program) { p.Rules.SlowStartWindow = 0 }, 2 * time.Minute},
		"as the file says": {func(p *config.Program) { p.ClusterIdle = time.Hour }, time.Hour},
		"servers are cold": {func(p *config.Program) { p.Rules.SlowStartWindow, p.Rules.OverloadDuration = time.Hour, time.Second }, time.Hour + time.Second},
		"late answers": {func(p *config.Program) {
			p.Repeats.Late, p.Classes[0].DedupWindow = true, 24*time.Hour
		}, 24 * time.Hour},
	} {
		p := *parse(t, program)
		p.Classes = append([]config.Class(nil), p.Classes...)
		c.change(&p)
		s := serve(t, snapshot(&p, rooms(endpointOf(testutil.Box(t, "b")))))
		if got := s.app.idleAfter(s.app.state.Load()); got != c.want {
			t.Errorf("%s: idle after %v, want %v", name, got, c.want)
		}
	}
}
