package route

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// clustersByHash returns the cluster for each hash from 0 to n-1, by the hash.
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

// TestOnlyTheShareMoves checks which hashes move to another cluster when the clusters change. If a cluster is removed,
// only its own hashes move; if one is added, hashes move only to it; if the weight of one is increased, hashes move only
// to it. The order of the clusters has no effect.
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
				t.Fatalf("%s got a share of %.3f of the hashes, want %.3f by its weight", c.Cluster, got, want)
			}
		}
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		if got := clustersByHash(t, reversed, n); !slices.Equal(got, before) {
			t.Fatal("the order of the clusters changed the clusters of some hashes")
		}
		changed := rapid.IntRange(0, len(all)-1).Draw(t, "changed")
		for i, c := range clustersByHash(t, slices.Delete(slices.Clone(all), changed, changed+1), n) {
			if c != before[i] && before[i] != all[changed].Cluster {
				t.Fatalf("%s was removed, and a hash moved from %s to %s", all[changed].Cluster, before[i], c)
			}
		}
		for i, c := range clustersByHash(t, append(slices.Clone(all), WeightedCluster{"new", 10}), n) {
			if c != before[i] && c != "new" {
				t.Fatalf("a cluster was added, and a hash moved from %s to %s", before[i], c)
			}
		}
		heavier := slices.Clone(all)
		heavier[changed].Weight += 25
		for i, c := range clustersByHash(t, heavier, n) {
			if c != before[i] && c != heavier[changed].Cluster {
				t.Fatalf("the weight of %s was increased, and a hash moved from %s to %s", heavier[changed].Cluster, before[i], c)
			}
		}
	})
}

// TestWeightedClusters checks that each cluster gets the share of consecutive hashes that its weight asks for, and that the
// same hash always leads to the same cluster.
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
			t.Fatal("two lookups of the same hash returned different clusters")
		}
		got[m.Cluster]++
	}
	if got["none"] > 0 || math.Abs(float64(got["a"])/n-0.7) > 0.02 {
		t.Errorf("got %v hashes per cluster, want about 70 %% to a, 30 %% to b and 0 to none", got)
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
