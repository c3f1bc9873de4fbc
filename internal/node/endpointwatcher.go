// This file has the state and the lifecycle of the node's discovery client. The client's other files are discoverysource.go
// (one address), pollloop.go and retryschedule.go (when an address is polled), hedgedpoll.go (one poll), endpointupdates.go
// (from a response to the policy) and endpointadmin.go (administrative changes).

package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
	"yokestall/internal/engine"
	"yokestall/policy"
)

const (
	// initialResyncDelay is the delay between the first incomplete response and the request for the full list.
	initialResyncDelay = 500 * time.Millisecond
	maxResyncDelay     = time.Minute
)

// endpointWatcher follows the endpoint list of the discovery service, applies the administrative state to it, and passes it
// on to the policy and the upstream connection pool. Package discovery has the rules for polls and updates.
//
// Each address that is followed has a pollLoop in a goroutine of its own. Two addresses are followed while the discovery
// service moves to another address. run starts the loops and returns once all have ended.
type endpointWatcher struct {
	sink      endpointSink
	zoneIndex map[string]int // zone number of the policy by zone name
	// sharedDiscovery reports that polls go to a discovery service that all nodes share, so that the policy decides when
	// to poll. Otherwise they go to the agent on this machine.
	sharedDiscovery bool
	timing          discovery.PollTiming
	pollRequested   chan struct{} // has capacity 1 and holds a token from the policy's request until the poll
	newAddress      <-chan string // receives the latest discovery address
	// initialized is closed once the node has a list to serve by, or has stopped waiting for a list.
	initialized  chan struct{}
	clock        engine.Clock
	log          *slog.Logger
	listPrice    float64      // cost of each 100 instances in a polled list; the unit is the value of one served request
	requestCount func() int64 // number of requests since countingSince; nil if requests are not counted
	// countingSince is the wall time at which the watcher was created.
	countingSince time.Time
	ready         func() // reports that the node is ready; may be called repeatedly

	// resyncBackoff spaces the requests for the full list after incomplete responses. Next is called without mu held and
	// Reset with mu held. While discovery moves to another address, two pollLoops may call them concurrently.
	resyncBackoff discovery.Backoff

	// mu guards the fields below, and the order in which updates are passed to sink.
	mu sync.Mutex
	// list is the result of all responses so far. Before the first response it is empty or the initial list.
	list  discovery.List
	admin adminstate.State
	// source is the address whose responses are in list.
	source *discoverySource
	// published reports that the initial list or a response has been passed to sink.
	published bool
	// initialList is the list that the process was started with.
	initialList []discovery.Instance
	// resyncAt is when a poll requests the full list after an incomplete response. It is zero if no resync is due.
	resyncAt time.Time
	// onFirstUpdate is called after the first list has been passed to sink, and is nil from then on. It may be nil from
	// the beginning. It must be set before run is called.
	onFirstUpdate func()
}

// newEndpointWatcher returns a watcher that makes no calls before run. newAddress receives the latest address when the
// discovery service moves. The caller must set sink before run.
func newEndpointWatcher(
	cfg *Config, clock engine.Clock, newAddress <-chan string, log *slog.Logger,
) *endpointWatcher {
	timing := configuredTiming(cfg)
	return &endpointWatcher{
		zoneIndex:       cfg.Zones,
		sharedDiscovery: cfg.Policy.PollEndpoints,
		timing:          timing,
		pollRequested:   make(chan struct{}, 1),
		newAddress:      newAddress,
		initialized:     make(chan struct{}),
		clock:           clock,
		log:             log,
		listPrice:       cfg.ListPrice,
		countingSince:   time.Now(),
		resyncBackoff:   discovery.Backoff{Initial: initialResyncDelay, Max: maxResyncDelay},
		source:          newDiscoverySource(cfg.Discovery, timing),
	}
}

// configuredTiming returns the timing that the configuration sets, or else the default timing for its kind of discovery.
func configuredTiming(cfg *Config) discovery.PollTiming {
	switch {
	case cfg.pollTiming.MaxCalls > 0:
		return cfg.pollTiming
	case cfg.Policy.PollEndpoints:
		return discovery.PolledTiming()
	}
	return discovery.PushedTiming(cfg.DrainGrace)
}

// requestPoll makes the next poll of a shared discovery service start now instead of after the retry interval. The policy
// calls it.
func (w *endpointWatcher) requestPoll() {
	select {
	case w.pollRequested <- struct{}{}:
	default: // a request is already pending
	}
}

// run starts with the initial list and follows the discovery service until ctx is done. It calls ready, possibly repeatedly
// and concurrently, once the node has a list to serve by.
//
// With a shared discovery service, the policy requests the first poll, and the initial list is used until the response. With
// an agent on this machine, the process waits for the agent's list, and uses the initial list only if no response arrives
// within InitialListTimeout.
func (w *endpointWatcher) run(ctx context.Context, initial endpointList, ready func()) {
	w.ready = ready
	w.mu.Lock()
	source := w.source
	source.generation, source.hasList = initial.Generation, len(initial.Instances) > 0
	w.initialList = initial.Instances
	w.mu.Unlock()
	var loops sync.WaitGroup
	defer loops.Wait()
	if w.sharedDiscovery {
		w.useInitialList(ready)
		w.startPollLoop(ctx, &loops, source, false)
	} else {
		w.startPollLoop(ctx, &loops, source, true)
		unresponsive := time.AfterFunc(w.timing.InitialListTimeout, func() {
			w.useInitialList(func() { w.reportReadyLater(ctx) })
		})
		defer unresponsive.Stop()
	}
	w.followAddresses(ctx, &loops)
}

// useInitialList publishes the list that the process was started with and calls onUse, if that list is not empty. If it is
// empty and the discovery service is shared, the policy is made to request the first poll. From then on the node no longer
// waits for a list. useInitialList does nothing after the first response.
func (w *endpointWatcher) useInitialList(onUse func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.published {
		return
	}
	switch {
	case len(w.initialList) > 0:
		w.publishInitialList()
		onUse()
	case w.sharedDiscovery:
		w.requestFirstPoll()
	}
	w.markInitialized()
}

// requestFirstPoll makes the policy request the first poll of a process that has no initial list. The policy schedules that
// poll when it receives a cached list, so that an empty one is passed to it. published stays false, since the sink still
// has no list. w.mu is held.
func (w *endpointWatcher) requestFirstPoll() {
	w.publish(policy.CachedUpdate, nil)
	w.published = false
}

// reportReadyLater calls ready at the end of ReadyTimeout, unless ctx is done before that. It must be called at the end of
// InitialListTimeout.
func (w *endpointWatcher) reportReadyLater(ctx context.Context) {
	timer := time.AfterFunc(w.timing.ReadyTimeout-w.timing.InitialListTimeout, w.ready)
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// markInitialized closes initialized if it is not closed yet. w.mu is held.
func (w *endpointWatcher) markInitialized() {
	select {
	case <-w.initialized:
	default:
		close(w.initialized)
	}
}

// followAddresses starts to follow each new address of the discovery service until ctx is done.
func (w *endpointWatcher) followAddresses(ctx context.Context, loops *sync.WaitGroup) {
	var latest *discoverySource
	for {
		select {
		case addr := <-w.newAddress:
			w.log.Info("discovery address changed", "addr", addr)
			latest = w.addSource(addr, latest)
			w.startPollLoop(ctx, loops, latest, true)
		case <-ctx.Done():
			return
		}
	}
}

// addSource returns a source for a new address. The current source is followed until the new source has returned its list.
// added is the source that was added last, or nil; it is stopped if it has not become the current source.
func (w *endpointWatcher) addSource(addr string, added *discoverySource) *discoverySource {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.source
	if added != nil && added != current {
		added.stop()
		added.stopReplaced = nil
	}
	source := newDiscoverySource(addr, w.timing)
	source.stopReplaced = func() { current.stop() }
	return source
}

// startPollLoop follows a source in a goroutine, which ends when ctx is done or source.stop is called. If immediately is
// set, the first poll does not wait for the policy's request.
func (w *endpointWatcher) startPollLoop(
	ctx context.Context, loops *sync.WaitGroup, source *discoverySource, immediately bool,
) {
	ctx, source.stop = context.WithCancel(ctx)
	loop := newPollLoop(w, source, immediately)
	loops.Go(func() { loop.run(ctx) })
}
