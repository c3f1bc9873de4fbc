package app

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/priority"
	"yokestall/internal/tlskeys"
	"yokestall/policy"
)

// errNoKeys is returned where TLS is configured and the program has no keys.
var errNoKeys = errors.New("tls: the program has no [keys] folder")

// managedCluster is a cluster of the version in force. While requests come it is active: it has an engine for each of
// its tiers, of which a request gets one by the tiers' health. Without requests it is idle and has none, so that what a
// node spends follows the clusters that it uses and not those that exist (see activate and deactivate). It implements
// ingress.Handler.
type managedCluster struct {
	app       *App
	name      string
	settings  *policy.Settings // of the state that it was started for
	classes   []config.Class   // in the order of settings.Classes
	tenants   *tenantTable
	upstream  config.Upstream
	transport cluster.Transport
	tls       *tls.Config // nil: connections are clear text
	ctx       context.Context
	stop      context.CancelFunc
	streams   *streams

	retired  atomic.Bool           // another cluster took its place, or none
	active   atomic.Pointer[tiers] // nil: the cluster is idle
	inFlight atomic.Int64          // requests within doOnce
	lastUsed atomic.Int64          // when a request ended last, on the app's clock

	// mu guards the fields below, and changes of active.
	mu        sync.Mutex
	tiers     map[priority.Key]*tier // those whose engines run; empty if the cluster is idle
	current   *cluster.Config        // of the last update; the engines have it if the cluster is active
	abandoned bool                   // abandon was called
	snapshots *snapshots             // of engines that have ended; nil: none
}

// newManagedCluster returns a cluster of a state. It is idle.
func (a *App) newManagedCluster(name string, s *state, transport cluster.Transport) (*managedCluster, error) {
	r := &managedCluster{
		app: a, name: name, settings: s.settings, classes: s.program.Classes, tenants: s.tenants,
		upstream: s.program.Upstream, transport: transport, streams: newStreams(a.clock),
		tiers: map[priority.Key]*tier{},
	}
	if t := transport.TLS; t != nil {
		if a.Keys == nil {
			return nil, errNoKeys
		}
		r.tls = a.Keys.ClientConfig(tlskeys.ServerAuth{
			ServerName: t.ServerName, Roots: t.Roots, Certificate: t.Certificate, Pins: t.Pins,
		})
	}
	r.ctx, r.stop = context.WithCancel(a.ctx)
	return r, nil
}

// update brings the cluster to another version, which was delivered at a time on the app's clock. An idle cluster
// applies it when it is activated.
func (r *managedCluster) update(deliveredAt time.Duration, c *cluster.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c == r.current {
		return
	}
	r.current = c
	if r.active.Load() != nil {
		r.updateTiers(deliveredAt)
	}
}

// retire ends the cluster once its requests in flight have ended. Its endpoints are removed as of a time on the clock.
func (r *managedCluster) retire(deliveredAt time.Duration) {
	r.retired.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tiers {
		r.retireTier(deliveredAt, t)
	}
	if len(r.tiers) == 0 {
		r.stop()
		return
	}
	ending := slices.Collect(maps.Values(r.tiers))
	r.app.background.Go(func() {
		for _, t := range ending {
			<-t.engine.Ended()
		}
		r.stop()
	})
}

// retireTier removes a tier's endpoints and ends its engine once its requests have ended; r.mu is locked.
func (r *managedCluster) retireTier(deliveredAt time.Duration, t *tier) {
	t.engine.UpdateEndpointsAt(deliveredAt, policy.FullUpdate, nil)
	t.engine.Retire()
	r.streams.drain(deliveredAt, t.endpoints())
}

// abandon answers the requests in flight at once, and those that still come.
func (r *managedCluster) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = true
	for _, t := range r.tiers {
		t.engine.Abort()
	}
}

// wait waits for the end of all engines. The caller has canceled their context or a parent of it.
func (r *managedCluster) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tiers {
		<-t.engine.Ended()
	}
}

// discard ends a cluster that no state has had.
func (r *managedCluster) discard() {
	r.stop()
	r.wait()
}
