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
	"time"

	"yokestall/internal/discovery"
)

// outage says in which way a discovery service is unavailable.
type outage struct {
	name string
	// newCalls is the fault of calls that start during the outage.
	newCalls fault
	// openCalls is the fault of calls that are in flight when the outage begins.
	openCalls fault
}

// fault is the way in which a call fails.
type fault int

// shortOutage is the duration of an outage that may be over before any call starts in it.
const shortOutage = 50 * time.Millisecond

const (
	refused      fault = iota // the call fails at once
	errorStatus               // the call is answered with an error status after the response time
	unresponsive              // the call is never answered
	anyFault                  // one of the other faults, drawn for each call
)

// faultyDiscovery is a discovery service in virtual time that can be unavailable. Otherwise it follows the protocol.
type faultyDiscovery struct {
	rng             *rand.Rand    // guarded by mu
	maxResponseTime time.Duration // longest time that a response takes

	mu         sync.Mutex
	generation uint64
	draining   bool
	outage     *outage
	changed    chan struct{} // closed at the next change, the start of an outage included
	called     chan struct{} // receives a token when a call starts during an outage
}

// change makes a change and wakes the long polls in flight.
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

// fail ends a call with the given fault.
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

// awaitCalls waits until n further calls have started during the outage.
func (d *faultyDiscovery) awaitCalls(n int) {
	for range n {
		select {
		case <-d.called:
		default:
		}
		<-d.called
	}
}

func newFaultyDiscovery(seed uint64, maxResponseTime time.Duration) *faultyDiscovery {
	return &faultyDiscovery{
		rng: rand.New(rand.NewPCG(seed, 49)), maxResponseTime: maxResponseTime,
		generation: 1, changed: make(chan struct{}), called: make(chan struct{}, 1),
	}
}
