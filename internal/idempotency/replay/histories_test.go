package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
)

// Load of TestNoKeyRunsTwice.
const (
	historyRequests = 5000
	historyKeys     = 200
	historyEntries  = 1000 // of the store
)

// Drawn histories over few keys: no key runs again within its window once a run of it may have had
// its effect, whatever clients and servers do. Without the deduplicator there are many that do.
func TestNoKeyRunsTwice(t *testing.T) {
	if n := repeatedRuns(t, true); n > 0 {
		t.Errorf("%d runs beside, or after, one that may have had its effect", n)
	}
	if n := repeatedRuns(t, false); n < 100 {
		t.Errorf("without the deduplicator only %d: the check proves little", n)
	}
}

// repeatedRuns plays a history and returns how many runs began within the window of one that may have had its effect.
func repeatedRuns(t *testing.T, deduplicated bool) (n int) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{
			clock:   engine.NewClock(),
			random:  rand.New(rand.NewPCG(3, 4)),
			started: map[string]time.Duration{},
		}
		g := New(idempotency.Limits{Entries: historyEntries, Bytes: 1 << 20, Joiners: 8}, h.clock)
		var all sync.WaitGroup
		for i := range historyRequests {
			key := fmt.Sprint("k", h.draw(historyKeys))
			var c ingress.Handler = h.cluster(key)
			if deduplicated {
				c = g.Cluster(c, window, 0)
			}
			patience := time.Duration(50+h.draw(400)) * time.Millisecond
			all.Go(func() {
				ctx, disconnect := context.WithTimeout(t.Context(), patience)
				defer disconnect()
				c.Do(ctx, keyed(h.clock, key, "x"))
			})
			if i%8 == 0 {
				time.Sleep(time.Duration(h.draw(20)) * time.Millisecond)
			}
			g.mu.Lock()
			stored := g.store.Len()
			g.mu.Unlock()
			if stored > historyEntries {
				t.Fatalf("the store holds %d keys, %d at most", stored, historyEntries)
			}
		}
		all.Wait()
		synctest.Wait()
		if len(g.running) > 0 {
			t.Errorf("%d keys are still open", len(g.running))
		}
		n = h.repeated
	})
	return n
}

// history draws what servers do, and counts runs that should not have begun.
type history struct {
	clock engine.Clock

	mu       sync.Mutex
	random   *rand.Rand
	started  map[string]time.Duration // the last run of a key that may have had its effect
	repeated int
}

// draw returns a random number below n.
func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// cluster returns a cluster that runs the requests of a key.
func (h *history) cluster(key string) *stub {
	return &stub{run: func(ctx context.Context, _ int64) (engine.Answer, error) { return h.run(ctx, key) }}
}

// run is a run of a key with a drawn outcome.
func (h *history) run(ctx context.Context, key string) (engine.Answer, error) {
	startedAt := h.clock.Now()
	select {
	case <-time.After(time.Duration(h.draw(300)) * time.Millisecond):
	case <-ctx.Done():
	}
	outcome := h.draw(4)
	if outcome == 0 {
		return engine.Answer{Verdict: engine.Rejected}, nil // never ran
	}
	h.mu.Lock()
	if at, ok := h.started[key]; ok && startedAt < at+window {
		h.repeated++
	}
	h.started[key] = startedAt
	h.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return engine.Answer{}, engine.ErrClientDisconnected
	case outcome == 1:
		return engine.Answer{Verdict: engine.Rejected, MayHaveRun: true}, nil
	case outcome == 2:
		return engine.Answer{Verdict: engine.Failed, MayHaveRun: true}, nil
	}
	return served(key), nil
}
