package policy

import "time"

// Subsetting selects the ready endpoints that this node uses. If a node with little traffic used all
// endpoints, it would send each endpoint too few requests to judge it, and would open a new connection for
// each request. So a node uses a section of the hash ring of ready endpoints that is just long enough for
// its traffic: each endpoint gets one request per subsetRequestInterval. The inputs are the arrivals per
// second, Settings.NodeIndex and NodeCount, and the ring. The sections of the nodes begin at even distances
// on the ring, so that together they cover the ring evenly (deterministic subsetting, Site Reliability
// Engineering, chapter 20). Endpoints with an open breaker or in slow start extend the section, since they
// handle no traffic or less of it.

const (
	// minSubsetSize is the minimum total capacity of a subset's endpoints without an open breaker, in warm
	// endpoints.
	minSubsetSize = 4
	// subsetRequestInterval is the time in which each endpoint of the subset gets one request, and after
	// which a subset may shrink.
	subsetRequestInterval = time.Second / 4
	// maxInformativeNodes is the number of nodes up to which the requests of one node reflect the load of the
	// endpoints.
	maxInformativeNodes = 8
)

// subset is the section of the ring that this node uses.
type subset struct {
	members          []*endpoint   // Ready endpoints, in the order of the ring
	nodesPerEndpoint float64       // average number of nodes whose subsets contain an endpoint; at least 1
	arrivals         decayingRate  // requests per second
	size             int           // wanted capacity, in warm endpoints without an open breaker, at chosenAt
	chosenAt         time.Duration // time at which the members were chosen
	stale            bool          // the endpoints or their breakers have changed since chosenAt
}

// updateSubset chooses the members of the subset again if the subset is stale, if the traffic requires a
// larger one, or if subsetRequestInterval has passed.
func (b *Balancer) updateSubset(now time.Duration) {
	s := &b.subset
	size := max(minSubsetSize, int(s.arrivals.perSecond(now)*subsetRequestInterval.Seconds()+0.5))
	if !s.stale && size <= s.size && now-s.chosenAt < subsetRequestInterval {
		return
	}
	s.stale, s.size, s.chosenAt = false, size, now
	s.members = s.members[:0]
	n, nodes := len(b.ready), float64(b.settings.NodeCount)
	start := int((float64(b.settings.NodeIndex%b.settings.NodeCount) + 0.5) / nodes * float64(n))
	for i, missing := 0, float64(size); i < n && missing > 0; i++ {
		e := b.ready[(start+i)%n]
		s.members = append(s.members, e)
		if e.breaker.state != breakerOpen {
			missing -= b.capacityShare(e, now)
		}
	}
	s.nodesPerEndpoint = max(1, nodes*float64(len(s.members))/float64(max(1, n)))
}

// manyNodes reports whether there are so many nodes that this node's own requests say little about the load
// of the endpoints. The result is the same at all nodes, whatever the sizes of their subsets.
func (b *Balancer) manyNodes() bool { return b.settings.NodeCount > maxInformativeNodes }
