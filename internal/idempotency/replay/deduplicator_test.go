package replay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/idempotency/keystore"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stub runs requests as the test says.
type stub struct {
	runs atomic.Int64
	run  func(ctx context.Context, n int64) (engine.Answer, error)
}

func (s *stub) Do(ctx context.Context, _ *engine.Request) (engine.Answer, error) {
	return s.run(ctx, s.runs.Add(1))
}

func served(text string) engine.Answer {
	answer := &h1client.Answer{Status: http.StatusOK, Header: http.Header{"X-Of": {text}}, Body: []byte(text)}
	return engine.Answer{Verdict: engine.Served, Value: answer}
}

const window = 6 * time.Second

func keyed(clock engine.Clock, key, body string) *engine.Request {
	return &engine.Request{Deadline: clock.Now() + time.Second, Payload: &h1client.Request{
		Method: "POST", Target: "/push", Header: http.Header{"Idempotency-Key": {key}}, Body: []byte(body),
	}}
}

func limits() idempotency.Limits { return idempotency.Limits{Entries: 100, Bytes: 1 << 20, Joiners: 8} }

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

// The first's client leaves: with nobody waiting its request ends, with others it goes on for them,
// and ends when the last of them leaves.
func TestFirstLeaves(t *testing.T) {
	for name, joiners := range map[string]int{"alone": 0, "one waits": 1, "the one that waits leaves too": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := engine.NewClock()
				s := &stub{run: func(ctx context.Context, _ int64) (engine.Answer, error) {
					select {
					case <-time.After(500 * time.Millisecond):
						return served("a"), nil
					case <-ctx.Done():
						return engine.Answer{}, engine.ErrClientDisconnected
					}
				}}
				c := New(limits(), clock).Cluster(s, window, 0)
				ctx, leave := context.WithCancel(t.Context())
				other, leaveToo := context.WithCancel(t.Context())
				var all sync.WaitGroup
				var joined engine.Answer
				var joinedErr error
				all.Go(func() {
					if _, err := c.Do(ctx, keyed(clock, "k", "x")); !errors.Is(err, engine.ErrClientDisconnected) {
						t.Errorf("the first got %v", err)
					}
				})
				synctest.Wait()
				if joiners != 0 {
					all.Go(func() { joined, joinedErr = c.Do(other, keyed(clock, "k", "x")) })
					synctest.Wait()
				}
				leave()
				if synctest.Wait(); joiners < 0 {
					leaveToo()
				}
				began := clock.Now()
				all.Wait()
				synctest.Wait()
				served := joinedErr == nil && joined.Verdict == engine.Served
				switch took := clock.Now() - began; {
				case joiners > 0 && (!served || took != 500*time.Millisecond):
					t.Errorf("the joiner got %+v, %v after %v", joined, joinedErr, took)
				case joiners <= 0 && took != 0:
					t.Errorf("the request went on for %v with nobody there", took)
				}
				leaveToo()
			})
		})
	}
}

// Right before an attempt is sent, the request counts as abandoned if the first's client has disconnected and
// nobody else waits; with a joiner it does not.
func TestClientLeftCountsWithoutJoinersOnly(t *testing.T) {
	for _, joined := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			clock, goes := engine.NewClock(), make(chan struct{})
			s := &stub{run: func(context.Context, int64) (engine.Answer, error) { <-goes; return served("a"), nil }}
			c := New(limits(), clock).Cluster(s, window, 0)
			left := false
			r := keyed(clock, "k", "x")
			r.ClientDisconnected = func() bool { return left }
			var all sync.WaitGroup
			all.Go(func() { c.Do(t.Context(), r) })
			synctest.Wait()
			if joined {
				all.Go(func() { c.Do(t.Context(), keyed(clock, "k", "x")) })
				synctest.Wait()
			}
			if r.ClientDisconnected() {
				t.Error("left while its client waits")
			}
			if left = true; r.ClientDisconnected() == joined {
				t.Errorf("joined %v: left %v once the first's client has gone", joined, r.ClientDisconnected())
			}
			close(goes)
			all.Wait()
		})
	}
}

// A process is killed at a drawn moment and comes back with its log: a key that had started is not
// taken for new, one that was rejected is, and one whose start the disk did not take never ran.
func TestKnownAfterACrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	clock := engine.NewClock()
	start := func(s *stub) (ingress.Handler, *keystore.Log) {
		log, known, err := keystore.Open(path, time.Now(), nil)
		if err != nil {
			t.Fatal(err)
		}
		g := New(limits(), clock)
		if err := g.AttachLog(log, known); err != nil {
			t.Fatal(err)
		}
		return g.Cluster(s, time.Hour, 0), log
	}
	running := make(chan struct{})
	s := &stub{run: func(ctx context.Context, n int64) (engine.Answer, error) {
		switch n {
		case 1:
			return served("a"), nil
		case 2:
			return engine.Answer{Verdict: engine.Rejected}, nil
		}
		close(running)
		<-ctx.Done()
		return engine.Answer{}, engine.ErrClientDisconnected
	}}
	c, log := start(s)
	c.Do(t.Context(), keyed(clock, "answered", "x"))
	c.Do(t.Context(), keyed(clock, "rejected", "x"))
	ctx, kill := context.WithCancel(t.Context())
	var all sync.WaitGroup
	all.Go(func() { c.Do(ctx, keyed(clock, "open", "x")) })
	<-running
	log.Close() // what is recorded from here on is lost, as by a kill
	kill()
	all.Wait()
	a, err := c.Do(t.Context(), keyed(clock, "late", "x"))
	if err != nil || a.Verdict != engine.Rejected || s.runs.Load() != 3 {
		t.Errorf("a start that is not durable: %+v, %v, %d runs", a, err, s.runs.Load())
	}
	again := &stub{run: func(context.Context, int64) (engine.Answer, error) { return served("b"), nil }}
	c, log = start(again)
	defer log.Close()
	for key, want := range map[string]int64{"answered": 0, "open": 0, "rejected": 1, "late": 1} {
		before := again.runs.Load()
		if c.Do(t.Context(), keyed(clock, key, "x")); again.runs.Load()-before != want {
			t.Errorf("%s: %d runs after the crash, want %d", key, again.runs.Load()-before, want)
		}
	}
	log.Close()
	g := New(idempotency.Limits{Entries: 2, Bytes: 1 << 20}, clock)
	log, known, err := keystore.Open(path, time.Now(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if g.AttachLog(log, known) == nil {
		t.Errorf("%d known keys are taken into a store of two", len(known))
	}
}

// Joiners keep their own time, and no answer's fields are shared between those that change them.
func TestJoinersKeepTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := engine.NewClock()
		s := &stub{run: func(context.Context, int64) (engine.Answer, error) {
			time.Sleep(800 * time.Millisecond)
			return served("a"), nil
		}}
		c := New(limits(), clock).Cluster(s, window, 0)
		var all sync.WaitGroup
		for i := range 4 {
			all.Go(func() {
				r := keyed(clock, "k", "x")
				if i == 3 {
					r.Deadline = clock.Now() + 200*time.Millisecond
				}
				a, err := c.Do(t.Context(), r)
				if h, ok := a.Value.(*h1client.Answer); ok {
					h.Header.Set("X-Mine", fmt.Sprint(i)) // under -race: two that share it are found
				} else if i != 3 || err != nil || a.Verdict != engine.Failed || clock.Now() > r.Deadline {
					t.Errorf("%d: %+v, %v", i, a, err)
				}
			})
			synctest.Wait()
		}
		all.Wait()
	})
}

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
