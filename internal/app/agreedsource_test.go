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

// A hundred changes of classes, limits and the fleet's figures under load: nothing fails, and what was learnt of a
// server that fails stays known.
func TestSettingsUnderLoad(t *testing.T) {
	good, bad := testutil.Box(t, "good"), testutil.Box(t, "bad")
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
	var asked, failed atomic.Int64
	stop := make(chan struct{})
	for c := range 8 {
		run.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				asked.Add(1)
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
		text := strings.Replace(program, "attempts = 3", fmt.Sprint("attempts = ", 2+i%3), 1)
		text = strings.Replace(text, "[[class]]\nname = \"read\"", fmt.Sprintf("[fleet]\nnodes = %d\n[[class]]\nname = \"first-%d\"\neffect = \"safe\"\ndeadline = \"1s\"\n[[class]]\nname = \"read\"", 1+i%4, i), 1)
		if err := source.Apply(consensus.EffectiveVersion{Version: &consensus.Version{Program: parse(t, text), Clusters: snapshot(own, list).Version.Clusters}}); err != nil {
			t.Fatal(err)
		}
		n := asked.Load()
		testutil.Until(t, "some to be asked under these settings", func() bool { return asked.Load() >= n+5 })
	}
	close(stop)
	run.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d of %d failed", failed.Load(), asked.Load())
	}
	// Anew, each of the 100 would have tried it again until its breaker opened: three times at least.
	if more := bad.Count() - before; more > 150 {
		t.Errorf("%d attempts at a server that was known to fail", more)
	}
	t.Logf("%d asked, %d failed; %d attempts at the bad server over 100 changes, %d while it was learnt", asked.Load(), failed.Load(), bad.Count()-before, before)
}

// The lease is looked at when a request is decided and again right before it is sent: lost in between, nothing goes
// out, and the client is told when to come back.
func TestLeaseAtDecisionAndSend(t *testing.T) {
	b := testutil.Box(t, "box")
	var looks, until atomic.Int64
	until.Store(1 << 40)
	s := serveWith(t, snapshot(parse(t, program), rooms(endpointOf(b))), Options{Seed: 1, Log: testutil.Log(t), LeaseValid: func() bool { return looks.Add(1) <= until.Load() }})
	if status, _, _ := s.get("/x", "good"); status != http.StatusOK || b.Count() != 1 {
		t.Fatalf("status %d", status)
	}
	each := looks.Load() // at the decision, and before the first byte
	if each < 2 {
		t.Errorf("looked at %d times", each)
	}
	for at := range each {
		looks.Store(0)
		until.Store(at)
		began := time.Now()
		for _, path := range []string{"/x", "/pay/x"} {
			status, header, _ := s.get(path, "")
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || b.Count() != 1 {
				t.Errorf("%s, lost after %d looks: status %d, %v, %d came", path, at, status, header, b.Count())
			}
			looks.Store(0)
		}
		if took := time.Since(began); took > testutil.Patience/2 {
			t.Errorf("answered after %v", took)
		}
	}
}

// A request that was decided by rules of its class that are no more sends nothing, though the lease goes on.
func TestDecidedByOldRules(t *testing.T) {
	b := testutil.Box(t, "box")
	own := parse(t, program)
	s := serveWith(t, snapshot(own, rooms(endpointOf(b))), Options{Seed: 1, Log: testutil.Log(t), LeaseValid: func() bool { return true }})
	old := s.app.state.Load()
	read, pay := s.app.sendAllowed(old, "read"), s.app.sendAllowed(old, "pay")
	take := func(text string, refused map[string]string) {
		t.Helper()
		if err := s.app.ApplyRejecting(time.Now(), snapshot(parse(t, text), rooms(endpointOf(b))), refused); err != nil {
			t.Fatal(err)
		}
	}
	take(strings.Replace(program, "attempts = 3", "attempts = 2", 1), nil)
	if !read() || !pay() {
		t.Error("a change of limits ends what was decided before")
	}
	take(program, map[string]string{"pay": "its routes change"})
	if !read() || pay() {
		t.Error("a class that is refused goes on, or another doesn't")
	}
	if status, header, body := s.get("/pay/x", "refused"); status != 503 || header.Get("Retry-After") == "" || !strings.Contains(body, "its routes change") || b.Count() > 0 {
		t.Errorf("status %d, %v, %q", status, header, body)
	}
	take(program, nil)
	if pay() || !s.app.sendAllowed(s.app.state.Load(), "pay")() {
		t.Error("what was decided before goes on, or new ones don't")
	}
	take(strings.Replace(program, "effect = \"safe\"", "effect = \"unsafe\"", 1), nil)
	if read() {
		t.Error("decided as safe, it is sent as unsafe")
	}
}
