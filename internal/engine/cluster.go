package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/policy"
)

const (
	// DefaultDrainSendGrace is Options.DrainSendGrace where that is 0. The service allows 500 ms from
	// the notice of a drain to the last send; the rest is for the delays of the clock and the socket.
	DefaultDrainSendGrace = 400 * time.Millisecond
	// DefaultEventQueue is Options.EventQueue where that is 0.
	DefaultEventQueue = 1024
)

// ErrRetired is returned where a cluster takes no more requests; nothing was sent.
var ErrRetired = errors.New("engine: cluster retired")

// Options configure a cluster beside its policy.Settings.
type Options struct {
	Seed  uint64 // of the Balancer's random choices
	Clock Clock
	// DrainSendGrace is how long after notice of a drain a send that was decided before may still begin; 0:
	// DefaultDrainSendGrace. It has to leave time for the notice to arrive, where a setting bounds both together.
	DrainSendGrace time.Duration
	// EventQueue is how many events may wait before their senders block; 0: DefaultEventQueue. Its memory, 16 bytes an
	// event, is allocated at the start.
	EventQueue int
	// RequestPoll is called for each poll that the Balancer wants of an endpoint list that is polled; nil if lists
	// are pushed. It must not block.
	RequestPoll func()
	// OnSend, if set, is called for each attempt right before its first byte leaves, with the time on the Clock at
	// which that was allowed. It runs on the attempts' goroutines and must not block.
	OnSend func(endpoint policy.EndpointID, at time.Duration)
}

// Cluster runs one Balancer: its requests, attempts and timers. Create it with New; Retire or the end of New's context
// ends it.
type Cluster struct {
	// Set by New and not changed.
	ctx         context.Context
	cancel      context.CancelFunc
	clock       Clock
	exchanger   Exchanger
	drainGrace  time.Duration
	requestPoll func()                                             // Options.RequestPoll
	onSend      func(endpoint policy.EndpointID, at time.Duration) // Options.OnSend
	classes     []policy.Class
	maxAttempts int // of one request

	// For all goroutines.
	events       chan event
	ended        chan struct{} // closed when the loop has ended
	retired      atomic.Bool
	openRequests atomic.Int64 // calls of Do that have not returned
	maxRetries   atomic.Int64 // retries and hedged requests in flight; 0: no limit

	mu sync.RWMutex // guards endpoints, which UpdateEndpointsAt changes on its caller's goroutine
	// endpoints are those that are ready. Each drain has a state of its own: an endpoint that returns gets a new one.
	endpoints map[policy.EndpointID]*endpointDrain

	// For the loop's goroutine only.
	balancer        *policy.Balancer
	requests        map[policy.RequestID]*Request // not ended, or with attempts in flight
	lastID          policy.RequestID
	retriesInFlight int           // second and later attempts
	aborted         bool          // Abort was called: new requests are rejected
	abortRetryAfter time.Duration // with which Abort rejects
	timers          timerHeap
	deferred        []event // raised by the Balancer's calls, applied after the present event
}

// New starts a cluster without endpoints. It ends with the context, which leaves open requests with a Failed answer:
// Abort or Retire it before. The error is that of invalid settings.
func New(ctx context.Context, set policy.Settings, exchanger Exchanger, o Options) (*Cluster, error) {
	if o.EventQueue == 0 {
		o.EventQueue = DefaultEventQueue
	}
	if o.DrainSendGrace == 0 {
		o.DrainSendGrace = DefaultDrainSendGrace
	}
	c := &Cluster{
		clock:           o.Clock,
		exchanger:       exchanger,
		drainGrace:      o.DrainSendGrace,
		requestPoll:     o.RequestPoll,
		onSend:          o.OnSend,
		classes:         set.Classes,
		maxAttempts:     set.Limits.MaxAttempts,
		events:          make(chan event, o.EventQueue),
		ended:           make(chan struct{}),
		endpoints:       map[policy.EndpointID]*endpointDrain{},
		requests:        map[policy.RequestID]*Request{},
		abortRetryAfter: set.Limits.MaxRetryAfter,
	}
	var err error
	if c.balancer, err = policy.New(set, o.Seed, c); err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	go c.run()
	return c, nil
}

// LimitRetries sets how many second and later attempts, of all requests together, may be in flight; 0: no limit.
func (c *Cluster) LimitRetries(n int) { c.maxRetries.Store(int64(n)) }

// Retire takes no more requests and ends the cluster once none is open; it does not wait for that. All endpoints count
// as removed from now on: queued requests are given up, and attempts in flight may still be answered.
func (c *Cluster) Retire() {
	c.UpdateEndpoints(policy.FullUpdate, nil)
	c.retired.Store(true)
	if c.openRequests.Load() == 0 {
		c.cancel()
	}
}

// Ended returns a channel that is closed when the cluster has ended.
func (c *Cluster) Ended() <-chan struct{} { return c.ended }

// Abort gives all open requests their final answer, and later ones at once: for the end of the process. A request
// that surely has not run is rejected, so that its client may retry it elsewhere; others fail.
func (c *Cluster) Abort() { c.post(abortRequested{}) }

func (c *Cluster) abortRequests(now time.Duration) {
	c.aborted = true
	for _, r := range c.requests {
		if r.ended {
			continue
		}
		c.endRequest(r) // so that no attempt begins between the verdict and the answer
		verdict := Rejected
		if r.mayHaveRun() {
			verdict = Failed
		}
		c.sendAnswer(r, Answer{Verdict: verdict, RetryAfter: c.abortRetryAfter})
		c.balancer.ClientDisconnected(now, r.id)
		c.forgetIfDone(r)
	}
}

// requestReturned counts a call of Do out; the last one of a retired cluster ends it.
func (c *Cluster) requestReturned() {
	if c.openRequests.Add(-1) == 0 && c.retired.Load() {
		c.cancel()
	}
}
