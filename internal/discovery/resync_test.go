package discovery

import (
	"testing"
	"time"
)

func TestResyncInterval(t *testing.T) {
	for _, c := range []struct {
		price             float64
		instances         int
		requestsPerSecond float64
		want              time.Duration
	}{
		{0, 200, 5, 0},                         // lists are free
		{0.01, 10, 100, 10 * time.Millisecond}, // a thousandth of a request's value
		{0.05, 200, 5, 20 * time.Second},       // a tenth of a request, at 5 a second
		{0.05, 10000, 5, time.Minute},          // never longer than the longest interval
		{0.05, 200, 0, time.Minute},            // no requests that could be misrouted
		{1e300, MaxInstances, 1e-300, time.Minute},
		{0.05, 0, 5, 0},
	} {
		got := ResyncInterval(c.price, c.instances, c.requestsPerSecond, time.Minute)
		if d := got - c.want; d < -time.Microsecond || d > time.Microsecond {
			t.Errorf("price %v, %d instances, %v requests/s: %v, want %v",
				c.price, c.instances, c.requestsPerSecond, got, c.want)
		}
	}
}
