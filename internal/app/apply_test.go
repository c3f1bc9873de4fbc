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

// Requests on a route to an undefined cluster are rejected until the cluster is defined. Other routes are not affected.
func TestUndefinedCluster(t *testing.T) {
	b := testutil.StartAppServer(t, "box-1")
	p := parse(t, program)
	s := serve(t, newConfiguration(p, roomsCluster(endpointOf(b))))
	status, header, _ := s.get("/lost/x", "")
	if status != 503 || header.Get("Retry-After") != "0.600" {
		t.Errorf("undefined cluster: status %d, header %v; want 503 with Retry-After 0.600", status, header)
	}
	if status, _, _ := s.get("/x", ""); status != 200 {
		t.Errorf("another route: status %d, want 200", status)
	}
	found := roomsCluster(endpointOf(b))
	found.Name = "undefined"
	if err := s.app.Apply(newConfiguration(p, roomsCluster(endpointOf(b)), found)); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := s.get("/lost/x", ""); status != 200 {
		t.Errorf("once the cluster is defined: status %d, want 200", status)
	}
}

// A cluster is removed and its routes are changed while requests are in flight. Those requests must be completed by their
// server, and new requests must go to the new cluster.
func TestClusterRemovedWhileOpen(t *testing.T) {
	slow, other := testutil.StartAppServer(t, "slow"), testutil.StartAppServer(t, "other")
	slow.SetDelay(300 * time.Millisecond)
	p := parse(t, program)
	s := serve(t, newConfiguration(p, roomsCluster(endpointOf(slow))))
	answers := make(chan string, 8)
	for i := range 4 {
		go func() {
			_, _, body := s.get("/pay/x", fmt.Sprintf("open-%d", i))
			answers <- body
		}()
	}
	testutil.Until(t, "a request to reach the box", func() bool { return slow.Count() > 0 })
	moved := parse(t, strings.ReplaceAll(program, `cluster = "rooms"`, `cluster = "suites"`))
	suites := roomsCluster(endpointOf(other))
	suites.Name = "suites"
	if err := s.app.Apply(newConfiguration(moved, suites)); err != nil {
		t.Fatal(err)
	}
	if status, _, body := s.get("/pay/y", "new"); status != 200 || !strings.HasPrefix(body, "other") {
		t.Errorf("a new request: status %d, body %q; want 200 and an answer of other", status, body)
	}
	served := 0
	for range 4 { // a request that was routed after the change was served by the other box
		if strings.HasPrefix(<-answers, "slow ") {
			served++
		}
	}
	if seen := slow.Count(); served != seen || served == 0 {
		t.Errorf("the removed cluster's box answered %d requests, want all %d that reached it, and at least one", served, seen)
	}
}

// When the address of an endpoint changes and its id stays, requests go to the new address at once.
func TestEndpointMoves(t *testing.T) {
	a, b := testutil.StartAppServer(t, "a"), testutil.StartAppServer(t, "b")
	p := parse(t, program)
	at := func(b *appbox.Server) cluster.Endpoint { return cluster.Endpoint{ID: "same", Address: b.Addr()} }
	s := serve(t, newConfiguration(p, roomsCluster(at(a))))
	for i := range 10 {
		to := []*appbox.Server{a, b}[i%2]
		if err := s.app.Apply(newConfiguration(p, roomsCluster(at(to)))); err != nil {
			t.Fatal(err)
		}
		if status, _, body := s.get("/x", ""); status != 200 || !strings.HasPrefix(body, to.Name+" ") {
			t.Errorf("version %d: status %d, body %q; want 200 and an answer of %s", i, status, body, to.Name)
		}
	}
}

// A new endpoint at the address of a removed endpoint is another endpoint: requests are attributed to its own id.
func TestAddressReused(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	log := &sendLog{names: map[uint64]string{}}
	p := parse(t, program)
	named := func(id string) *files.Configuration {
		e := cluster.Endpoint{ID: id, Address: b.Addr(), Weight: 1}
		log.names[e.Key()] = id
		return newConfiguration(p, roomsCluster(e))
	}
	first, second := named("old"), named("new")
	s := serveWith(t, first, Options{Seed: 1, Log: testutil.Log(t), OnSend: log.record})
	for i, v := range []*files.Configuration{first, second} {
		if err := s.app.Apply(v); err != nil {
			t.Fatal(err)
		}
		if status, _, _ := s.get("/x", ""); status != 200 || log.list[i].server != []string{"old", "new"}[i] {
			t.Errorf("version %d: status %d, sends %v; want 200 and a send to the version's own endpoint", i, status, log.list)
		}
	}
}

// A request that belongs to a dropped share, or exceeds the cluster's limit of requests in flight, must be rejected at
// once with Retry-After and must not reach a server.
func TestBounds(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	p := parse(t, program)
	bounded := func(bounds cluster.Limits) *files.Configuration {
		c := roomsCluster(endpointOf(b))
		c.Limits = bounds
		return newConfiguration(p, c)
	}
	s := serve(t, bounded(cluster.Limits{Drops: []cluster.Drop{{Category: "all", Fraction: 1}}}))
	wantRejected := func(what string) {
		t.Helper()
		if status, header, _ := s.get("/x", ""); status != 503 || header.Get("Retry-After") != "0.600" {
			t.Errorf("%s: status %d, header %v; want 503 with Retry-After 0.600", what, status, header)
		}
	}
	wantRejected("a dropped request")
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
	testutil.Until(t, "the first request to reach the box", func() bool { return b.Count() > 0 })
	wantRejected("a second request in flight")
	if status := testutil.Wait(t, first, "the answer to the first request"); status != 200 {
		t.Errorf("the first request: status %d, want 200", status)
	}
	if status, _, _ := s.get("/x", ""); status != 200 {
		t.Errorf("with no other request in flight: status %d, want 200", status)
	}
}

// BenchmarkTake puts versions in force in which one endpoint of the cluster changed.
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
				return newConfiguration(p, roomsCluster(list...))
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
