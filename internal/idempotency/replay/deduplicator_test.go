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

// Times of TestRepeat.
const (
	firstTakes   = 100 * time.Millisecond
	whileRunning = 50 * time.Millisecond
)

// repeatCase is what a first request comes to, and what its repeat gets.
type repeatCase struct {
	name  string
	first engine.Answer
	err   error         // of the first
	body  string        // of the repeat; the first one's is "x"
	after time.Duration // the start of the repeat, from the start of the first
	// What the repeat gets.
	status   int // 0: no rejection
	verdict  engine.Verdict
	replayed bool
	runs     int // of both requests
}

// repeatCases returns the cases of TestRepeat.
func repeatCases() []repeatCase {
	failed := engine.Answer{Verdict: engine.Failed}
	rejected := engine.Answer{Verdict: engine.Rejected, RetryAfter: time.Second}
	mayHaveRun := engine.Answer{Verdict: engine.Rejected, MayHaveRun: true}
	return []repeatCase{
		{
			name: "while it runs", first: served("a"), body: "x", after: whileRunning,
			verdict: engine.Served, replayed: true, runs: 1,
		},
		{
			name: "in the instant of its end", first: served("a"), body: "x", after: firstTakes,
			verdict: engine.Served, replayed: true, runs: 1,
		},
		{
			name: "after it", first: served("a"), body: "x", after: time.Second,
			verdict: engine.Served, replayed: true, runs: 1,
		},
		{
			name: "after the window", first: served("a"), body: "x", after: window,
			verdict: engine.Served, runs: 2,
		},
		{
			name: "another body", first: served("a"), body: "y", after: whileRunning,
			status: 422, runs: 1,
		},
		{
			name: "rejected, joined", first: rejected, body: "x", after: whileRunning,
			verdict: engine.Rejected, runs: 1,
		},
		{
			name: "rejected, later", first: engine.Answer{Verdict: engine.Rejected}, body: "x", after: time.Second,
			verdict: engine.Rejected, runs: 2,
		},
		{
			name: "rejected after it may have run, joined", first: mayHaveRun, body: "x", after: whileRunning,
			verdict: engine.Failed, runs: 1,
		},
		{
			name: "rejected after it may have run, later", first: mayHaveRun, body: "x", after: time.Second,
			status: 409, runs: 1,
		},
		{
			name: "failed, joined", first: failed, body: "x", after: whileRunning,
			verdict: engine.Failed, runs: 1,
		},
		{
			name: "failed, later", first: failed, body: "x", after: time.Second,
			status: 409, runs: 1,
		},
		{
			name: "cluster gone, later", first: engine.Answer{}, err: engine.ErrRetired, body: "x", after: time.Second,
			verdict: engine.Served, runs: 2,
		},
	}
}

// What a repeat gets, by what the first came to and by when the repeat comes.
func TestRepeat(t *testing.T) {
	for _, tc := range repeatCases() {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRepeat(t, tc) })
		})
	}
}

// checkRepeat sends a request and its repeat in virtual time.
func checkRepeat(t *testing.T, tc repeatCase) {
	clock := engine.NewClock()
	s := &stub{}
	s.run = func(_ context.Context, n int64) (engine.Answer, error) {
		time.Sleep(firstTakes)
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
	h, ok := a.Value.(*h1client.Answer)
	replayed := ok && h.Header.Get(ReplayedHeader) == "true"
	otherVerdict := tc.status == 0 && a.Verdict != tc.verdict
	if otherVerdict || replayed != tc.replayed || s.runs.Load() != int64(tc.runs) {
		t.Errorf("verdict %d, replayed %v, %d runs", a.Verdict, replayed, s.runs.Load())
	}
}
