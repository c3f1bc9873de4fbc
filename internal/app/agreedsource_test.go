package app

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

// A hundred changes of classes, limits and the number of nodes are applied under load. No request must fail, and the
// engines must retain that a failing server's breaker is open.
func TestSettingsUnderLoad(t *testing.T) {
	good, bad := testutil.StartAppServer(t, "good"), testutil.StartAppServer(t, "bad")
	good.SetDelay(time.Millisecond)
	bad.SetFailing(true)
	list := roomsCluster(endpointOf(good), endpointOf(bad))
	own := parse(t, program)
	s := serve(t, newConfiguration(own, list))
	for i := range 60 { // enough requests to open the failing server's breaker
		s.get("/x", fmt.Sprint("learn-", i))
	}
	before := bad.Count()
	var run sync.WaitGroup
	var sent, failed atomic.Int64
	stop := make(chan struct{})
	for c := range 8 {
		run.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				if status, _, body := s.get("/x", fmt.Sprint("c", c, "-", i)); status != http.StatusOK {
					if failed.Add(1) == 1 {
						t.Logf("first failure: %d %s", status, body)
					}
				}
			}
		})
	}
	source := NewAgreedSource(s.app, own)
	for i := range 100 {
		version := &consensus.Version{
			Program: parse(t, changedProgram(i)), Clusters: newConfiguration(own, list).Version.Clusters,
		}
		if err := source.Apply(consensus.EffectiveVersion{Version: version}); err != nil {
			t.Fatal(err)
		}
		n := sent.Load()
		testutil.Until(t, "five requests under the changed settings", func() bool { return sent.Load() >= n+5 })
	}
	close(stop)
	run.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d of %d requests failed, want none", failed.Load(), sent.Load())
	}
	// Without snapshots, the engines of each of the 100 changes would have sent attempts to the failing server until its
	// breaker opened: at least three attempts per change.
	if more := bad.Count() - before; more > 150 {
		t.Errorf("%d attempts were sent to the failing server during the changes, want at most 150", more)
	}
	t.Logf("%d requests sent, %d failed; attempts at the failing server: %d over 100 changes, %d before them",
		sent.Load(), failed.Load(), bad.Count()-before, before)
}

// changedProgram returns program with another maximum number of attempts, another number of nodes and one more class
// before the others.
func changedProgram(i int) string {
	const firstClass = "[[class]]\nname = \"read\""
	added := fmt.Sprintf("[fleet]\nnodes = %d\n", 1+i%4) +
		fmt.Sprintf("[[class]]\nname = \"first-%d\"\neffect = \"safe\"\ndeadline = \"1s\"\n", i)
	text := strings.Replace(program, "attempts = 3", fmt.Sprint("attempts = ", 2+i%3), 1)
	return strings.Replace(text, firstClass, added+firstClass, 1)
}

// The lease is checked when a request is routed and again right before each send. If the lease is lost in between,
// nothing must be sent, and the client must get Retry-After.
func TestLeaseAtDecisionAndSend(t *testing.T) {
	b := testutil.StartAppServer(t, "box")
	var checks, validChecks atomic.Int64
	validChecks.Store(1 << 40)
	s := serveWith(t, newConfiguration(parse(t, program), roomsCluster(endpointOf(b))), Options{
		Seed: 1, Log: testutil.Log(t), LeaseValid: func() bool { return checks.Add(1) <= validChecks.Load() },
	})
	if status, _, _ := s.get("/x", "good"); status != http.StatusOK || b.Count() != 1 {
		t.Fatalf("with a valid lease: status %d, want 200 and one request at the server", status)
	}
	checksPerRequest := checks.Load() // when the request is routed, and before the first byte is sent
	if checksPerRequest < 2 {
		t.Errorf("the lease was checked %d times for a request, want at least 2", checksPerRequest)
	}
	for at := range checksPerRequest {
		checks.Store(0)
		validChecks.Store(at)
		began := time.Now()
		for _, path := range []string{"/x", "/pay/x"} {
			status, header, _ := s.get(path, "")
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || b.Count() != 1 {
				t.Errorf("%s, lease lost after %d checks: status %d, header %v, %d requests at the server; "+
					"want 503 with Retry-After and 1 request", path, at, status, header, b.Count())
			}
			checks.Store(0)
		}
		if took := time.Since(began); took > testutil.WaitTimeout/2 {
			t.Errorf("both requests were answered after %v, want less than half of testutil.WaitTimeout", took)
		}
	}
}

// A request that was routed by a state whose decisions for its class are no longer valid must not be sent, although the
// lease is valid.
func TestDecidedByOldRules(t *testing.T) {
	b := testutil.StartAppServer(t, "box")
	own := parse(t, program)
	o := Options{Seed: 1, Log: testutil.Log(t), LeaseValid: func() bool { return true }}
	s := serveWith(t, newConfiguration(own, roomsCluster(endpointOf(b))), o)
	old := s.app.state.Load()
	read, pay := s.app.sendAllowed(old, "read"), s.app.sendAllowed(old, "pay")
	apply := func(text string, rejected map[string]string) {
		t.Helper()
		next := newConfiguration(parse(t, text), roomsCluster(endpointOf(b)))
		if err := s.app.ApplyRejecting(time.Now(), next, rejected); err != nil {
			t.Fatal(err)
		}
	}
	apply(strings.Replace(program, "attempts = 3", "attempts = 2", 1), nil)
	if !read() || !pay() {
		t.Error("after a change of limits, earlier decisions are no longer valid")
	}
	apply(program, map[string]string{"pay": "its routes change"})
	if !read() || pay() {
		t.Errorf("after rejecting class pay: sends allowed for read %v, pay %v; want true, false", read(), pay())
	}
	status, header, body := s.get("/pay/x", "refused")
	rejected := status == 503 && header.Get("Retry-After") != "" && strings.Contains(body, "its routes change")
	if !rejected || b.Count() > 0 {
		t.Errorf("rejected class: status %d, header %v, body %q; want 503 with Retry-After and the reason",
			status, header, body)
	}
	apply(program, nil)
	if pay() || !s.app.sendAllowed(s.app.state.Load(), "pay")() {
		t.Error("once class pay is admitted again: earlier decisions are valid, or new ones are not")
	}
	apply(strings.Replace(program, "effect = \"safe\"", "effect = \"unsafe\"", 1), nil)
	if read() {
		t.Error("a request that was routed while its class was safe may be sent after the class became unsafe")
	}
}
