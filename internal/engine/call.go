package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/policy"
)

// Call is the Exchanger's handle of one attempt. It tells the Exchanger whether the attempt may be sent (BeginSend) and
// when the attempt is abandoned (OnStop, Context). A Call is safe for concurrent use.
type Call struct {
	gate sendGate

	// The fields up to mu are set before the attempt starts and do not change afterwards.
	endpoint           policy.EndpointID
	drain              *endpointDrain // drain state of the endpoint; nil for a standalone call or if the endpoint was not ready
	clock              Clock
	onSend             func(endpoint policy.EndpointID, at time.Duration) // Options.OnSend
	sendAllowed        func() bool                                        // Request.SendAllowed
	clientDisconnected func() bool                                        // Request.ClientDisconnected
	dedupWindow        *dedupWindow                                       // Request.dedupWindow
	stalls             stallObserver                                      // nil for a standalone call

	stalled         atomic.Bool  // the answer has paused, and no data has arrived since
	bodyBytes       atomic.Int64 // sum of what ReportBody was given
	bodyLastAt      atomic.Int64 // time on the clock, in ns, of the latest ReportBody
	passOnRequested atomic.Bool  // the answer is to be passed on although it has not ended

	mu       sync.Mutex // guards the fields below
	stopped  bool
	onStop   func()             // runs when the call is stopped; may be nil
	onPassOn func()             // runs when the answer is to be passed on; may be nil
	ctx      context.Context    // nil until Context is called
	cancel   context.CancelFunc // cancels ctx; nil until Context is called
}

// NewCall returns a standalone call, which belongs to no cluster and is stopped when ctx ends. It is for tests of
// exchangers.
func NewCall(ctx context.Context) *Call {
	c := &Call{}
	context.AfterFunc(ctx, c.Stop)
	return c
}

// standalone reports whether the call was made by NewCall. The only restriction on such a call is its gate. The call of
// a started attempt always has an endpointDrain (see attempt.endpointReady).
func (c *Call) standalone() bool { return c.drain == nil }

// Context returns a context that ends when the call is stopped. OnStop is cheaper where a callback is enough.
func (c *Call) Context() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.Background())
		if c.stopped {
			c.cancel()
		}
	}
	return c.ctx
}

// OnStop runs f on a new goroutine when the call is stopped, or at once if the call is stopped already. A call has one
// such function at a time: a later OnStop replaces the function of an earlier one.
func (c *Call) OnStop(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		go f()
		return
	}
	c.onStop = f
}

// ClearOnStop removes the function set by OnStop. It returns false if the call was stopped before, in which case the
// function was already started.
func (c *Call) ClearOnStop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onStop = nil
	return !c.stopped
}

// Stop abandons the attempt: the call's context ends, and the function set by OnStop starts.
func (c *Call) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	c.stopped = true
	if c.onStop != nil {
		go c.onStop()
		c.onStop = nil
	}
	if c.cancel != nil {
		c.cancel()
	}
}
