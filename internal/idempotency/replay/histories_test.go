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

// Drawn histories over few keys: no key runs again within its window once a run of it may have had
// its effect, whatever clients and servers do. Without the deduplicator there are many that do.
func TestNoKeyRunsTwice(t *testing.T) {
	const requests = 5000
	twice := func(deduplicated bool) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			clock := engine.NewClock()
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(3, 4))
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return rng.IntN(n)
			}
			ran := map[string]time.Duration{}
			g := New(idempotency.Limits{Entries: 1000, Bytes: 1 << 20, Joiners: 8}, clock)
			var all sync.WaitGroup
			for i := range requests {
				key := fmt.Sprint("k", draw(200))
				s := &stub{run: func(ctx context.Context, _ int64) (engine.Answer, error) {
					began := clock.Now()
					select {
					case <-time.After(time.Duration(draw(300)) * time.Millisecond):
					case <-ctx.Done():
					}
					how := draw(4)
					if how == 0 {
						return engine.Answer{Verdict: engine.Rejected}, nil // never ran
					}
					mu.Lock()
					if at, did := ran[key]; did && began < at+window {
						n++
					}
					ran[key] = began
					mu.Unlock()
					switch {
					case ctx.Err() != nil:
						return engine.Answer{}, engine.ErrClientDisconnected
					case how == 1:
						return engine.Answer{Verdict: engine.Rejected, MayHaveRun: true}, nil
					case how == 2:
						return engine.Answer{Verdict: engine.Failed, MayHaveRun: true}, nil
					}
					return served(key), nil
				}}
				var c ingress.Handler = s
				if deduplicated {
					c = g.Cluster(s, window, 0)
				}
				patience := time.Duration(50+draw(400)) * time.Millisecond
				all.Go(func() {
					ctx, leave := context.WithTimeout(t.Context(), patience)
					defer leave()
					c.Do(ctx, keyed(clock, key, "x"))
				})
				if i%8 == 0 {
					time.Sleep(time.Duration(draw(20)) * time.Millisecond)
				}
				g.mu.Lock()
				held := g.store.Len()
				g.mu.Unlock()
				if held > 1000 {
					t.Fatalf("the store holds %d keys, 1000 at most", held)
				}
			}
			all.Wait()
			synctest.Wait()
			if len(g.running) > 0 {
				t.Errorf("%d keys are still open", len(g.running))
			}
		})
		return n
	}
	if n := twice(true); n > 0 {
		t.Errorf("%d runs beside, or after, one that may have had its effect", n)
	}
	if n := twice(false); n < 100 {
		t.Errorf("without the deduplicator only %d: the check proves little", n)
	}
}
