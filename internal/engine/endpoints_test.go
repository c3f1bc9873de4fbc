package engine

import (
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// Options.DrainSendGrace counts from the delivery of the drain's notice: a notice that was delivered one grace ago stops
// sends at once.
func TestDrainCountsFromDelivery(t *testing.T) {
	waiting, connected, began := make(chan *Call, 4), make(chan struct{}), make(chan bool, 4)
	c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
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
		t.Error("BeginSend returned true after the grace since the delivery of the notice, want false")
	}
}

// While one endpoint drains, requests are served by the other endpoint.
func TestDrainSparesOtherEndpoints(t *testing.T) {
	c := startCluster(t, exchangerFunc(echoExchange), 1, 2)
	c.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Draining}})
	for range 20 {
		if a, err := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout)); err != nil || a.Verdict != Served {
			t.Fatalf("got %+v, error %v; want the verdict Served", a, err)
		}
	}
}
