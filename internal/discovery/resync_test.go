package discovery

import (
	"testing"
	"time"
)

// Guards against full lists that cost more than maxResyncCostShare of the node's requests, and against intervals beyond
// maxInterval, also for extreme inputs.
func TestResyncInterval(t *testing.T) {
	for _, c := range []struct {
		price             float64
		instances         int
		requestsPerSecond float64
		want              time.Duration
	}{
		{0, 200, 5, 0},                         // lists are free
		{0.01, 10, 100, 10 * time.Millisecond}, // the list costs 0.001 requests, at 100 requests/s
		{0.05, 200, 5, 20 * time.Second},       // the list costs 0.1 requests, at 5 requests/s
		{0.05, 10000, 5, time.Minute},          // limited by maxInterval
		{0.05, 200, 0, time.Minute},            // no requests that an outdated list could misroute
		{1e300, MaxInstances, 1e-300, time.Minute},
		{0.05, 0, 5, 0},
	} {
		got := ResyncInterval(c.price, c.instances, c.requestsPerSecond, time.Minute)
		if d := got - c.want; d < -time.Microsecond || d > time.Microsecond {
			t.Errorf("interval at price %v, %d instances, %v requests/s: got %v, want %v",
				c.price, c.instances, c.requestsPerSecond, got, c.want)
		}
	}
}
