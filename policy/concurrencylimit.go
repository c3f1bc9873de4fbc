package policy

import (
	"math"
	"time"
)

// Concurrency limit: how many requests this node may have in flight. The capacity of the endpoints is not
// announced, but queueing at them shows as latency inflation: requests take longer than unloaded ones. The
// limit is per endpoint, over all nodes that share it, and is adjusted with each answer as TCP Vegas and
// Netflix's concurrency-limits do. Its inputs are latencyInflation (a logarithm), typicalLatency (seconds),
// the requests in flight, the queue and the nodes per endpoint. The limit grows while requests wait for
// capacity and the inflation is below targetInflation, and shrinks above it, but not far below the last limit
// known to be good: a fleet that is slow as a whole looks the same as a saturated one. Among many nodes,
// bursts of the own requests say little; there the mean in flight is bounded, and the limit may fall below
// one request for each endpoint, so that saturated endpoints recover.

const (
	// targetInflation is the logarithm of the latency over the unloaded latency above which endpoints count
	// as saturated.
	targetInflation = 0.3
	// initialConcurrency is the initial limit per endpoint, or the number of nodes if that is smaller.
	initialConcurrency = 3
	// growthPerRound is the relative growth of the limit in one typical latency.
	growthPerRound = 0.025
	// initialGrowthFactor multiplies the growth until endpoints were saturated for the first time.
	initialGrowthFactor = 6.0
	// maxGrowthRounds bounds the rounds that one answer may grow the limit by: latencyInflation follows the
	// answers with a delay of inflationSamples.
	maxGrowthRounds = 2 / inflationSamples
	// maxOverObserved is the multiple of the observed concurrency that the limit may grow to.
	maxOverObserved = 2.0
	// shrinkPerRound is the relative shrinking of the limit in one typical latency, for each unit of
	// inflation above the target.
	shrinkPerRound = 0.1
	// maxShrinkExcess bounds the inflation above the target that counts for the shrinking.
	maxShrinkExcess = 0.2
	// maxShrinkExcessManyNodes is the same bound among many nodes.
	maxShrinkExcessManyNodes = 1
	// firstSaturationFactor multiplies the limit at the first saturation among many nodes: its answers show
	// late that the initial growth went too far.
	firstSaturationFactor = 0.6
	// minOfLastGood is the lower bound of the limit, as a share of the last good one; it is at least 1.
	minOfLastGood = 0.9
	// minLimitManyNodes is the lower bound of the limit among many nodes, in requests per endpoint.
	minLimitManyNodes = 0.5
	// lastGoodDecaySeconds is the time constant over which the last good limit is forgotten, in seconds.
	lastGoodDecaySeconds = 60.0
	// maxAdjustSeconds bounds the time that one adjustment covers, in seconds.
	maxAdjustSeconds = 0.1
	// meanInFlightSeconds is the time over which the requests in flight are averaged, in seconds.
	meanInFlightSeconds = 1.0
	// burstDeviations is the number of standard deviations (of a Poisson distribution) by which the requests
	// in flight may exceed the limit for a moment among many nodes.
	burstDeviations = 2
)

// concurrency is the limit of the requests in flight and what it rests on.
type concurrency struct {
	limit        float64 // requests in flight per endpoint, from all nodes that share it; may be below 1
	lastGood     float64 // highest limit without saturation, decaying; 0: unknown
	saturated    bool    // endpoints were saturated at least once
	adjustedAt   time.Duration
	inFlight     int     // attempts of this node in flight, without unresponsive ones
	meanInFlight float64 // mean of inFlight over meanInFlightSeconds
}

// updateMean takes the present requests in flight into their mean, for the elapsed seconds.
func (c *concurrency) updateMean(elapsed float64) {
	c.meanInFlight += (float64(c.inFlight) - c.meanInFlight) * min(elapsed/meanInFlightSeconds, 1)
}

// adjustConcurrencyLimit moves the limit after an answer. Time counts in rounds of a typical latency, since
// the effect of a step shows in the answers one round later; larger steps would oscillate.
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

// observedConcurrency returns the requests in flight that an endpoint is seen to manage: this node's at
// present, and from each other node that shares it as many as this one has on average, since bursts of
// different nodes come at different times.
func (b *Balancer) observedConcurrency() float64 {
	c := &b.concurrency
	return (float64(c.inFlight) + c.meanInFlight*(b.subset.nodesPerEndpoint-1)) /
		max(1, float64(len(b.subset.members)))
}

// withinConcurrencyLimit reports whether this node may have one more request in flight, by its part of the
// limit and the endpoints whose breaker is closed.
func (b *Balancer) withinConcurrencyLimit() bool {
	c := &b.concurrency
	limit := c.limit / b.subset.nodesPerEndpoint * float64(b.health.closedBreakers)
	if !b.manyNodes() {
		return float64(c.inFlight+1) <= max(1, limit)
	}
	return c.meanInFlight < limit && float64(c.inFlight+1) <= limit+burstDeviations*math.Sqrt(limit+1)
}

// hasCapacity reports whether the endpoint may have one more request of this node in flight, and is not
// paused after rejections. Slow start does not change this limit: a warming endpoint takes longer, not fewer
// at once.
func (b *Balancer) hasCapacity(e *endpoint, now time.Duration) bool {
	limit := max(1, math.Round(b.concurrency.limit/b.subset.nodesPerEndpoint))
	return now >= e.pausedUntil && float64(len(e.inFlight)-e.incompleteBodies+1) <= limit
}
