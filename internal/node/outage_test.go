package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// outage is how a discovery service is unavailable.
type outage struct {
	name string
	// newCalls is the fault of calls that start during the outage.
	newCalls fault
	// openCalls is the fault of calls that are in flight when it begins.
	openCalls fault
}

type fault int

// shortOutage is an outage that may be over before any call is made in it.
const shortOutage = 50 * time.Millisecond

const (
	refused      fault = iota // the call fails at once
	errorStatus               // it is answered by an error status, after a while
	unresponsive              // it is never answered
	anyFault                  // one of the others, drawn for each call
)

// faultyDiscovery is a discovery service in virtual time that can be unavailable. It responds as the protocol says.
type faultyDiscovery struct {
	rng             *rand.Rand    // guarded by mu
	maxResponseTime time.Duration // a response takes up to so long

	mu         sync.Mutex
	generation uint64
	draining   bool
	outage     *outage
	changed    chan struct{} // closed at the next change, or as an outage begins
	called     chan struct{} // takes a token where a call starts in an outage
}

// change makes a change, and wakes the calls in flight.
func (d *faultyDiscovery) change(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	close(d.changed)
	d.changed = make(chan struct{})
}

// RoundTrip implements http.RoundTripper.
func (d *faultyDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	query := r.URL.Query()
	after, _ := parseUint(query.Get("after"))
	wait, _ := time.ParseDuration(query.Get("wait_ms") + "ms")
	waitOver := time.After(wait)
	waits := query.Has("after")
	for {
		d.mu.Lock()
		if d.outage != nil {
			f := d.outage.newCalls
			d.mu.Unlock()
			select {
			case d.called <- struct{}{}:
			default:
			}
			return d.fail(r.Context(), f)
		}
		generation, changed := d.generation, d.changed
		responseTime := time.Duration(d.rng.Int64N(int64(d.maxResponseTime) + 1))
		d.mu.Unlock()
		if !waits || generation > after {
			return d.respond(r.Context(), responseTime)
		}
		select {
		case <-waitOver:
			waits = false
		case <-changed:
			d.mu.Lock()
			o := d.outage
			d.mu.Unlock()
			if o != nil {
				return d.fail(r.Context(), o.openCalls)
			}
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

func parseUint(text string) (n uint64, err error) { _, err = fmt.Sscan(text, &n); return n, err }

// fail ends a call with a fault.
func (d *faultyDiscovery) fail(ctx context.Context, f fault) (*http.Response, error) {
	d.mu.Lock()
	if f == anyFault {
		f = fault(d.rng.IntN(int(anyFault)))
	}
	responseTime := time.Duration(d.rng.Int64N(int64(d.maxResponseTime) + 1))
	d.mu.Unlock()
	switch f {
	case refused:
		return nil, errors.New("connection refused")
	case errorStatus:
		select {
		case <-time.After(responseTime):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (d *faultyDiscovery) respond(ctx context.Context, responseTime time.Duration) (*http.Response, error) {
	select {
	case <-time.After(responseTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	instance := discovery.Instance{InstanceID: "s-0", HostPort: "127.0.0.1:1", Lifecycle: "Ready", Weight: 1}
	if d.draining {
		instance = draining(instance)
	}
	text, err := json.Marshal(listOf(d.generation, instance))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(text)))}, err
}

// awaitCalls waits until so many further calls have started in the outage.
func (d *faultyDiscovery) awaitCalls(n int) {
	for range n {
		select {
		case <-d.called:
		default:
		}
		<-d.called
	}
}

// pollingPolicy is the real policy before an endpointWatcher: it requests polls, with its own backoff, and nothing
// else. It implements endpointSink and policy.Host.
type pollingPolicy struct {
	clock   engine.Clock
	watcher *endpointWatcher
	ctx     context.Context

	mu        sync.Mutex
	balancer  *policy.Balancer
	drainedAt time.Time // when it was given the drain
}

func (p *pollingPolicy) UpdateAddresses(bool, []h1client.Endpoint) {}

func (p *pollingPolicy) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range endpoints {
		if e.State == policy.Draining && p.drainedAt.IsZero() {
			p.drainedAt = time.Now()
		}
	}
	p.balancer.UpdateEndpoints(p.clock.Now(), kind, endpoints)
	return true
}

func (p *pollingPolicy) SetTimer(at time.Duration, token uint64) {
	timer := time.AfterFunc(at-p.clock.Now(), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.balancer.Timer(p.clock.Now(), token)
	})
	context.AfterFunc(p.ctx, func() { timer.Stop() })
}

func (p *pollingPolicy) RequestPoll()                                            { p.watcher.requestPoll() }
func (p *pollingPolicy) Send(policy.RequestID, policy.EndpointID, time.Duration) {}
func (p *pollingPolicy) Cancel(policy.RequestID, int)                            {}
func (p *pollingPolicy) Reject(policy.RequestID, time.Duration)                  {}
func (p *pollingPolicy) Fail(policy.RequestID)                                   {}

var (
	_ endpointSink = (*pollingPolicy)(nil)
	_ policy.Host  = (*pollingPolicy)(nil)
)

// outageCase is a kind of discovery and the length of its outages.
type outageCase struct {
	mode            string
	maxPollInterval time.Duration // the policy's backoff grows to a quarter of it
	shortest        time.Duration // outage
	longest         time.Duration
	maxResponseTime time.Duration
	seeds           uint64
}

// After a failed, refused or abandoned call a change counts as known 6 s after discovery had it and could be reached,
// however long it was unavailable and however its calls failed meanwhile: with the part of the drain grace that is
// left to requests on their way, the node has acted on it by then. Where lists are pushed, what the agent has counts
// at once.
func TestChangeAfterOutage(t *testing.T) {
	t.Parallel()
	for _, tc := range []outageCase{
		{"pushed", 10 * time.Second, time.Millisecond, 4 * time.Second, 10 * time.Millisecond, 15}, // short backoff
		{"on_request", 10 * time.Second, time.Millisecond, shortOutage, 300 * time.Millisecond, 60},
		{"on_request", 10 * time.Second, 2 * time.Second, 90 * time.Second, time.Second, 60}, // calls are queued
		{"on_request", time.Minute, 2 * time.Second, 90 * time.Second, time.Second, 60},
	} {
		for _, o := range []outage{
			{"refused", refused, refused},
			{"refused, open calls unresponsive", refused, unresponsive},
			{"error status", errorStatus, errorStatus},
			{"error status, open calls reset", errorStatus, refused},
			{"unresponsive", unresponsive, unresponsive},
			{"unresponsive, open calls reset", unresponsive, refused},
			{"any", anyFault, anyFault},
		} {
			name := fmt.Sprint(tc.mode, ", poll interval ", tc.maxPollInterval, ", for ", tc.longest, " at most, ", o.name)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				slowest := time.Duration(0)
				for seed := range tc.seeds {
					synctest.Test(t, func(t *testing.T) { slowest = max(slowest, changeAfterOutage(t, tc, &o, seed)) })
				}
				t.Logf("the slowest change was known after %v", slowest)
			})
		}
	}
}

func newFaultyDiscovery(seed uint64, maxResponseTime time.Duration) *faultyDiscovery {
	return &faultyDiscovery{
		rng: rand.New(rand.NewPCG(seed, 49)), maxResponseTime: maxResponseTime,
		generation: 1, changed: make(chan struct{}), called: make(chan struct{}, 1),
	}
}

// newPollingPolicy returns the policy and watcher of a node that follows a service in virtual time until ctx ends.
func newPollingPolicy(
	ctx context.Context, t *testing.T, mode string, maxPollInterval time.Duration, seed uint64, service *faultyDiscovery,
) (*Config, *pollingPolicy) {
	settings := strings.Replace(settingsText, "pushed", mode, 1)
	cfg, err := parseConfig([]byte(`{"name": "n", "discovery": "d", "settings": ` + settings + `}`))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Policy.NodeCount, cfg.Policy.Rules.MaxPollInterval = 300, maxPollInterval
	clock := engine.NewClock()
	watcher := newEndpointWatcher(cfg, clock, make(chan string), testutil.DiscardLogger)
	p := &pollingPolicy{clock: clock, ctx: ctx, watcher: watcher}
	watcher.source.client = &http.Client{Transport: service}
	watcher.sink = p
	if p.balancer, err = policy.New(cfg.Policy, seed, p); err != nil {
		t.Fatal(err)
	}
	return cfg, p
}

// changeAfterOutage plays one outage and returns how long after discovery's return, or the change if that came later,
// the policy was given the change.
func changeAfterOutage(t *testing.T, tc outageCase, o *outage, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 48))
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Int64N(int64(to-from)))
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	service := newFaultyDiscovery(seed, tc.maxResponseTime)
	cfg, p := newPollingPolicy(ctx, t, tc.mode, tc.maxPollInterval, seed, service)
	ready := make(chan struct{})
	running.Go(func() { p.watcher.run(ctx, endpointList{}, sync.OnceFunc(func() { close(ready) })) })
	<-ready
	time.Sleep(between(time.Second, 20*time.Second)) // some way into a long poll,
	if rng.IntN(2) == 0 {                            // or just after its start
		service.change(func() { service.generation++ })
		time.Sleep(tc.maxResponseTime + minPollInterval + time.Millisecond)
	}
	service.change(func() { service.outage = o })
	time.Sleep(between(tc.shortest, tc.longest))
	if tc.longest > shortOutage && rng.IntN(4) > 0 { // it returns just after a call, which may be unresponsive
		service.awaitCalls(1 + rng.IntN(3))
		time.Sleep(time.Millisecond)
	}
	changeDelay := time.Duration(0) // the change may come before discovery's return, or after it
	if rng.IntN(4) == 0 {
		changeDelay = between(0, 8*time.Second)
	}
	service.change(func() { service.outage = nil })
	time.Sleep(changeDelay)
	service.change(func() { service.generation, service.draining = service.generation+1, true })
	took := p.awaitDrain(t, seed)
	bound := 6 * time.Second
	if !cfg.Policy.PollEndpoints {
		bound = 0
	}
	if bound += cfg.DrainGrace - cfg.DrainGrace/drainSendGraceDivisor; took > bound {
		t.Fatalf("seed %d: known %v after discovery had the change and could be reached, bound %v", seed, took, bound)
	}
	return took
}

// awaitDrain waits until the policy was given a drain, and returns how long after the call that was.
func (p *pollingPolicy) awaitDrain(t *testing.T, seed uint64) time.Duration {
	drainedAt := func() time.Time {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.drainedAt
	}
	startedAt := time.Now()
	for drainedAt().IsZero() {
		if time.Since(startedAt) > time.Minute {
			t.Fatalf("seed %d: not known within a minute", seed)
		}
		time.Sleep(time.Millisecond)
	}
	return drainedAt().Sub(startedAt)
}
