package route

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// clustersByHash returns the clusters that the hashes from 0 to n-1 lead to.
func clustersByHash(t interface{ Fatal(...any) }, clusters []WeightedCluster, n int) []string {
	table, err := Compile([]VirtualHost{{Domains: []string{"*"}, Routes: []Route{{Clusters: clusters, Class: "c"}}}})
	if err != nil {
		t.Fatal(err)
	}
	to := make([]string, n)
	for i := range to {
		m, _ := table.Lookup(&Request{Path: "/", Hash: uint64(i)})
		to[i] = m.Cluster
	}
	return to
}

// TestOnlyTheShareMoves: a cluster that is removed gives its own hashes away and moves no others; one that is added
// gains its part from all others, and only one whose weight changes gains or loses. The order has no effect.
func TestOnlyTheShareMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4000
		var all []WeightedCluster
		total := 0.0
		for i := range rapid.IntRange(3, 8).Draw(t, "clusters") {
			w := rapid.Uint32Range(1, 50).Draw(t, "weight")
			all = append(all, WeightedCluster{fmt.Sprint("node-", i), w})
			total += float64(w)
		}
		before := clustersByHash(t, all, n)
		counts := map[string]int{}
		for _, c := range before {
			counts[c]++
		}
		for _, c := range all {
			want := float64(c.Weight) / total
			if got := float64(counts[c.Cluster]) / n; math.Abs(got-want) > 5*math.Sqrt(want*(1-want)/n)+0.002 {
				t.Fatalf("%s has %.3f, its weight says %.3f", c.Cluster, got, want)
			}
		}
		turned := slices.Clone(all)
		slices.Reverse(turned)
		if got := clustersByHash(t, turned, n); !slices.Equal(got, before) {
			t.Fatal("another order, other ways")
		}
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		for i, c := range clustersByHash(t, slices.Delete(slices.Clone(all), gone, gone+1), n) {
			if c != before[i] && before[i] != all[gone].Cluster {
				t.Fatalf("%s goes, and a hash moves from %s to %s", all[gone].Cluster, before[i], c)
			}
		}
		for i, c := range clustersByHash(t, append(slices.Clone(all), WeightedCluster{"new", 10}), n) {
			if c != before[i] && c != "new" {
				t.Fatalf("one comes, and a hash moves from %s to %s", before[i], c)
			}
		}
		more := slices.Clone(all)
		more[gone].Weight += 25
		for i, c := range clustersByHash(t, more, n) {
			if c != before[i] && c != more[gone].Cluster {
				t.Fatalf("%s gets more, and a hash moves from %s to %s", more[gone].Cluster, before[i], c)
			}
		}
	})
}

// TestWeightedClusters: each cluster gets the part of the hashes that its weight says, also of consecutive numbers, and
// the same hash always leads to the same cluster.
func TestWeightedClusters(t *testing.T) {
	table := mustCompile(t, VirtualHost{Domains: []string{"*"}, Routes: []Route{{Clusters: []WeightedCluster{
		{"a", 70}, {"none", 0}, {"b", 30},
	}}}})
	got := map[string]int{}
	const n = 20000
	for i := range uint64(n) {
		m, _ := table.Lookup(&Request{Path: "/", Hash: i})
		again, _ := table.Lookup(&Request{Path: "/", Hash: i})
		if again.Cluster != m.Cluster {
			t.Fatal("the same hash goes two ways")
		}
		got[m.Cluster]++
	}
	if got["none"] > 0 || math.Abs(float64(got["a"])/n-0.7) > 0.02 {
		t.Errorf("shares %v", got)
	}
}

func BenchmarkWeightedLookup(b *testing.B) {
	for _, n := range []int{2, 8, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := compiledRoute{Route: &Route{}, totalWeight: 1}
			for i := range n {
				w := WeightedCluster{fmt.Sprint("node-", i), 1}
				c.Clusters, c.clusterSeeds = append(c.Clusters, w), append(c.clusterSeeds, clusterSeed(w.Cluster))
			}
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				c.pickCluster(i)
			}
		})
	}
}
