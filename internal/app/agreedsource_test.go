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

// A hundred changes of classes, limits and the number of nodes under load: no request fails, and what was learnt of a
// server that fails is retained.
func TestSettingsUnderLoad(t *testing.T) {
	good, bad := testutil.StartAppServer(t, "good"), testutil.StartAppServer(t, "bad")
	good.SetDelay(time.Millisecond)
	bad.SetFailing(true)
	list := rooms(endpointOf(good), endpointOf(bad))
	own := parse(t, program)
	s := serve(t, snapshot(own, list))
	for i := range 60 { // it learns
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
			Program: parse(t, changedProgram(i)), Clusters: snapshot(own, list).Version.Clusters,
		}
		if err := source.Apply(consensus.EffectiveVersion{Version: version}); err != nil {
			t.Fatal(err)
		}
		n := sent.Load()
		testutil.Until(t, "some requests under these settings", func() bool { return sent.Load() >= n+5 })
	}
	close(stop)
	run.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d of %d failed", failed.Load(), sent.Load())
	}
	// Without what was learnt, each of the 100 would have sent attempts until its breaker opened: three at least.
	if more := bad.Count() - before; more > 150 {
		t.Errorf("%d attempts at a server that was known to fail", more)
	}
	t.Logf("%d sent, %d failed; %d attempts at the bad server over 100 changes, %d while it was learnt",
		sent.Load(), failed.Load(), bad.Count()-before, before)
}

// changedProgram returns program with another limit of attempts, a fleet and a further class before the others.
func changedProgram(i int) string {
	const firstClass = "[[class]]\nname = \"read\""
	added := fmt.Sprintf("[fleet]\nnodes = %d\n", 1+i%4) +
		fmt.Sprintf("[[class]]\nname = \"first-%d\"\neffect = \"safe\"\ndeadline = \"1s\"\n", i)
	text := strings.Replace(program, "attempts = 3", fmt.Sprint("attempts = ", 2+i%3), 1)
	return strings.Replace(text, firstClass, added+firstClass, 1)
}

// The lease is checked when a request is decided and again right before it is sent: where it is lost in between,
// nothing is sent, and the client gets Retry-After.
func TestLeaseAtDecisionAndSend(t *testing.T) {
	b := testutil.StartAppServer(t, "box")
	var checks, validChecks atomic.Int64
	validChecks.Store(1 << 40)
	s := serveWith(t, snapshot(parse(t, program), rooms(endpointOf(b))), Options{
		Seed: 1, Log: testutil.Log(t), LeaseValid: func() bool { return checks.Add(1) <= validChecks.Load() },
	})
	if status, _, _ := s.get("/x", "good"); status != http.StatusOK || b.Count() != 1 {
		t.Fatalf("status %d", status)
	}
	each := checks.Load() // at the decision, and before the first byte
	if each < 2 {
		t.Errorf("checked %d times", each)
	}
	for at := range each {
		checks.Store(0)
		validChecks.Store(at)
		began := time.Now()
		for _, path := range []string{"/x", "/pay/x"} {
			status, header, _ := s.get(path, "")
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || b.Count() != 1 {
				t.Errorf("%s, lost after %d checks: status %d, %v, %d came", path, at, status, header, b.Count())
			}
			checks.Store(0)
		}
		if took := time.Since(began); took > testutil.WaitTimeout/2 {
			t.Errorf("answered after %v", took)
		}
	}
}

// A request that was decided by rules of its class that no longer apply is not sent, although the lease is valid.
func TestDecidedByOldRules(t *testing.T) {
	b := testutil.StartAppServer(t, "box")
	own := parse(t, program)
	o := Options{Seed: 1, Log: testutil.Log(t), LeaseValid: func() bool { return true }}
	s := serveWith(t, snapshot(own, rooms(endpointOf(b))), o)
	old := s.app.state.Load()
	read, pay := s.app.sendAllowed(old, "read"), s.app.sendAllowed(old, "pay")
	apply := func(text string, rejected map[string]string) {
		t.Helper()
		if err := s.app.ApplyRejecting(time.Now(), snapshot(parse(t, text), rooms(endpointOf(b))), rejected); err != nil {
			t.Fatal(err)
		}
	}
	apply(strings.Replace(program, "attempts = 3", "attempts = 2", 1), nil)
	if !read() || !pay() {
		t.Error("a change of limits ends what was decided before")
	}
	apply(program, map[string]string{"pay": "its routes change"})
	if !read() || pay() {
		t.Error("a class that is refused goes on, or another doesn't")
	}
	status, header, body := s.get("/pay/x", "refused")
	rejected := status == 503 && header.Get("Retry-After") != "" && strings.Contains(body, "its routes change")
	if !rejected || b.Count() > 0 {
		t.Errorf("status %d, %v, %q", status, header, body)
	}
	apply(program, nil)
	if pay() || !s.app.sendAllowed(s.app.state.Load(), "pay")() {
		t.Error("what was decided before goes on, or new ones don't")
	}
	apply(strings.Replace(program, "effect = \"safe\"", "effect = \"unsafe\"", 1), nil)
	if read() {
		t.Error("decided as safe, it is sent as unsafe")
	}
}
