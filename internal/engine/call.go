package engine

import (
	"context"
	"sync"
	"time"

	"yokestall/policy"
)

// Call is one attempt as its Exchanger sees it: whether it may be sent (BeginSend), and when it is given up (OnStop,
// Context). It is safe for concurrent use.
type Call struct {
	gate sendGate

	// Set before the attempt starts and not changed.
	endpoint           policy.EndpointID
	drain              *endpointDrain // of the endpoint; nil: see standalone and attempt.endpointReady
	clock              Clock
	onSend             func(endpoint policy.EndpointID, at time.Duration) // Options.OnSend
	sendAllowed        func() bool                                        // Request.SendAllowed
	clientDisconnected func() bool                                        // Request.ClientDisconnected
	dedupWindow        *dedupWindow                                       // Request.dedupWindow

	mu      sync.Mutex // guards the fields below
	stopped bool
	onStop  func()             // runs when the call is stopped; nil: nothing does
	ctx     context.Context    // nil until Context is called
	cancel  context.CancelFunc // of ctx
}

// NewCall returns a call that belongs to no cluster and is stopped when ctx ends, for tests of exchangers.
func NewCall(ctx context.Context) *Call {
	c := &Call{}
	context.AfterFunc(ctx, c.Stop)
	return c
}

// standalone reports whether the call is one of NewCall, which only its gate restricts. The call of an attempt that is
// started has an endpointDrain: see attempt.endpointReady.
func (c *Call) standalone() bool { return c.drain == nil }

// Context returns a context that ends when the call is stopped. It costs more than OnStop.
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

// OnStop runs f, on another goroutine, when the call is stopped; at once if it was. A call has one such function at
// a time.
func (c *Call) OnStop(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		go f()
		return
	}
	c.onStop = f
}

// ClearOnStop removes the function of OnStop; false if the call was stopped and the function started.
func (c *Call) ClearOnStop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onStop = nil
	return !c.stopped
}

// Stop gives up the attempt: its context ends, and the function of OnStop runs.
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
