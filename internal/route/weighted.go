package route

import (
	"hash/fnv"
	"io"
	"math"
)

// pickCluster picks by weighted rendezvous hashing: each pickCluster draws a number by the hash and its
// name, and the highest has the request. The same hash goes to the same pickCluster at every node, in
// any order of the clusters; where one comes, goes or changes its weight, no other hashes move than
// those that it gains or loses, which are its share.
func (c *compiledRoute) pickCluster(hash uint64) string {
	if len(c.Clusters) == 0 {
		return "" // it answers by itself
	}
	if len(c.Clusters) == 1 || c.totalWeight == 0 {
		return c.Clusters[0].Cluster
	}
	best, name := math.Inf(-1), ""
	for i := range c.Clusters {
		w := &c.Clusters[i]
		if w.Weight == 0 {
			continue
		}
		// An exponential variable whose rate is the weight: the first of several to come is each
		// with its share.
		u := (float64(mix(hash^c.clusterSeeds[i])>>11) + 0.5) / (1 << 53)
		if at := math.Log(u) / float64(w.Weight); at > best {
			best, name = at, w.Cluster
		}
	}
	return name
}

// clusterSeed is a cluster's own in every draw.
func clusterSeed(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return mix(h.Sum64())
}

// mix spreads a number over all bits (the finalizer of splitmix64): hashes that a caller has may be
// plain numbers.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
