package keepalive

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All nodes together keep no more to a server than it has room for, or one each; a node alone keeps
// what is useful.
func TestKeepIsAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fleet{Nodes: rapid.IntRange(1, 1000).Draw(t, "nodes"), Servers: rapid.IntRange(1, 300).Draw(t, "servers")}
		f.Used = rapid.IntRange(1, f.Servers).Draw(t, "used")
		sharers := float64(f.Nodes) * float64(f.Used) / float64(f.Servers)
		keep := Keep(f)
		if keep < 1 || keep > Most || float64(keep)*sharers > max(Room, sharers) {
			t.Fatalf("%+v: %d, by %.1f nodes each", f, keep, sharers)
		}
	})
	for _, c := range []struct {
		f    Fleet
		want int
	}{
		{Fleet{Nodes: 1, Servers: 9, Used: 9}, 32},
		{Fleet{Nodes: 2, Servers: 9, Used: 9}, 32},
		{Fleet{Nodes: 80, Servers: 60, Used: 9}, 10},
		{Fleet{Nodes: 300, Servers: 200, Used: 200}, 1},
		{Fleet{}, 32},
	} {
		if got := Keep(c.f); got != c.want {
			t.Errorf("%+v: %d, want %d", c.f, got, c.want)
		}
	}
}

func TestSpanHeedsPrices(t *testing.T) {
	f := Fleet{Nodes: 80, Servers: 60, Used: 9, PerSecond: 400}
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
		if got := Span(f, c.p, 9*time.Second); got != c.want {
			t.Errorf("%+v: %v, want %v", c.p, got, c.want)
		}
	}
}
