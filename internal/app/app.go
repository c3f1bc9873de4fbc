package app

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/engine"
	"yokestall/internal/files"
	"yokestall/internal/idempotency"
	"yokestall/internal/idempotency/keystore"
	"yokestall/internal/idempotency/replay"
	"yokestall/internal/tlskeys"
)

// maxJoiners is the number of requests that may wait for the outcome of another one with their key.
const maxJoiners = 64

// App is the product program. Create it with New and end it with Close.
type App struct {
	Options
	clock engine.Clock
	ctx   context.Context // ends with Close
	stop  context.CancelFunc

	keyLog *keystore.Log        // nil: idempotency keys are not durable
	dedup  *replay.Deduplicator // nil: requests with a key are not deduplicated

	mu    sync.Mutex            // admits one change of state at a time
	state atomic.Pointer[state] // never nil; changed with mu locked

	// background has the goroutines of the app and of its clusters, those without a place in state included.
	background sync.WaitGroup
	// undefinedClusters has the names of clusters that a request was rejected for, so that each is logged once a version.
	undefinedClusters sync.Map
}

// Options are the parameters of an app that are not in its configuration files.
type Options struct {
	Seed uint64 // of the random draws of the policy
	Log  *slog.Logger
	// OnSend is called when an attempt is sent, with its cluster, the endpoint (cluster.Endpoint.Key) and the time. It
	// must not block. It may be nil.
	OnSend func(cluster string, endpoint uint64, at time.Time)
	// LeaseValid reports whether the node may act on the configuration that was applied last. It is called when a
	// request is routed and before the first byte of each attempt. Nil: it always may.
	LeaseValid func() bool
	Keys       *tlskeys.Store // nil: TLS is not available
	Path       string         // of the program's file; relative paths in it start from its folder
}

// New starts an app with its first configuration version. The error says why that can't be applied, or the log of
// idempotency keys can't be opened.
func New(first *files.Configuration, o Options) (*App, error) {
	a := &App{Options: o, clock: engine.NewClock()}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.state.Store(&state{clusters: map[string]*managedCluster{}})
	if err := a.startDedup(first.Program); err != nil {
		a.Close()
		return nil, err
	}
	if err := a.Apply(first); err != nil {
		a.Close()
		return nil, err
	}
	a.background.Go(a.watchIdle)
	return a, nil
}

// startDedup starts the deduplication of requests by their key, if the program has it.
func (a *App) startDedup(p *config.Program) error {
	settings := p.Repeats
	if settings.Entries == 0 {
		return nil
	}
	a.dedup = replay.New(idempotency.Limits{
		Entries: settings.Entries, Bytes: settings.Bytes, Joiners: maxJoiners, Tenants: len(p.Tenants),
	}, a.clock)
	if settings.Late {
		a.dedup.AcceptLateOutcomes()
	}
	return a.openKeyLog(settings.Log)
}

// openKeyLog opens the log of idempotency keys and restores the keys in it. An empty path means none.
func (a *App) openKeyLog(path string) error {
	if path == "" {
		return nil
	}
	var known []keystore.KnownKey
	var err error
	if a.keyLog, known, err = keystore.Open(files.Beside(a.Path, path), time.Now(), nil); err != nil {
		return err
	}
	return a.dedup.AttachLog(a.keyLog, known)
}

// Close ends all clusters and waits for their goroutines. Requests in flight are answered first.
func (a *App) Close() {
	for _, c := range a.state.Load().clusters {
		c.abandon()
	}
	a.stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.state.Load().clusters {
		c.wait()
	}
	a.background.Wait()
	if a.keyLog != nil {
		if err := a.keyLog.Close(); err != nil {
			a.Log.Error("idempotency keys are not durable", "err", err)
		}
	}
}
