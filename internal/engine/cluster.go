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
	// DefaultDrainSendGrace is the default of Options.DrainSendGrace. Nothing new may be sent to an endpoint later than
	// 500 ms after the notice that it drains; the other 100 ms allow for clock and socket delays.
	DefaultDrainSendGrace = 400 * time.Millisecond
	// DefaultEventQueue is the default of Options.EventQueue.
	DefaultEventQueue = 1024
)

// ErrRetired is returned by a cluster that takes no more requests. Nothing was sent for the request.
var ErrRetired = errors.New("engine: cluster retired")

// Options are the parameters of a cluster that are not in its policy.Settings.
type Options struct {
	Seed  uint64 // seeds the Balancer's random choices
	Clock Clock
	// DrainSendGrace is how long after the notice of an endpoint's drain a send that was decided before the notice may
	// still begin; 0 means DefaultDrainSendGrace. Where a setting limits the whole time from the drain to the last
	// send, DrainSendGrace has to be shorter than that limit, to leave time for the notice to arrive.
	DrainSendGrace time.Duration
	// EventQueue is how many events may wait for the loop before their senders block; 0 means DefaultEventQueue. The
	// queue's memory, 16 bytes an event, is allocated by New.
	EventQueue int
	// RequestPoll, if set, is called whenever the Balancer wants the endpoint list polled. It is nil for endpoint lists
	// that are pushed. It must not block.
	RequestPoll func()
	// OnSend, if set, is called for each attempt whose send is allowed, before its first byte leaves. at is the time
	// on the Clock at which the send was allowed. OnSend runs on the attempts' goroutines and must not block.
	OnSend func(endpoint policy.EndpointID, at time.Duration)
}

// Cluster runs one Balancer with its requests, attempts and timers. New creates a Cluster; Retire or the end of the
// context given to New ends it.
type Cluster struct {
	// The fields up to maxAttempts are set by New and do not change afterwards.
	ctx         context.Context
	cancel      context.CancelFunc
	clock       Clock
	exchanger   Exchanger
	drainGrace  time.Duration
	requestPoll func()                                             // Options.RequestPoll
	onSend      func(endpoint policy.EndpointID, at time.Duration) // Options.OnSend
	classes     []policy.Class
	maxAttempts int // limit of attempts for one request

	// The fields up to maxRetries may be used by any goroutine.
	events       chan event
	ended        chan struct{} // closed when the loop has ended
	retired      atomic.Bool
	openRequests atomic.Int64 // calls of Do that have not returned
	maxRetries   atomic.Int64 // limit of retries and hedged requests in flight; 0 means no limit

	mu sync.RWMutex // guards endpoints, which UpdateEndpointsAt changes on its caller's goroutine
	// endpoints holds the drain states of the ready endpoints. An endpoint that becomes ready again after a drain gets
	// a new endpointDrain, so that attempts decided before the drain keep the old one.
	endpoints map[policy.EndpointID]*endpointDrain

	// The fields below are used by the loop's goroutine only.
	balancer        *policy.Balancer
	requests        map[policy.RequestID]*Request // requests that have not ended or have attempts in flight
	lastID          policy.RequestID
	retriesInFlight int           // second and later attempts in flight
	aborted         bool          // Abort was called: new requests are rejected
	abortRetryAfter time.Duration // Answer.RetryAfter of the requests that Abort rejects
	timers          timerHeap
	deferred        []event // raised during the Balancer's calls, applied after the current event
}

// New starts a cluster without endpoints. The cluster ends with ctx, and requests that are still open then get a Failed
// answer, so the caller should call Abort or Retire before it ends ctx. New returns an error if the settings are
// invalid.
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

// LimitRetries sets how many second and later attempts, of all requests together, may be in flight; 0 means no limit.
func (c *Cluster) LimitRetries(n int) { c.maxRetries.Store(int64(n)) }

// Retire has the cluster take no more requests and end once no request is open. It does not wait for the end. All
// endpoints count as removed from the call on: queued requests are abandoned, while attempts in flight may still be
// answered.
func (c *Cluster) Retire() {
	c.UpdateEndpoints(policy.FullUpdate, nil)
	c.retired.Store(true)
	if c.openRequests.Load() == 0 {
		c.cancel()
	}
}

// Ended returns a channel that is closed when the cluster has ended.
func (c *Cluster) Ended() <-chan struct{} { return c.ended }

// Abort gives all open requests their final answer, and later requests theirs as soon as they arrive. It is for the end
// of the process. A request that has certainly not run is rejected, so that its client may retry it elsewhere; other
// requests fail.
func (c *Cluster) Abort() { c.post(abortRequested{}) }

func (c *Cluster) abortRequests(now time.Duration) {
	c.aborted = true
	for _, r := range c.requests {
		if r.ended {
			continue
		}
		c.endRequest(r) // keeps attempts from being sent between the verdict and the answer
		verdict := Rejected
		if r.mayHaveRun(nil) {
			verdict = Failed
		}
		c.sendAnswer(r, Answer{Verdict: verdict, RetryAfter: c.abortRetryAfter})
		c.balancer.ClientDisconnected(now, r.id)
		c.removeIfDone(r)
	}
}

// requestReturned counts down the open calls of Do. The last call that returns from a retired cluster ends the cluster.
func (c *Cluster) requestReturned() {
	if c.openRequests.Add(-1) == 0 && c.retired.Load() {
		c.cancel()
	}
}
