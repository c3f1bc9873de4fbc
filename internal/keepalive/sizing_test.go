package keepalive

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All nodes together hold no more idle connections to an endpoint than it accepts, or one each; a node alone
// holds what is useful.
func TestMaxIdleIsAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fleet{Nodes: rapid.IntRange(1, 1000).Draw(t, "nodes"), Endpoints: rapid.IntRange(1, 300).Draw(t, "endpoints")}
		f.UsedEndpoints = rapid.IntRange(1, f.Endpoints).Draw(t, "used")
		nodesEach := float64(f.Nodes) * float64(f.UsedEndpoints) / float64(f.Endpoints)
		idle := MaxIdle(f)
		if idle < 1 || idle > MaxIdlePerNode || float64(idle)*nodesEach > max(MaxIdlePerEndpoint, nodesEach) {
			t.Fatalf("%+v: %d, by %.1f nodes each", f, idle, nodesEach)
		}
	})
	for _, c := range []struct {
		f    Fleet
		want int
	}{
		{Fleet{Nodes: 1, Endpoints: 9, UsedEndpoints: 9}, 32},
		{Fleet{Nodes: 2, Endpoints: 9, UsedEndpoints: 9}, 32},
		{Fleet{Nodes: 80, Endpoints: 60, UsedEndpoints: 9}, 10},
		{Fleet{Nodes: 300, Endpoints: 200, UsedEndpoints: 200}, 1},
		{Fleet{}, 32},
	} {
		if got := MaxIdle(c.f); got != c.want {
			t.Errorf("%+v: %d, want %d", c.f, got, c.want)
		}
	}
}

func TestIdleTimeoutHeedsPrices(t *testing.T) {
	f := Fleet{Nodes: 80, Endpoints: 60, UsedEndpoints: 9, RequestsPerSecond: 400}
	for _, c := range []struct {
		p    Prices
		want time.Duration
	}{
		{Prices{}, 9 * time.Second},                                     // nothing has a price
		{Prices{Handshake: 0.02}, 9 * time.Second},                      // only opening has
		{Prices{Connection: 0.05}, time.Second},                         // only holding has
		{Prices{Handshake: 0.02, Connection: 0.06}, 5 * time.Second},    // 100 x 0.02 x 60 / (0.06 x 400)
		{Prices{Handshake: 1, Connection: 0.06}, 9 * time.Second},       // opening is dear
		{Prices{Handshake: 0.0001, Connection: 0.06}, time.Second},      // and cheap
		{Prices{Handshake: 1e300, Connection: 1e-300}, 9 * time.Second}, // absurd ones do no harm
		{Prices{Handshake: 0.02, Connection: -1}, 9 * time.Second},      // nor ones that make no sense
	} {
		if got := IdleTimeout(f, c.p, 9*time.Second); got != c.want {
			t.Errorf("%+v: %v, want %v", c.p, got, c.want)
		}
	}
}
