package replay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// What a repeat gets, by what the first came to and by when the repeat comes.
func TestRepeat(t *testing.T) {
	failed := engine.Answer{Verdict: engine.Failed}
	rejected := engine.Answer{Verdict: engine.Rejected, RetryAfter: time.Second}
	mayHaveRun := engine.Answer{Verdict: engine.Rejected, MayHaveRun: true}
	const running = 50 * time.Millisecond
	for _, tc := range []struct {
		name           string
		first          engine.Answer
		err            error
		body           string        // of the repeat
		after          time.Duration // the first takes 100 ms
		status         int           // 0: no rejection
		verdict        engine.Verdict
		replayed, runs int
	}{
		{"while it runs", served("a"), nil, "x", 50 * time.Millisecond, 0, engine.Served, 1, 1},
		{"in the instant of its end", served("a"), nil, "x", 100 * time.Millisecond, 0, engine.Served, 1, 1},
		{"after it", served("a"), nil, "x", time.Second, 0, engine.Served, 1, 1},
		{"after the window", served("a"), nil, "x", window, 0, engine.Served, 0, 2},
		{"another body", served("a"), nil, "y", 50 * time.Millisecond, 422, 0, 0, 1},
		{"rejected, joined", rejected, nil, "x", running, 0, engine.Rejected, 0, 1},
		{"rejected, later", engine.Answer{Verdict: engine.Rejected}, nil, "x", time.Second, 0, engine.Rejected, 0, 2},
		{"rejected after it may have run, joined", mayHaveRun, nil, "x", running, 0, engine.Failed, 0, 1},
		{"rejected after it may have run, later", mayHaveRun, nil, "x", time.Second, 409, 0, 0, 1},
		{"failed, joined", failed, nil, "x", 50 * time.Millisecond, 0, engine.Failed, 0, 1},
		{"failed, later", failed, nil, "x", time.Second, 409, 0, 0, 1},
		{"cluster gone, later", engine.Answer{}, engine.ErrRetired, "x", time.Second, 0, engine.Served, 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := engine.NewClock()
				s := &stub{}
				s.run = func(_ context.Context, n int64) (engine.Answer, error) {
					time.Sleep(100 * time.Millisecond)
					if n > 1 && tc.err != nil {
						return served("b"), nil
					}
					return tc.first, tc.err
				}
				c := New(limits(), clock).Cluster(s, window, 0)
				var all sync.WaitGroup
				all.Go(func() { c.Do(t.Context(), keyed(clock, "k", "x")) })
				time.Sleep(tc.after)
				a, err := c.Do(t.Context(), keyed(clock, "k", tc.body))
				all.Wait()
				status := 0
				if rejection := (*ingress.Rejection)(nil); errors.As(err, &rejection) {
					status = rejection.Status
				}
				if status != tc.status || tc.status == 0 && err != nil {
					t.Fatalf("%v, want status %d", err, tc.status)
				}
				replayed := 0
				if h, ok := a.Value.(*h1client.Answer); ok && h.Header.Get(ReplayedHeader) == "true" {
					replayed = 1
				}
				otherVerdict := tc.status == 0 && a.Verdict != tc.verdict
				if otherVerdict || replayed != tc.replayed || s.runs.Load() != int64(tc.runs) {
					t.Errorf("verdict %d, replayed %d, %d runs", a.Verdict, replayed, s.runs.Load())
				}
			})
		})
	}
}
