package priority

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yokestall/internal/cluster"
)

// newConfig returns a valid cluster with these endpoints, to which it gives IDs and addresses.
func newConfig(list ...cluster.Endpoint) *cluster.Config {
	c := &cluster.Config{Name: "c", ShrinkTo: -1, AllowEmpty: len(list) == 0}
	for i := range list {
		list[i].ID, list[i].Address = fmt.Sprintf("s-%04d", i), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1)
	}
	c.Endpoints = list
	if err := c.Check(nil); err != nil {
		panic(err)
	}
	return c
}

// newEndpoints returns n endpoints of a priority and health.
func newEndpoints(n, priority int, h cluster.Health) (list []cluster.Endpoint) {
	for range n {
		list = append(list, cluster.Endpoint{Priority: priority, Health: h})
	}
	return list
}

// Guards against shares that differ from the examples in Envoy's documentation (priority levels, degraded endpoints).
func TestSharesAsInEnvoy(t *testing.T) {
	const healthy, degraded, bad = cluster.Healthy, cluster.Degraded, cluster.Unhealthy
	type group struct {
		n, priority int
		h           cluster.Health
	}
	for name, c := range map[string]struct {
		groups []group
		want   string
	}{
		"all healthy":           {[]group{{10, 0, healthy}, {10, 1, healthy}}, "[1.00 0.00]"},
		"72 of 100 healthy":     {[]group{{72, 0, healthy}, {28, 0, bad}, {100, 1, healthy}}, "[1.00 0.00]"},
		"71 of 100 healthy":     {[]group{{71, 0, healthy}, {29, 0, bad}, {100, 1, healthy}}, "[0.99 0.01]"},
		"50 of 100 healthy":     {[]group{{50, 0, healthy}, {50, 0, bad}, {100, 1, healthy}}, "[0.70 0.30]"},
		"25 of 100 in each":     {[]group{{25, 0, healthy}, {75, 0, bad}, {25, 1, healthy}, {75, 1, bad}}, "[0.50 0.50]"},
		"priority 0 unhealthy":  {[]group{{10, 0, bad}, {10, 1, healthy}}, "[0.00 1.00]"},
		"none serves":           {[]group{{10, 0, bad}, {10, 1, cluster.Draining}}, "[]"},
		"half of them degraded": {[]group{{50, 0, healthy}, {50, 0, degraded}}, "[0.70 0.30]"},
		"degraded after others": {[]group{{50, 0, degraded}, {50, 0, healthy}, {100, 1, healthy}}, "[0.70 0.30 0.00]"},
	} {
		var list []cluster.Endpoint
		for _, p := range c.groups {
			list = append(list, newEndpoints(p.n, p.priority, p.h)...)
		}
		if got := fmt.Sprintf("%.2f", New(newConfig(list...), SlowStart{}).Shares(0)); got != c.want {
			t.Errorf("%s: got shares %s, want %s", name, got, c.want)
		}
	}
}

// Guards against a priority that is overloaded when all of its endpoints start at once: its share must grow as they warm up
// and never exceed their capacity.
func TestRecoveryFollowsSlowStart(t *testing.T) {
	list := append(newEndpoints(10, 0, cluster.Healthy), newEndpoints(10, 1, cluster.Healthy)...)
	const restart = 1000 * time.Second
	for i := range 10 {
		list[i].StartedMs = restart.Milliseconds()
	}
	p := New(newConfig(list...), SlowStart{MinCapacity: 0.1, Window: 30 * time.Second})
	last := 0.0
	for age := time.Duration(0); age <= 30*time.Second; age += time.Second {
		share := p.Shares(restart + age)[0]
		capacity := 1.4 * (0.1 + 0.9*age.Seconds()/30)
		if share < last || share > capacity+1e-9 {
			t.Errorf("after %v: got share %.3f, want at least the previous %.3f and at most the capacity %.3f", age, share, last, capacity)
		}
		last = share
	}
	if last != 1 {
		t.Errorf("got share %.3f after the slow start, want 1", last)
	}
}

// Guards, over random endpoints, against shares that do not add up to 1, shares of a tier that can't serve, missing shares
// although an endpoint serves, endpoints that are in no tier, and a Pick that does not follow the shares.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []cluster.Endpoint
		for range rapid.IntRange(0, 40).Draw(t, "endpoints") {
			list = append(list, cluster.Endpoint{
				Priority:  rapid.IntRange(0, 3).Draw(t, "priority"),
				Health:    cluster.Health(rapid.IntRange(0, 3).Draw(t, "health")),
				StartedMs: rapid.SampledFrom([]int64{0, 1, 9000, 20000}).Draw(t, "started"),
			})
		}
		p := New(newConfig(list...), SlowStart{MinCapacity: 0.1, Window: 10 * time.Second})
		now := 10 * time.Second
		total := 0
		for _, tier := range p.Tiers {
			total += len(tier.Cluster.Endpoints)
		}
		if total != len(list) {
			t.Fatalf("got %d endpoints in all tiers, want %d", total, len(list))
		}
		shares := p.Shares(now)
		if shares == nil {
			for _, e := range list {
				if e.Serves() {
					t.Fatal("got no shares although an endpoint serves")
				}
			}
			if p.Pick(now, 0.5) != 0 {
				t.Fatal("got a tier other than the first from Pick although no endpoint serves")
			}
			return
		}
		sum := 0.0
		for i, s := range shares {
			if sum += s; s > 0 && p.Tiers[i].effectiveEndpoints(now, p.slowStart) == 0 {
				t.Fatalf("tier %d: got share %v, want 0 because it can't serve", i, s)
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("got shares %v, want a sum of 1", shares)
		}
		counts := make([]float64, len(shares))
		const draws = 1000
		for i := range draws {
			counts[p.Pick(now, float64(i)/draws)] += 1.0 / draws
		}
		for i := range counts {
			if math.Abs(counts[i]-shares[i]) > 0.003 {
				t.Fatalf("got picks %v, want the shares %v", counts, shares)
			}
		}
	})
}
