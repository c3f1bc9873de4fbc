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

// The load of TestNoKeyRunsTwice.
const (
	historyRequests = 5000
	historyKeys     = 200
	historyEntries  = 1000 // limit of the store
)

// Guards against a request that runs within its key's window although an earlier run of the key may have had its effect,
// over random behaviour of clients and servers. Without the deduplicator this must happen often, or the test proves little.
func TestNoKeyRunsTwice(t *testing.T) {
	if n := repeatedRuns(t, true); n > 0 {
		t.Errorf("got %d runs within the window of a run that may have had its effect, want 0", n)
	}
	if n := repeatedRuns(t, false); n < 100 {
		t.Errorf("got %d repeated runs without the deduplicator, want at least 100 for the check to be meaningful", n)
	}
}

// repeatedRuns sends the requests of a random history and returns how many runs began within the window of a run of the same
// key that may have had its effect.
func repeatedRuns(t *testing.T, deduplicated bool) (n int) {
	synctest.Test(t, func(t *testing.T) {
		h := &historyTest{
			clock:   engine.NewClock(),
			random:  rand.New(rand.NewPCG(3, 4)),
			started: map[string]time.Duration{},
		}
		d := New(idempotency.Limits{Entries: historyEntries, Bytes: 1 << 20, Joiners: 8}, h.clock)
		var wg sync.WaitGroup
		for i := range historyRequests {
			key := fmt.Sprint("k", h.draw(historyKeys))
			var c ingress.Handler = h.cluster(key)
			if deduplicated {
				c = d.WrapCluster(c, testWindow, 0)
			}
			clientTimeout := time.Duration(50+h.draw(400)) * time.Millisecond
			wg.Go(func() {
				ctx, disconnect := context.WithTimeout(t.Context(), clientTimeout)
				defer disconnect()
				c.Do(ctx, keyedRequest(h.clock, key, "x"))
			})
			if i%8 == 0 {
				time.Sleep(time.Duration(h.draw(20)) * time.Millisecond)
			}
			d.mu.Lock()
			stored := d.store.Len()
			d.mu.Unlock()
			if stored > historyEntries {
				t.Fatalf("the store has %d entries, want at most %d", stored, historyEntries)
			}
		}
		wg.Wait()
		synctest.Wait()
		if len(d.running) > 0 {
			t.Errorf("%d executions are still running after all requests have ended, want 0", len(d.running))
		}
		n = h.repeatedRuns
	})
	return n
}

// historyTest chooses the random behaviour of servers and counts the runs that should not have begun.
type historyTest struct {
	clock engine.Clock

	mu           sync.Mutex
	random       *rand.Rand
	started      map[string]time.Duration // by key: start of the latest run that may have had its effect
	repeatedRuns int
}

// draw returns a random number from 0 to n-1.
func (h *historyTest) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// cluster returns a cluster that runs the requests of a key.
func (h *historyTest) cluster(key string) *stubCluster {
	return &stubCluster{run: func(ctx context.Context, _ int64) (engine.Answer, error) { return h.run(ctx, key) }}
}

// run runs a request under a key, with a random duration and outcome.
func (h *historyTest) run(ctx context.Context, key string) (engine.Answer, error) {
	startedAt := h.clock.Now()
	select {
	case <-time.After(time.Duration(h.draw(300)) * time.Millisecond):
	case <-ctx.Done():
	}
	outcome := h.draw(4)
	if outcome == 0 {
		return engine.Answer{Verdict: engine.Rejected}, nil // the request never ran
	}
	h.mu.Lock()
	if at, ok := h.started[key]; ok && startedAt < at+testWindow {
		h.repeatedRuns++
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
	return servedAnswer(key), nil
}
