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

// maxJoiners is the number of requests that may wait for the outcome of another request with the same idempotency key.
const maxJoiners = 64

// App is the running load balancer. Create it with New and end it with Close.
type App struct {
	Options
	clock engine.Clock
	ctx   context.Context // canceled by Close
	stop  context.CancelFunc

	keyLog *keystore.Log        // nil: idempotency keys are not durable
	dedup  *replay.Deduplicator // nil: requests with a key are not deduplicated

	mu      sync.Mutex            // serializes changes of state, and guards aborted
	state   atomic.Pointer[state] // never nil; stored with mu locked
	aborted bool                  // AbortRequests was called

	// background counts the goroutines of the app and of its clusters, including clusters that are no longer in state.
	background sync.WaitGroup
	// undefinedClusters has the names of undefined clusters for which a request was rejected. Each name is logged once
	// per version.
	undefinedClusters sync.Map
}

// Options are the parameters of an App that are not in its configuration files.
type Options struct {
	Seed uint64 // seed of the policy's random number generator
	Log  *slog.Logger
	// OnSend is called when an attempt is sent, with the attempt's cluster, its endpoint (cluster.Endpoint.Key) and the
	// time. OnSend must not block; it may be nil.
	OnSend func(cluster string, endpoint uint64, at time.Time)
	// LeaseValid reports whether the node may act on the configuration that was applied last. It is called when a
	// request is routed and before the first byte of each attempt. If it is nil, the node always may.
	LeaseValid func() bool
	Keys       *tlskeys.Store // nil: TLS is not available
	Path       string         // path of the program's file; relative paths in that file start from its folder
}

// New starts an App with its first configuration version. It fails if the version can't be applied or the log of
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

// startDedup starts the deduplication of requests by idempotency key, if the program's settings enable it.
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

// openKeyLog opens the log of idempotency keys and restores the keys in it. If the path is empty, there is no log, and
// openKeyLog does nothing.
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

// AbortRequests answers the requests in flight, and all later ones, at once. No attempt is sent to an endpoint after it.
func (a *App) AbortRequests() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	for _, c := range a.state.Load().clusters {
		c.abortRequests()
	}
}

// Close aborts the requests as AbortRequests does, ends all clusters and waits for the goroutines of the App.
func (a *App) Close() {
	a.AbortRequests()
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
