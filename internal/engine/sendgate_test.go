package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// A send that was decided before the notice of a drain must not begin later than Options.DrainSendGrace after the notice,
// even if its connection is established only then.
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
			c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
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
				t.Error("BeginSend returned true after the grace, want false")
			}
		})
	}
}

// Options.DrainSendGrace replaces DefaultDrainSendGrace, since a deployment may allow a shorter grace.
func TestDrainGraceOption(t *testing.T) {
	const grace = 50 * time.Millisecond
	waiting, connected, began := make(chan *Call, 4), make(chan struct{}), make(chan bool, 4)
	c := startClusterWith(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
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
		t.Error("BeginSend returned true after the grace, want false")
	}
}

// A call whose request another process sends must not begin after the notice of a drain: Options.DrainSendGrace is left
// to that process.
func TestBeginSendUnlessDraining(t *testing.T) {
	for _, drains := range []bool{false, true} {
		began := make(chan bool, 4)
		waiting, notified := make(chan struct{}, 4), make(chan struct{})
		c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
			waiting <- struct{}{}
			<-notified
			began <- call.BeginSendUnlessDraining(0)
			return Result{Status: policy.NeverSent, Final: true}
		}), 1)
		go c.Do(t.Context(), c.request(notIdempotent, testutil.WaitTimeout))
		testutil.Wait(t, waiting, "the attempt to start")
		if drains {
			c.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Draining}})
		}
		close(notified)
		if got := testutil.Wait(t, began, "the attempt to begin"); got == drains {
			t.Errorf("endpoint draining: %v; BeginSendUnlessDraining returned %v, want the opposite", drains, got)
		}
	}
}

// No attempt is sent once Request.ClientDisconnected returns true, even before the loop has handled the disconnection.
// This holds for the first attempt, for later attempts, and for attempts whose request another process sends.
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
	c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		if number.Add(1) > sentBefore {
			disconnected.Store(true) // while the attempt's connection is being established
		}
		attempts <- begin(call)
		return Result{Status: policy.ErrorResponse}
	}), 1, 2, 3)
	r := c.request(idempotent, testutil.WaitTimeout)
	r.ClientDisconnected = disconnected.Load
	ctx, disconnect := context.WithCancel(t.Context())
	returned := make(chan struct{})
	go func() { c.Do(ctx, r); close(returned) }()
	for range sentBefore {
		if !testutil.Wait(t, attempts, "an attempt before the disconnection") {
			t.Fatal("an attempt was not sent although the client was connected")
		}
	}
	if testutil.Wait(t, attempts, "the attempt after the disconnection") {
		t.Error("an attempt was sent although the client had disconnected")
	}
	disconnect()
	testutil.Wait(t, returned, "Do to return")
}
