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

// errNoKeys is returned if TLS is configured for a listener or a cluster and the program has no keys.
var errNoKeys = errors.New("tls: TLS is configured, but the program's file has no [keys] folder")

// managedCluster is a cluster of the version in force. It implements ingress.Handler.
//
// A cluster that gets requests is active: it has an engine for each of its tiers, and each request is passed to the
// engine of one tier, chosen by the health of the tiers. A cluster without requests is idle and has no engines, so that a
// node's memory and CPU time depend on the clusters that it uses and not on all defined clusters. See activate and
// deactivate.
type managedCluster struct {
	app       *App
	name      string
	settings  *policy.Settings // settings of the state for which the cluster was created
	classes   []config.Class   // in the order of settings.Classes
	tenants   *tenantTable
	upstream  config.Upstream
	transport cluster.Transport
	tls       *tls.Config // nil: connections are in clear text
	ctx       context.Context
	stop      context.CancelFunc
	streams   *streams

	retired  atomic.Bool           // the cluster was removed or replaced by a successor
	active   atomic.Pointer[tiers] // nil: the cluster is idle
	inFlight atomic.Int64          // number of requests within doOnce
	lastUsed atomic.Int64          // end of the last request, in nanoseconds on the app's clock

	// mu guards the fields below, and changes of active.
	mu        sync.Mutex
	tiers     map[priority.Key]*tier // tiers with a running engine; empty if the cluster is idle
	current   *cluster.Config        // configuration of the last update; in force in the engines of an active cluster
	aborted   bool                   // abortRequests was called
	snapshots *snapshots             // cached snapshots of engines that have ended; nil: none
}

// newManagedCluster returns an idle cluster with the settings of a state. The caller holds a.mu.
func (a *App) newManagedCluster(name string, s *state, transport cluster.Transport) (*managedCluster, error) {
	r := &managedCluster{
		app: a, name: name, settings: s.settings, classes: s.program.Classes, tenants: s.tenants,
		upstream: s.program.Upstream, transport: transport, streams: newStreams(a.clock),
		tiers: map[priority.Key]*tier{}, aborted: a.aborted,
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

// update sets the cluster's configuration, which was delivered at a time on the app's clock. The engines of an idle
// cluster get the configuration when the cluster is activated.
func (m *managedCluster) update(deliveredAt time.Duration, c *cluster.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c == m.current {
		return
	}
	m.current = c
	if m.active.Load() != nil {
		m.updateTiers(deliveredAt)
	}
}

// retire removes the cluster's endpoints as of a time on the app's clock, and ends the cluster once its requests in flight
// have ended.
func (m *managedCluster) retire(deliveredAt time.Duration) {
	m.retired.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tiers {
		m.retireTier(deliveredAt, t)
	}
	if len(m.tiers) == 0 {
		m.stop()
		return
	}
	ending := slices.Collect(maps.Values(m.tiers))
	m.app.background.Go(func() {
		for _, t := range ending {
			<-t.engine.Ended()
		}
		m.stop()
	})
}

// retireTier removes a tier's endpoints, and ends the tier's engine once its requests have ended. The caller holds
// m.mu.
func (m *managedCluster) retireTier(deliveredAt time.Duration, t *tier) {
	t.engine.UpdateEndpointsAt(deliveredAt, policy.FullUpdate, nil)
	t.engine.Retire()
	m.streams.drain(deliveredAt, t.endpoints())
}

// abortRequests makes the engines answer the requests in flight, and all later ones, at once.
func (m *managedCluster) abortRequests() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.aborted = true
	for _, t := range m.tiers {
		t.engine.Abort()
	}
}

// wait waits for the end of all engines. The caller must have canceled the engines' context or a parent of that context.
func (m *managedCluster) wait() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tiers {
		<-t.engine.Ended()
	}
}

// discard ends a cluster that has never been part of a stored state.
func (m *managedCluster) discard() {
	m.stop()
	m.wait()
}
