package priority

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yokestall/internal/cluster"
)

// newConfig returns a checked cluster with these endpoints.
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

// endpoints returns n endpoints of a priority and health.
func endpoints(n, priority int, h cluster.Health) (list []cluster.Endpoint) {
	for range n {
		list = append(list, cluster.Endpoint{Priority: priority, Health: h})
	}
	return list
}

// TestSharesAsInEnvoy has the examples of Envoy's documentation (priority levels, degraded endpoints).
func TestSharesAsInEnvoy(t *testing.T) {
	const healthy, degraded, bad = cluster.Healthy, cluster.Degraded, cluster.Unhealthy
	type part struct {
		n, priority int
		h           cluster.Health
	}
	for name, c := range map[string]struct {
		parts []part
		want  string
	}{
		"all healthy":               {[]part{{10, 0, healthy}, {10, 1, healthy}}, "[1.00 0.00]"},
		"72 of 100":                 {[]part{{72, 0, healthy}, {28, 0, bad}, {100, 1, healthy}}, "[1.00 0.00]"},
		"71 of 100":                 {[]part{{71, 0, healthy}, {29, 0, bad}, {100, 1, healthy}}, "[0.99 0.01]"},
		"50 of 100":                 {[]part{{50, 0, healthy}, {50, 0, bad}, {100, 1, healthy}}, "[0.70 0.30]"},
		"25 of 100 in both":         {[]part{{25, 0, healthy}, {75, 0, bad}, {25, 1, healthy}, {75, 1, bad}}, "[0.50 0.50]"},
		"none of the first":         {[]part{{10, 0, bad}, {10, 1, healthy}}, "[0.00 1.00]"},
		"none at all":               {[]part{{10, 0, bad}, {10, 1, cluster.Draining}}, "[]"},
		"degraded where not enough": {[]part{{50, 0, healthy}, {50, 0, degraded}}, "[0.70 0.30]"},
		"other priority first":      {[]part{{50, 0, degraded}, {50, 0, healthy}, {100, 1, healthy}}, "[0.70 0.30 0.00]"},
	} {
		var list []cluster.Endpoint
		for _, p := range c.parts {
			list = append(list, endpoints(p.n, p.priority, p.h)...)
		}
		if got := fmt.Sprintf("%.2f", New(newConfig(list...), SlowStart{}).Shares(0)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// TestRecoveryFollowsSlowStart: a priority whose endpoints all start at once takes its load over as they warm up. Its
// share grows with time and never exceeds their capacity.
func TestRecoveryFollowsSlowStart(t *testing.T) {
	list := append(endpoints(10, 0, cluster.Healthy), endpoints(10, 1, cluster.Healthy)...)
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
			t.Errorf("after %v: %.3f, %.3f before; its capacity is %.3f", age, share, last, capacity)
		}
		last = share
	}
	if last != 1 {
		t.Errorf("warmed up, it gets %.3f", last)
	}
}

// TestSharesAddUp: whatever the health, shares add up to 1 or there are none, only tiers that can serve get any, and
// Pick follows the shares.
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
			t.Fatalf("%d endpoints in the tiers, want %d", total, len(list))
		}
		shares := p.Shares(now)
		if shares == nil {
			for _, e := range list {
				if e.Serves() {
					t.Fatal("no shares although one can serve")
				}
			}
			if p.Pick(now, 0.5) != 0 {
				t.Fatal("Pick is not the first tier although none can serve")
			}
			return
		}
		sum := 0.0
		for i, s := range shares {
			if sum += s; s > 0 && p.Tiers[i].capacity(now, p.slowStart) == 0 {
				t.Fatalf("tier %d gets %v and can serve none", i, s)
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares %v", shares)
		}
		counts := make([]float64, len(shares))
		const draws = 1000
		for i := range draws {
			counts[p.Pick(now, float64(i)/draws)] += 1.0 / draws
		}
		for i := range counts {
			if math.Abs(counts[i]-shares[i]) > 0.003 {
				t.Fatalf("picked %v, shares %v", counts, shares)
			}
		}
	})
}
