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

// Guards against a request that runs again after the process was killed and restarted with its log. The key of a request
// that was answered, or that had started, must be known after the restart. The key of a request that was rejected must be
// new. A request whose start could not be recorded must not have run.
func TestKnownAfterACrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	clock := engine.NewClock()
	start := func(s *stubCluster) (ingress.Handler, *keystore.Log) {
		log, known, err := keystore.Open(path, time.Now(), nil)
		if err != nil {
			t.Fatal(err)
		}
		d := New(limits(), clock)
		if err := d.AttachLog(log, known); err != nil {
			t.Fatal(err)
		}
		return d.WrapCluster(s, time.Hour, 0), log
	}
	running := make(chan struct{})
	s := &stubCluster{run: func(ctx context.Context, n int64) (engine.Answer, error) {
		switch n {
		case 1:
			return servedAnswer("a"), nil
		case 2:
			return engine.Answer{Verdict: engine.Rejected}, nil
		}
		close(running)
		<-ctx.Done()
		return engine.Answer{}, engine.ErrClientDisconnected
	}}
	c, log := start(s)
	c.Do(t.Context(), keyedRequest(clock, "answered", "x"))
	c.Do(t.Context(), keyedRequest(clock, "rejected", "x"))
	ctx, killProcess := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { c.Do(ctx, keyedRequest(clock, "open", "x")) })
	<-running
	log.Close() // later records are lost, as after the process was killed
	killProcess()
	wg.Wait()
	a, err := c.Do(t.Context(), keyedRequest(clock, "late", "x"))
	if err != nil || a.Verdict != engine.Rejected || s.runs.Load() != 3 {
		t.Errorf("request whose start is not durable: got answer %+v, error %v, %d runs; want Rejected and 3 runs", a, err, s.runs.Load())
	}
	restarted := &stubCluster{run: func(context.Context, int64) (engine.Answer, error) { return servedAnswer("b"), nil }}
	c, log = start(restarted)
	defer log.Close()
	for key, want := range map[string]int64{"answered": 0, "open": 0, "rejected": 1, "late": 1} {
		before := restarted.runs.Load()
		if c.Do(t.Context(), keyedRequest(clock, key, "x")); restarted.runs.Load()-before != want {
			t.Errorf("key %s: got %d runs after the crash, want %d", key, restarted.runs.Load()-before, want)
		}
	}
	log.Close()
	d := New(idempotency.Limits{Entries: 2, Bytes: 1 << 20}, clock)
	log, known, err := keystore.Open(path, time.Now(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if d.AttachLog(log, known) == nil {
		t.Errorf("AttachLog accepted %d known keys for a store of 2 entries", len(known))
	}
}
