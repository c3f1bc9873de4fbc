package route

import (
	"hash/fnv"
	"io"
	"math"
)

// pickCluster picks a cluster by weighted rendezvous hashing: each cluster draws a number by the request's hash and its
// own name, and the highest has the request. The same hash goes to the same cluster at every node, whatever the order
// of the clusters; where a cluster is added, removed or gets another weight, no hashes move but those that it gains or
// loses, in proportion to the weights.
func (c *compiledRoute) pickCluster(hash uint64) string {
	if len(c.Clusters) == 0 {
		return "" // the route has a direct response
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
		// The logarithm of a uniform number makes an exponential variable whose rate is the weight: the probability
		// that a cluster's is the first is its part of the weights.
		uniform := (float64(mix(hash^c.clusterSeeds[i])>>11) + 0.5) / (1 << 53)
		if score := math.Log(uniform) / float64(w.Weight); score > best {
			best, name = score, w.Cluster
		}
	}
	return name
}

// clusterSeed returns a number by which a cluster's draws differ from those of others.
func clusterSeed(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return mix(h.Sum64())
}

// mix spreads a number over all bits (the finalizer of splitmix64): callers' hashes may be consecutive numbers.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
