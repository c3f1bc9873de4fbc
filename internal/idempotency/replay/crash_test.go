package replay

import (
	"context"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/idempotency/keystore"
	"yokestall/internal/ingress"
)

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
	restarted := &stub{run: func(context.Context, int64) (engine.Answer, error) { return served("b"), nil }}
	c, log = start(restarted)
	defer log.Close()
	for key, want := range map[string]int64{"answered": 0, "open": 0, "rejected": 1, "late": 1} {
		before := restarted.runs.Load()
		if c.Do(t.Context(), keyed(clock, key, "x")); restarted.runs.Load()-before != want {
			t.Errorf("%s: %d runs after the crash, want %d", key, restarted.runs.Load()-before, want)
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
