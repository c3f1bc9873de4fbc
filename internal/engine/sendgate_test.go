package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// A send that was decided before notice of a drain must not begin later than DrainGrace after it, even if its
// connection is established only then.
func TestDrainStopsSendsDecidedBefore(t *testing.T) {
	for name, update := range map[string]struct {
		kind      policy.UpdateKind
		endpoints []policy.Endpoint
	}{
		"draining":        {policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Draining}}},
		"removed":         {policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Removed}}},
		"not in the list": {policy.FullUpdate, nil},
		"removed and restored": {policy.DeltaUpdate, []policy.Endpoint{
			{ID: 1, State: policy.Removed},
			{ID: 1, State: policy.Ready},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			waiting, connected := make(chan *Call, 4), make(chan struct{})
			began := make(chan bool, 4)
			c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
				waiting <- call
				<-connected
				began <- call.BeginSend()
				return Result{Status: policy.NeverSent}
			}), 1)
			go c.Do(t.Context(), c.request(notIdempotent, testutil.WaitTimeout))
			call := <-waiting
			c.UpdateEndpoints(update.kind, update.endpoints)
			if _, draining := call.drain.since(); !draining {
				t.Fatal("the endpoint does not drain when UpdateEndpoints returns")
			}
			testutil.Until(t, "the grace to end", func() bool { return call.drain.graceOver(c.clock.Now()) })
			close(connected)
			if <-began {
				t.Error("a send after the grace")
			}
		})
	}
}

// Options.DrainSendGrace takes the place of DefaultDrainSendGrace: a deployment may allow less.
func TestDrainGraceOption(t *testing.T) {
	const grace = 50 * time.Millisecond
	waiting, connected, began := make(chan *Call, 4), make(chan struct{}), make(chan bool, 4)
	c := startWith(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		waiting <- call
		<-connected
		began <- call.BeginSend()
		return Result{Status: policy.NeverSent}
	}), Options{DrainSendGrace: grace}, 1)
	go c.Do(t.Context(), c.request(notIdempotent, testutil.WaitTimeout))
	<-waiting
	c.UpdateEndpointsAt(c.clock.Now()-grace-1, policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Draining}})
	close(connected)
	if <-began {
		t.Error("a send after the grace")
	}
}

// A call that another party sends may not begin as soon as there is notice of the drain; DrainGrace is that party's.
func TestBeginSendUnlessDraining(t *testing.T) {
	for _, drains := range []bool{false, true} {
		began := make(chan bool, 4)
		waiting, notified := make(chan struct{}, 4), make(chan struct{})
		c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
			waiting <- struct{}{}
			<-notified
			began <- call.BeginSendUnlessDraining(0)
			return Result{Status: policy.NeverSent, Final: true}
		}), 1)
		go c.Do(t.Context(), c.request(notIdempotent, testutil.WaitTimeout))
		testutil.Wait(t, waiting, "the attempt")
		if drains {
			c.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Draining}})
		}
		close(notified)
		if got := testutil.Wait(t, began, "the attempt to begin"); got == drains {
			t.Errorf("drains %v, began %v", drains, got)
		}
	}
}

// No attempt begins once the client has disconnected, also if the engine has no event of that yet: neither the first
// one, which was decided before, nor a later one, nor one that another party sends.
func TestNoSendAfterClientDisconnected(t *testing.T) {
	t.Parallel()
	for name, sentBefore := range map[string]int32{"the first": 0, "the second": 1, "the third": 2} {
		for sender, begin := range map[string]func(c *Call) bool{
			"sent here":             (*Call).BeginSend,
			"sent by another party": func(c *Call) bool { return c.BeginSendUnlessDraining(c.clock.Now()) },
		} {
			t.Run(name+", "+sender, func(t *testing.T) {
				t.Parallel()
				testNoSendAfterClientDisconnected(t, sentBefore, begin)
			})
		}
	}
}

func testNoSendAfterClientDisconnected(t *testing.T, sentBefore int32, begin func(c *Call) bool) {
	var disconnected atomic.Bool
	var number atomic.Int32
	attempts := make(chan bool, 8)
	c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		if number.Add(1) > sentBefore {
			disconnected.Store(true) // while its connection is established
		}
		attempts <- begin(call)
		return Result{Status: policy.ErrorResponse}
	}), 1, 2, 3)
	r := c.request(idempotent, testutil.WaitTimeout)
	r.ClientDisconnected = disconnected.Load
	ctx, disconnect := context.WithCancel(t.Context())
	over := make(chan struct{})
	go func() { c.Do(ctx, r); close(over) }()
	for range sentBefore {
		if !testutil.Wait(t, attempts, "an attempt before") {
			t.Fatal("an attempt was not sent whose client waits")
		}
	}
	if testutil.Wait(t, attempts, "the attempt after") {
		t.Error("an attempt was sent whose client has disconnected")
	}
	disconnect()
	testutil.Wait(t, over, "the request's end")
}
