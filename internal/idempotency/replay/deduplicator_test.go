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

// The durations of TestRepeat.
const (
	firstDuration = 100 * time.Millisecond // from the start to the end of a request in the cluster
	duringFirst   = 50 * time.Millisecond  // from the start of the first request to that of the repeated one
)

// repeatCase is the outcome of a first request and the expected outcome of a repeated request under the same key.
type repeatCase struct {
	name  string
	first engine.Answer
	err   error         // error of the first request
	body  string        // body of the repeated request; the first request has the body "x"
	after time.Duration // time from the start of the first request to that of the repeated one
	// The expected outcome of the repeated request.
	status   int // status of the *ingress.Rejection; 0 means none
	verdict  engine.Verdict
	replayed bool
	runs     int // expected number of requests that reach the cluster
}

// repeatCases returns the cases of TestRepeat.
func repeatCases() []repeatCase {
	failed := engine.Answer{Verdict: engine.Failed}
	rejected := engine.Answer{Verdict: engine.Rejected, RetryAfter: time.Second}
	mayHaveRun := engine.Answer{Verdict: engine.Rejected, MayHaveRun: true}
	return []repeatCase{
		{
			name: "while it runs", first: servedAnswer("a"), body: "x", after: duringFirst,
			verdict: engine.Served, replayed: true, runs: 1,
		},
		{
			name: "in the instant of its end", first: servedAnswer("a"), body: "x", after: firstDuration,
			verdict: engine.Served, replayed: true, runs: 1,
		},
		{
			name: "after it", first: servedAnswer("a"), body: "x", after: time.Second,
			verdict: engine.Served, replayed: true, runs: 1,
		},
		{
			name: "after the window", first: servedAnswer("a"), body: "x", after: testWindow,
			verdict: engine.Served, runs: 2,
		},
		{
			name: "another body", first: servedAnswer("a"), body: "y", after: duringFirst,
			status: 422, runs: 1,
		},
		{
			name: "rejected, joined", first: rejected, body: "x", after: duringFirst,
			verdict: engine.Rejected, runs: 1,
		},
		{
			name: "rejected, later", first: engine.Answer{Verdict: engine.Rejected}, body: "x", after: time.Second,
			verdict: engine.Rejected, runs: 2,
		},
		{
			name: "rejected after it may have run, joined", first: mayHaveRun, body: "x", after: duringFirst,
			verdict: engine.Failed, runs: 1,
		},
		{
			name: "rejected after it may have run, later", first: mayHaveRun, body: "x", after: time.Second,
			status: 409, runs: 1,
		},
		{
			name: "failed, joined", first: failed, body: "x", after: duringFirst,
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

// Guards against a repeated request that runs although it must not, or that gets an answer other than the one for the
// outcome of the first request and the time of the repetition.
func TestRepeat(t *testing.T) {
	for _, tc := range repeatCases() {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRepeat(t, tc) })
		})
	}
}

// checkRepeat sends a request and a repeated request in virtual time and checks the outcome of the repeated one.
func checkRepeat(t *testing.T, tc repeatCase) {
	clock := engine.NewClock()
	s := &stubCluster{}
	s.run = func(_ context.Context, n int64) (engine.Answer, error) {
		time.Sleep(firstDuration)
		if n > 1 && tc.err != nil {
			return servedAnswer("b"), nil
		}
		return tc.first, tc.err
	}
	c := New(limits(), clock).WrapCluster(s, testWindow, 0)
	var wg sync.WaitGroup
	wg.Go(func() { c.Do(t.Context(), keyedRequest(clock, "k", "x")) })
	time.Sleep(tc.after)
	a, err := c.Do(t.Context(), keyedRequest(clock, "k", tc.body))
	wg.Wait()
	status := 0
	if rejection := (*ingress.Rejection)(nil); errors.As(err, &rejection) {
		status = rejection.Status
	}
	if status != tc.status || tc.status == 0 && err != nil {
		t.Fatalf("got error %v, want a rejection with status %d (0 means no error)", err, tc.status)
	}
	h, ok := a.Value.(*h1client.Answer)
	replayed := ok && h.Header.Get(ReplayedHeader) == "true"
	otherVerdict := tc.status == 0 && a.Verdict != tc.verdict
	if otherVerdict || replayed != tc.replayed || s.runs.Load() != int64(tc.runs) {
		t.Errorf("got verdict %d, replayed %v, %d runs; want those of the test case", a.Verdict, replayed, s.runs.Load())
	}
}
