package xds

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/state"
)

// maxLoggedNames is the largest number of resource names in one log event.
const maxLoggedNames = 10

// Client follows control planes, one at a time. Create a Client with New and call Run once. Restore is the only method
// that may be called before Run.
type Client struct {
	config   Config
	log      *slog.Logger
	node     *corev3.Node
	machine  *ads.Machine
	state    *state.State
	selector *ads.ServerSelector
	started  time.Time // when New was called; the method now counts from here
	onChange func(*Delivery)
	cache    *versionCache    // nil if Config.CacheFile is empty
	requests chan ads.Request // read by the sender of the current stream
}

// New returns a client. If Config.CacheFile is set, New starts the goroutine that writes the file, and Run has to be
// called to end it.
func New(c Config, log *slog.Logger) *Client {
	c.setDefaults()
	x := &Client{
		config: c,
		log:    log,
		node: &corev3.Node{
			Id: c.NodeID, Cluster: c.NodeCluster, UserAgentName: "yokestall",
			Locality: &corev3.Locality{Zone: c.Zone},
		},
		machine: ads.New(ads.Options{
			Variant:        c.Variant,
			Wildcard:       c.State.Wildcard(),
			MissingTimeout: c.MissingTimeout,
			Decode:         c.Translate.Decode,
		}),
		state:    state.New(c.State),
		selector: ads.NewServerSelector(len(c.Servers), c.Failover),
		started:  time.Now(),
	}
	if c.CacheFile != "" {
		x.cache = newVersionCache(c.CacheFile, log)
	}
	return x
}

// now returns the time since New was called. The state machine and the server selector use this clock.
func (x *Client) now() time.Duration { return time.Since(x.started) }

// Restore reads the last valid version from the cache file and calls onChange with it. It reports whether the file had
// a usable version.
func (x *Client) Restore(onChange func(*Delivery)) bool {
	if x.cache == nil {
		return false
	}
	cached, err := x.cache.load()
	if err != nil {
		x.log.Warn("cached control plane version unusable", "file", x.config.CacheFile, "err", err)
		return false
	}
	if cached == nil {
		return false
	}
	for t := range ads.TypeCount { // referring types come first: the state drops resources that nothing refers to
		x.restoreType(t, cached)
	}
	x.subscribe()
	x.log.Info("starting from the cached control plane version",
		"file", x.config.CacheFile, "age", time.Since(cached.savedAt).Round(time.Second))
	onChange(&Delivery{ReceivedAt: time.Now(), Full: true, View: x.state})
	return true
}

// restoreType applies the cached resources of a type. A resource that is no longer valid is ignored: another version of
// this program, or other settings, accepted it.
func (x *Client) restoreType(t ads.Type, cached *cachedVersion) {
	u := &ads.Update{Type: t}
	versions := map[string]string{}
	for name, r := range cached.resources[t] {
		_, value, err := x.config.Translate.Decode(t, r.Body)
		if err != nil {
			x.log.Warn("cached resource ignored", "type", t, "name", name, "err", err)
			continue
		}
		u.Accepted = append(u.Accepted, ads.ValidResource{Name: name, Version: r.Version, Value: value})
		versions[name] = r.Version
	}
	x.state.Apply(cached.savedAt, u)
	x.machine.Restore(t, cached.versions[t], versions)
}

// Run follows the control planes until ctx ends, and calls onChange for each change of clusters or routes.
func (x *Client) Run(ctx context.Context, onChange func(*Delivery)) {
	x.onChange = onChange
	x.subscribe()
	if x.cache != nil {
		defer x.cache.close(x.machine)
	}
	for ctx.Err() == nil {
		server := x.config.Servers[x.selector.Current()]
		err := x.runStream(ctx, server)
		x.machine.StreamClosed()
		if x.cache != nil {
			x.cache.saveNow(x.machine) // this version may stay in use for long while no control plane is reachable
		}
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, x.backoff(server, err))
	}
}

// backoff returns the time to wait before the next stream is opened. err is the reason for which the last stream ended;
// it is nil if the stream was closed to probe a preferred server.
func (x *Client) backoff(server string, err error) time.Duration {
	if err == nil {
		x.log.Info("probing a preferred control plane", "addr", x.config.Servers[x.selector.Current()])
		return 0
	}
	wait := x.selector.StreamFailed(x.now(), rand.Float64())
	x.log.Warn("control plane disconnected, keeping its last configuration",
		"addr", server, "err", err,
		"next", x.config.Servers[x.selector.Current()], "wait", wait.Round(time.Millisecond))
	return wait
}

// sleep returns after wait, or as soon as ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handleMessage handles a received message. The caller ends the stream if handleMessage returns an error.
func (x *Client) handleMessage(m message) error {
	r, err := x.parseResponse(m.bytes)
	if err != nil {
		return err
	}
	u, answers, err := x.machine.Receive(r)
	if err != nil {
		x.log.Warn("control plane response ignored", "cause", err)
		return nil
	}
	x.selector.ResponseReceived()
	for _, answer := range answers {
		if answer.ErrorDetail != "" {
			x.log.Error("control plane response partly rejected, keeping former resources",
				"type", answer.Type, "version", r.Version, "cause", answer.ErrorDetail)
		}
	}
	if x.cache != nil {
		x.cache.record(&u)
	}
	// Changes are delivered before the ACK or NACK is sent, because drain timeouts count from the time of receipt.
	if !u.Empty() {
		if err := x.apply(m.receivedAt, &u); err != nil {
			return err
		}
	}
	return x.send(answers)
}

// handleTick handles the timeouts that have passed. done reports that the stream is to be closed to probe a preferred
// server. The caller also ends the stream if handleTick returns an error.
func (x *Client) handleTick() (done bool, err error) {
	now := x.now()
	for _, u := range x.machine.Tick(now) {
		x.log.Warn("control plane lacks requested resources",
			"type", u.Type, "count", len(u.Missing), "names", u.Missing[:min(len(u.Missing), maxLoggedNames)])
		if err := x.apply(time.Now(), &u); err != nil {
			return false, err
		}
	}
	if openedAt, awaits := x.machine.AwaitsFirstResponse(); awaits && now-openedAt >= x.config.FirstResponseTimeout {
		return false, fmt.Errorf("no response on the stream within %v", x.config.FirstResponseTimeout)
	}
	return x.selector.ReturnToPreferred(now), nil
}

// nextTick returns the time, on the clock of now, at which handleTick is due.
func (x *Client) nextTick() time.Duration {
	due := x.now() + maxTickInterval
	if at, ok := x.machine.NextTick(); ok {
		due = min(due, at)
	}
	if openedAt, awaits := x.machine.AwaitsFirstResponse(); awaits {
		due = min(due, openedAt+x.config.FirstResponseTimeout)
	}
	return due
}

// apply applies an update to the state, calls onChange if clusters or routes changed, and updates the subscriptions.
func (x *Client) apply(receivedAt time.Time, u *ads.Update) error {
	change := x.state.Apply(receivedAt, u)
	if change.Full || len(change.Clusters) > 0 {
		x.onChange(&Delivery{ReceivedAt: receivedAt, Clusters: change.Clusters, Full: change.Full, View: x.state})
	}
	if u.Type == ads.Cluster {
		if pending := x.state.Pending(); len(pending) > 0 {
			x.log.Info("clusters have no endpoints yet, rejecting their requests",
				"count", len(pending), "names", pending[:min(len(pending), maxLoggedNames)])
		}
	}
	if !change.SubscriptionsChanged {
		return nil
	}
	return x.subscribe()
}

// subscribe subscribes to the resources that the current state refers to.
func (x *Client) subscribe() error {
	for t := range ads.TypeCount {
		requests, overLimit := x.machine.Subscribe(x.now(), t, x.state.Subscriptions(t))
		if len(overLimit) > 0 {
			x.log.Error("resource limit exceeded", "type", t, "over", len(overLimit), "first", overLimit[0])
		}
		if err := x.send(requests); err != nil {
			return err
		}
	}
	return nil
}

// send queues requests for the sender of the current stream. It returns an error if the queue is full.
func (x *Client) send(requests []ads.Request) error {
	for _, r := range requests {
		select {
		case x.requests <- r:
		default:
			return fmt.Errorf("control plane does not read its requests: the queue of %d requests is full", maxQueuedRequests)
		}
	}
	return nil
}
