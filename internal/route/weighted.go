package route

import (
	"hash/fnv"
	"io"
	"math"
)

// pickCluster picks a cluster by weighted rendezvous hashing: each cluster has a score that depends on the request's hash,
// the cluster's name and its weight, and the cluster with the highest score gets the request. The same hash leads to the
// same cluster on every node, whatever the order of the clusters. If a cluster is added, removed or gets another weight,
// only the hashes that this cluster gains or loses move, in proportion to the weights. pickCluster returns "" for a route
// without clusters.
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
		// -Log(uniform)/Weight is an exponential variable whose rate is the weight. The probability that a cluster has
		// the smallest of these variables, and so the highest score, is the cluster's share of the weights.
		uniform := (float64(mix(hash^c.clusterSeeds[i])>>11) + 0.5) / (1 << 53)
		if score := math.Log(uniform) / float64(w.Weight); score > best {
			best, name = score, w.Cluster
		}
	}
	return name
}

// clusterSeed returns a hash of a cluster's name, which makes the scores of different clusters independent.
func clusterSeed(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return mix(h.Sum64())
}

// mix hashes a number so that each bit of it affects all bits of the result (splitmix64). The hashes that callers pass may
// be consecutive numbers.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
