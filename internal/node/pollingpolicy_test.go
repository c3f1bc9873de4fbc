package node

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// pollingPolicy connects a policy.Balancer to an endpointWatcher. The balancer gets no requests and only requests polls, with
// its own backoff. pollingPolicy implements endpointSink and policy.Host.
type pollingPolicy struct {
	clock   engine.Clock
	watcher *endpointWatcher
	ctx     context.Context

	mu        sync.Mutex
	balancer  *policy.Balancer
	drainedAt time.Time // when the policy received a draining endpoint
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

// newPollingPolicy returns the configuration, and the policy with its watcher, of a node that follows a discovery service in
// virtual time until ctx is done.
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

// awaitDrain waits until the policy has received a draining endpoint, and returns how long after the call to awaitDrain that
// was.
func (p *pollingPolicy) awaitDrain(t *testing.T, seed uint64) time.Duration {
	drainedAt := func() time.Time {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.drainedAt
	}
	startedAt := time.Now()
	for drainedAt().IsZero() {
		if time.Since(startedAt) > time.Minute {
			t.Fatalf("seed %d: the policy did not get the drain within a minute", seed)
		}
		time.Sleep(time.Millisecond)
	}
	return drainedAt().Sub(startedAt)
}
