// The node's discovery client: its state and lifecycle. Its other files are discoverysource.go (one address),
// pollloop.go and retryschedule.go (when an address is polled), hedgedpoll.go (one poll), endpointupdates.go (from a
// response to the policy) and endpointadmin.go (administrative changes).

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
	// initialResyncDelay is the delay from the first incomplete response to the request of the full list.
	initialResyncDelay = 500 * time.Millisecond
	maxResyncDelay     = time.Minute
)

// endpointWatcher follows the endpoint list of the discovery service and passes it on to the policy and the upstream
// connection pool, with the administrative state laid over it. The rules are those of package discovery.
//
// Each address that is followed has a pollLoop in a goroutine of its own; there are two while the discovery service
// moves to another address. run starts them and returns once all have ended.
type endpointWatcher struct {
	sink      endpointSink
	zoneIndex map[string]int // the policy's zones by name
	// polled reports that polls load a shared discovery service, so that the policy requests them; otherwise the
	// lists are pushed to an agent on this machine.
	polled        bool
	timing        discovery.PollTiming
	pollRequested chan struct{} // of capacity 1; holds a token from a request of the policy until a poll
	newAddress    <-chan string // the latest discovery address
	// initialized is closed once the node has a list to serve by, or has stopped waiting for one.
	initialized  chan struct{}
	clock        engine.Clock
	log          *slog.Logger
	listPrice    float64      // cost of polling a hundred instances of a list, in requests
	requestCount func() int64 // requests since countingSince; nil if nobody counts them
	// countingSince is the start of the watcher, in wall time.
	countingSince time.Time
	ready         func() // reports the node ready; may be called repeatedly

	// resyncBackoff spaces the requests of the full list after incomplete responses. Next is called without mu, Reset
	// with it: while discovery moves to another address, two pollLoops may call them at once.
	resyncBackoff discovery.Backoff

	// mu guards the fields below, and the order in which sink is given lists.
	mu sync.Mutex
	// list is what the responses so far have left; before the first one it is empty or initialList.
	list  discovery.List
	admin adminstate.State
	// source is the address whose responses are in list.
	source *discoverySource
	// published reports that sink has been given the initial list or a response.
	published bool
	// initialList is the list that the process was started with.
	initialList []discovery.Instance
	// resyncAt is when a poll requests the full list, since a response was incomplete; zero if none has to.
	resyncAt time.Time
	// onFirstUpdate is called once sink has been given the first list; nil from then on, or if there is nothing to
	// call. The caller of run sets it before.
	onFirstUpdate func()
}

// newEndpointWatcher returns a watcher that follows nothing before run. newAddress receives the latest address when the
// discovery service moves. The caller sets sink.
func newEndpointWatcher(
	cfg *Config, clock engine.Clock, newAddress <-chan string, log *slog.Logger,
) *endpointWatcher {
	timing := configuredTiming(cfg)
	return &endpointWatcher{
		zoneIndex:     cfg.Zones,
		polled:        cfg.Policy.PollEndpoints,
		timing:        timing,
		pollRequested: make(chan struct{}, 1),
		newAddress:    newAddress,
		initialized:   make(chan struct{}),
		clock:         clock,
		log:           log,
		listPrice:     cfg.ListPrice,
		countingSince: time.Now(),
		resyncBackoff: discovery.Backoff{Initial: initialResyncDelay, Max: maxResyncDelay},
		source:        newDiscoverySource(cfg.Discovery, timing),
	}
}

// configuredTiming returns the timing that a configuration sets, and otherwise the one for its kind of discovery.
func configuredTiming(cfg *Config) discovery.PollTiming {
	switch {
	case cfg.pollTiming.MaxCalls > 0:
		return cfg.pollTiming
	case cfg.Policy.PollEndpoints:
		return discovery.PolledTiming()
	}
	return discovery.PushedTiming(cfg.DrainGrace)
}

// requestPoll has a polled list requested now rather than after a while. The policy calls it.
func (w *endpointWatcher) requestPoll() {
	select {
	case w.pollRequested <- struct{}{}:
	default: // a request is pending already
	}
}

// run starts from the initial list and follows the discovery service until the context ends. ready is called once the
// node has a list of its own to serve by; it may be called repeatedly and concurrently.
//
// Where the list is polled, the policy requests the first poll and the initial list is used until its response. What an
// agent has counts from the start of the process: the initial list is used only if the agent does not respond in time.
func (w *endpointWatcher) run(ctx context.Context, initial endpointList, ready func()) {
	w.ready = ready
	w.mu.Lock()
	source := w.source
	source.generation, source.hasList = initial.Generation, len(initial.Instances) > 0
	w.initialList = initial.Instances
	w.mu.Unlock()
	var loops sync.WaitGroup
	defer loops.Wait()
	if w.polled {
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

// useInitialList publishes the list that the process was started with, unless there has been a response, and calls
// onUse if there is one. After that the node no longer waits for a list.
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
	case w.polled:
		w.requestFirstPoll()
	}
	w.markInitialized()
}

// requestFirstPoll has the policy request the first poll of a process that has no list: the policy schedules that poll
// when it gets a cached list, here an empty one. published stays false, since no list was given. mu is locked.
func (w *endpointWatcher) requestFirstPoll() {
	w.publish(policy.CachedUpdate, nil)
	w.published = false
}

// reportReadyLater calls ready at the end of ReadyTimeout, unless the context ends before.
func (w *endpointWatcher) reportReadyLater(ctx context.Context) {
	timer := time.AfterFunc(w.timing.ReadyTimeout-w.timing.InitialListTimeout, w.ready)
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// markInitialized closes initialized. mu is locked.
func (w *endpointWatcher) markInitialized() {
	select {
	case <-w.initialized:
	default:
		close(w.initialized)
	}
}

// followAddresses starts to follow each new address of the discovery service, until the context ends.
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

// addSource returns a source for a new address. The current source is followed until the new one has given its list;
// one that was added before and has not given its list is no longer followed. added is the one added last, or nil.
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

// startPollLoop follows a source in a goroutine, which ends with the context or with source.stop. With immediately the
// first poll does not wait for the policy's request.
func (w *endpointWatcher) startPollLoop(
	ctx context.Context, loops *sync.WaitGroup, source *discoverySource, immediately bool,
) {
	ctx, source.stop = context.WithCancel(ctx)
	loop := newPollLoop(w, source, immediately)
	loops.Go(func() { loop.run(ctx) })
}
