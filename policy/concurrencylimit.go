package policy

import (
	"math"
	"time"
)

// The concurrency limit bounds the requests in flight. The capacity of the endpoints is not announced, but
// queueing at the endpoints shows as latency inflation: requests take longer than unloaded requests. The
// limit counts the requests per endpoint from all nodes that share the endpoint; each node keeps to its
// part of the limit (withinConcurrencyLimit). The limit is adjusted with each answer, as in TCP Vegas and
// Netflix's concurrency-limits. The inputs are latencyInflation (a logarithm), typicalLatency (seconds),
// the requests in flight, the queue and the nodes per endpoint. The limit grows while requests wait for
// capacity and the inflation is at most targetInflation. The limit shrinks while the inflation is higher,
// but not far below the last good limit, since a fleet that is slow as a whole looks the same as a
// saturated fleet. Among many nodes (Balancer.manyNodes), bursts of this node's own requests say little
// about the endpoints. There the mean number of requests in flight is bounded, and the limit may fall below
// one request per endpoint, so that saturated endpoints recover.

const (
	// targetInflation is the value of ln(latency / unloaded latency) above which endpoints count as
	// saturated.
	targetInflation = 0.3
	// initialConcurrency is the initial limit per endpoint, or the number of nodes if that is smaller.
	initialConcurrency = 3
	// growthPerRound is the relative growth of the limit during one typical latency.
	growthPerRound = 0.025
	// initialGrowthFactor multiplies the growth until endpoints are saturated for the first time.
	initialGrowthFactor = 6.0
	// maxGrowthRounds is the maximum number of rounds by which one answer may grow the limit. It is below 1
	// because latencyInflation lags behind the answers by about inflationSamples answers.
	maxGrowthRounds = 2 / inflationSamples
	// maxOverObserved is the multiple of the observed concurrency at which the limit stops growing.
	maxOverObserved = 2.0
	// shrinkPerRound is the relative decrease of the limit during one typical latency, for each unit of
	// inflation above targetInflation.
	shrinkPerRound = 0.1
	// maxShrinkExcess is the maximum inflation above targetInflation that counts for the decrease.
	maxShrinkExcess = 0.2
	// maxShrinkExcessManyNodes replaces maxShrinkExcess among many nodes.
	maxShrinkExcessManyNodes = 1
	// firstSaturationFactor multiplies the limit at the first saturation among many nodes. The answers show
	// only after a delay that the initial growth went too far.
	firstSaturationFactor = 0.6
	// minOfLastGood is the lower bound of the limit as a share of the last good limit. The resulting bound is
	// at least 1 request per endpoint.
	minOfLastGood = 0.9
	// minLimitManyNodes is the lower bound of the limit among many nodes, in requests per endpoint.
	minLimitManyNodes = 0.5
	// lastGoodDecaySeconds is the time constant with which the last good limit decays, in seconds.
	lastGoodDecaySeconds = 60.0
	// maxAdjustSeconds is the maximum time that one adjustment covers, in seconds.
	maxAdjustSeconds = 0.1
	// meanInFlightSeconds is the time over which the requests in flight are averaged, in seconds.
	meanInFlightSeconds = 1.0
	// burstDeviations is the number of standard deviations (of a Poisson distribution) by which the requests
	// in flight may briefly exceed the limit among many nodes.
	burstDeviations = 2
)

// concurrency holds the limit of the requests in flight and the values from which it is computed.
type concurrency struct {
	limit        float64 // requests in flight per endpoint, from all nodes that share it; may be below 1
	lastGood     float64 // highest limit without saturation, decaying; 0 means unknown
	saturated    bool    // endpoints were saturated at least once
	adjustedAt   time.Duration
	inFlight     int     // attempts of this node in flight, except those excluded from load
	meanInFlight float64 // mean of inFlight over meanInFlightSeconds
}

// updateMean updates the mean number of requests in flight for the elapsed time, in seconds.
func (c *concurrency) updateMean(elapsed float64) {
	c.meanInFlight += (float64(c.inFlight) - c.meanInFlight) * min(elapsed/meanInFlightSeconds, 1)
}

// adjustConcurrencyLimit changes the limit after an answer. Time is measured in rounds of one typical
// latency, because the effect of a change shows in the answers one round later. Larger changes would make
// the limit oscillate.
func (b *Balancer) adjustConcurrencyLimit(now time.Duration) {
	c := &b.concurrency
	seconds := min((now - c.adjustedAt).Seconds(), maxAdjustSeconds)
	rounds := seconds / b.typicalLatency
	c.adjustedAt = now
	excess := b.latencyInflation - targetInflation
	switch {
	case excess > 0 && !c.saturated:
		c.saturated = true
		if b.manyNodes() {
			c.limit *= firstSaturationFactor
		}
		c.lastGood = c.limit
	case excess > 0:
		least, most := max(1, minOfLastGood*c.lastGood), maxShrinkExcess
		if b.manyNodes() {
			least, most = minLimitManyNodes, maxShrinkExcessManyNodes
		}
		c.limit = max(least, c.limit*(1-shrinkPerRound*min(excess, most)*rounds))
		c.lastGood *= 1 - seconds/lastGoodDecaySeconds
	case len(b.queue) > 0 && c.limit < maxOverObserved*b.observedConcurrency():
		rounds = min(rounds, maxGrowthRounds)
		if !c.saturated {
			rounds *= initialGrowthFactor
		}
		c.limit *= 1 + growthPerRound*rounds
		c.lastGood = max(c.lastGood, c.limit)
	}
}

// observedConcurrency returns the number of requests in flight that an endpoint is seen to handle. It adds
// this node's current requests and, for each other node that shares the endpoint, this node's mean, since
// bursts of different nodes come at different times.
func (b *Balancer) observedConcurrency() float64 {
	c := &b.concurrency
	return (float64(c.inFlight) + c.meanInFlight*(b.subset.nodesPerEndpoint-1)) /
		max(1, float64(len(b.subset.members)))
}

// withinConcurrencyLimit reports whether this node may have one more request in flight. The node's bound is
// its part of the limit, multiplied by the number of endpoints whose breaker is closed.
func (b *Balancer) withinConcurrencyLimit() bool {
	c := &b.concurrency
	limit := c.limit / b.subset.nodesPerEndpoint * float64(b.health.closedBreakers)
	if !b.manyNodes() {
		return float64(c.inFlight+1) <= max(1, limit)
	}
	return c.meanInFlight < limit && float64(c.inFlight+1) <= limit+burstDeviations*math.Sqrt(limit+1)
}

// hasCapacity reports whether the endpoint may have the request in flight in addition to this node's others
// and is not paused after rejections. Slow start does not change this limit: a warming endpoint takes longer
// for each request, but handles as many requests concurrently. An attempt that takes the place of a stalled
// one adds nothing to the node's load, so the limit does not apply to it.
func (b *Balancer) hasCapacity(e *endpoint, now time.Duration, r *request) bool {
	if r.replacement == replacementDue {
		return now >= e.pausedUntil
	}
	limit := max(1, math.Round(b.concurrency.limit/b.subset.nodesPerEndpoint))
	return now >= e.pausedUntil && float64(e.load()+1) <= limit
}
