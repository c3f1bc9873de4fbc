package policy

import "time"

// Subsetting: which of the ready endpoints this node uses. A node with little traffic that used the whole
// fleet would send each endpoint too little to judge it, and open a connection each time. So it uses a
// section of the ring of ready endpoints that is as long as its traffic needs: each endpoint gets a request
// per subsetRequestInterval. Its inputs are the arrivals per second, Settings.NodeIndex and NodeCount, and
// the ring. The sections of the nodes begin at even distances on the ring, so that together they cover it
// evenly (deterministic subsetting, Site Reliability Engineering, chapter 20). Endpoints with an open breaker
// or in slow start extend the section: they carry nothing, or less.

const (
	// minSubsetSize is the least number of warm endpoints with a closed breaker in a subset.
	minSubsetSize = 4
	// subsetRequestInterval is the time in which each endpoint of the subset gets one request, and after
	// which a subset may shrink.
	subsetRequestInterval = time.Second / 4
	// maxInformativeNodes is the number of nodes up to which each one's own requests reflect the endpoints'
	// load.
	maxInformativeNodes = 8
)

// subset is the section of the ring that this node uses.
type subset struct {
	members          []*endpoint  // Ready, in the order of the ring
	nodesPerEndpoint float64      // nodes whose subsets contain an endpoint, on average; at least 1
	arrivals         decayingRate // requests per second
	size             int          // warm endpoints with a closed breaker that were wanted at chosenAt
	chosenAt         time.Duration
	stale            bool // the endpoints or their breakers changed
}

// updateSubset chooses the subset anew when it is stale, when more traffic needs a larger one, and after
// subsetRequestInterval.
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

// manyNodes reports whether there are so many nodes that this node's own requests say little of the
// endpoints' load. It holds for all nodes alike, whatever the sizes of their subsets.
func (b *Balancer) manyNodes() bool { return b.settings.NodeCount > maxInformativeNodes }
