package keepalive

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All nodes together hold no more idle connections to an endpoint than MaxIdlePerEndpoint, or one each if there are more
// nodes than that. A node alone holds at most MaxIdlePerNode.
func TestMaxIdleIsAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := FleetLoad{Nodes: rapid.IntRange(1, 1000).Draw(t, "nodes"), Endpoints: rapid.IntRange(1, 300).Draw(t, "endpoints")}
		f.UsedEndpoints = rapid.IntRange(1, f.Endpoints).Draw(t, "used")
		nodesEach := float64(f.Nodes) * float64(f.UsedEndpoints) / float64(f.Endpoints)
		idle := MaxIdle(f)
		if idle < 1 || idle > MaxIdlePerNode || float64(idle)*nodesEach > max(MaxIdlePerEndpoint, nodesEach) {
			t.Fatalf("MaxIdle(%+v): got %d with %.1f nodes per endpoint, which exceeds the bounds", f, idle, nodesEach)
		}
	})
	for _, c := range []struct {
		f    FleetLoad
		want int
	}{
		{FleetLoad{Nodes: 1, Endpoints: 9, UsedEndpoints: 9}, 32},
		{FleetLoad{Nodes: 2, Endpoints: 9, UsedEndpoints: 9}, 32},
		{FleetLoad{Nodes: 80, Endpoints: 60, UsedEndpoints: 9}, 10},
		{FleetLoad{Nodes: 300, Endpoints: 200, UsedEndpoints: 200}, 1},
		{FleetLoad{}, 32},
	} {
		if got := MaxIdle(c.f); got != c.want {
			t.Errorf("MaxIdle(%+v): got %d, want %d", c.f, got, c.want)
		}
	}
}

// IdleTimeout is the time at which keeping a connection and opening a new one cost the same, within its bounds.
func TestIdleTimeoutHeedsPrices(t *testing.T) {
	f := FleetLoad{Nodes: 80, Endpoints: 60, UsedEndpoints: 9, RequestsPerSecond: 400}
	for _, c := range []struct {
		p    Prices
		want time.Duration
	}{
		{Prices{}, 9 * time.Second},                                     // no prices
		{Prices{Handshake: 0.02}, 9 * time.Second},                      // only a price of new connections
		{Prices{Connection: 0.05}, time.Second},                         // only a price of open connections
		{Prices{Handshake: 0.02, Connection: 0.06}, 5 * time.Second},    // 100 x 0.02 x 60 / (0.06 x 400)
		{Prices{Handshake: 1, Connection: 0.06}, 9 * time.Second},       // expensive handshakes
		{Prices{Handshake: 0.0001, Connection: 0.06}, time.Second},      // cheap handshakes
		{Prices{Handshake: 1e300, Connection: 1e-300}, 9 * time.Second}, // extreme prices
		{Prices{Handshake: 0.02, Connection: -1}, 9 * time.Second},      // a negative price
	} {
		if got := IdleTimeout(f, c.p, 9*time.Second); got != c.want {
			t.Errorf("IdleTimeout with %+v: got %v, want %v", c.p, got, c.want)
		}
	}
}
