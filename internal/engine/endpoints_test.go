package engine

import (
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// A drain counts from the delivery of its notice: one that was delivered DrainGrace ago stops sends at once.
func TestDrainCountsFromDelivery(t *testing.T) {
	waiting, connected, began := make(chan *Call, 4), make(chan struct{}), make(chan bool, 4)
	c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		waiting <- call
		<-connected
		began <- call.BeginSend()
		return Result{Status: policy.NeverSent}
	}), 1)
	go c.Do(t.Context(), c.request(notIdempotent, testutil.WaitTimeout))
	<-waiting
	delivered := c.clock.Now() - DefaultDrainSendGrace
	c.UpdateEndpointsAt(delivered, policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Draining}})
	close(connected)
	if <-began {
		t.Error("a send a grace after the delivery")
	}
}

// Requests are served by the endpoints that stay while another one drains.
func TestDrainSparesOtherEndpoints(t *testing.T) {
	c := start(t, exchange(served), 1, 2)
	c.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Draining}})
	for range 20 {
		if a, err := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout)); err != nil || a.Verdict != Served {
			t.Fatalf("%+v, %v", a, err)
		}
	}
}
