package app

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
)

// A route to a cluster that nobody defines rejects its own requests and no others, and
// serves them once the cluster is defined.
func TestUndefinedCluster(t *testing.T) {
	b := testutil.StartAppServer(t, "box-1")
	p := parse(t, program)
	s := serve(t, snapshot(p, rooms(endpointOf(b))))
	status, header, _ := s.get("/lost/x", "")
	if status != 503 || header.Get("Retry-After") != "0.600" {
		t.Errorf("status %d, %v", status, header)
	}
	if status, _, _ := s.get("/x", ""); status != 200 {
		t.Errorf("another route gets status %d", status)
	}
	found := rooms(endpointOf(b))
	found.Name = "undefined"
	if err := s.app.Apply(snapshot(p, rooms(endpointOf(b)), found)); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := s.get("/lost/x", ""); status != 200 {
		t.Errorf("status %d once it is defined", status)
	}
}

// A cluster is removed, or a route changed, with requests open: those end, and new ones go where the version says.
func TestClusterRemovedWhileOpen(t *testing.T) {
	slow, other := testutil.StartAppServer(t, "slow"), testutil.StartAppServer(t, "other")
	slow.SetDelay(300 * time.Millisecond)
	p := parse(t, program)
	s := serve(t, snapshot(p, rooms(endpointOf(slow))))
	answers := make(chan string, 8)
	for i := range 4 {
		go func() {
			_, _, body := s.get("/pay/x", fmt.Sprintf("open-%d", i))
			answers <- body
		}()
	}
	testutil.Until(t, "a request to reach the box", func() bool { return slow.Count() > 0 })
	moved := parse(t, strings.ReplaceAll(program, `cluster = "rooms"`, `cluster = "suites"`))
	suites := rooms(endpointOf(other))
	suites.Name = "suites"
	if err := s.app.Apply(snapshot(moved, suites)); err != nil {
		t.Fatal(err)
	}
	if status, _, body := s.get("/pay/y", "new"); status != 200 || !strings.HasPrefix(body, "other") {
		t.Errorf("a new request: status %d, %q", status, body)
	}
	served := 0
	for range 4 { // one that came later was served by the other
		if strings.HasPrefix(<-answers, "slow ") {
			served++
		}
	}
	if seen := slow.Count(); served != seen || served == 0 {
		t.Errorf("%d of those open were served; %d had reached the box", served, seen)
	}
}

// An endpoint under the same id at another address is another server at once.
func TestEndpointMoves(t *testing.T) {
	a, b := testutil.StartAppServer(t, "a"), testutil.StartAppServer(t, "b")
	p := parse(t, program)
	at := func(b *appbox.Server) cluster.Endpoint { return cluster.Endpoint{ID: "same", Address: b.Addr()} }
	s := serve(t, snapshot(p, rooms(at(a))))
	for i := range 10 {
		to := []*appbox.Server{a, b}[i%2]
		if err := s.app.Apply(snapshot(p, rooms(at(to)))); err != nil {
			t.Fatal(err)
		}
		if status, _, body := s.get("/x", ""); status != 200 || !strings.HasPrefix(body, to.Name+" ") {
			t.Errorf("version %d: status %d, %q", i, status, body)
		}
	}
}

// A new endpoint at the address of one that was removed is another server, with nothing of
// the former one's.
func TestAddressReused(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	log := &sendLog{names: map[uint64]string{}}
	p := parse(t, program)
	named := func(id string) *files.Configuration {
		e := cluster.Endpoint{ID: id, Address: b.Addr(), Weight: 1}
		log.names[e.Key()] = id
		return snapshot(p, rooms(e))
	}
	first, second := named("old"), named("new")
	s := serveWith(t, first, Options{Seed: 1, Log: testutil.Log(t), OnSend: log.note})
	for i, v := range []*files.Configuration{first, second} {
		if err := s.app.Apply(v); err != nil {
			t.Fatal(err)
		}
		if status, _, _ := s.get("/x", ""); status != 200 || log.list[i].server != []string{"old", "new"}[i] {
			t.Errorf("status %d, sent to %v", status, log.list)
		}
	}
}

// A cluster's bounds: a request that is dropped by share, or is over the limit of open ones, is rejected at once, with
// Retry-After, and reaches no server.
func TestBounds(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	p := parse(t, program)
	bounded := func(bounds cluster.Limits) *files.Configuration {
		c := rooms(endpointOf(b))
		c.Limits = bounds
		return snapshot(p, c)
	}
	s := serve(t, bounded(cluster.Limits{Drops: []cluster.Drop{{Category: "all", Fraction: 1}}}))
	wantRejected := func(what string) {
		t.Helper()
		if status, header, _ := s.get("/x", ""); status != 503 || header.Get("Retry-After") != "0.600" {
			t.Errorf("%s: status %d, %v", what, status, header)
		}
	}
	wantRejected("dropped")
	if b.Count() != 0 {
		t.Error("a dropped request reached a server")
	}
	if err := s.app.Apply(bounded(cluster.Limits{MaxRequests: 1})); err != nil {
		t.Fatal(err)
	}
	b.SetDelay(300 * time.Millisecond)
	first := make(chan int, 1)
	go func() {
		status, _, _ := s.get("/x", "")
		first <- status
	}()
	testutil.Until(t, "the first to reach the box", func() bool { return b.Count() > 0 })
	wantRejected("the second one at once")
	if status := testutil.Wait(t, first, "the first"); status != 200 {
		t.Errorf("the first: status %d", status)
	}
	if status, _, _ := s.get("/x", ""); status != 200 {
		t.Errorf("with none open: status %d", status)
	}
}

// BenchmarkTake puts a version in force of which one server changed.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := parse(b, program)
			version := func(weight float64) *files.Configuration {
				var list []cluster.Endpoint
				for i := range n {
					list = append(list, cluster.Endpoint{
						ID: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Weight: 1,
					})
				}
				list[n/2].Weight = weight
				return snapshot(p, rooms(list...))
			}
			two := []*files.Configuration{version(1), version(2)}
			a, err := New(two[0], Options{Seed: 1, Log: testutil.DiscardLogger})
			if err != nil {
				b.Fatal(err)
			}
			defer a.Close()
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				if err := a.Apply(two[i%2]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
