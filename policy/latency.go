package policy

import (
	"math"
	"time"
)

// Latency estimates: what a request takes on an idle endpoint, and how much longer it takes at present. The
// first is learnt for each class and endpoint from attempts that were alone at their endpoint. Their inputs
// are the latencies of answers in seconds, work hints, and the capacity of warming endpoints. The unloaded
// latency is the unit of work, of scores and of the logarithm latencyInflation, by which
// adjustConcurrencyLimit detects queueing at the endpoints, as TCP Vegas does by the round-trip time (Brakmo
// and Peterson, 1995). Latencies are in seconds.

const (
	// initialLatencyDivisor gives a class's first estimates: its latency objective divided by this.
	initialLatencyDivisor = 4
	// maxUnloadedDivisor bounds an unloaded latency: the latency objective divided by this.
	maxUnloadedDivisor = 3
	// baseLatency is added to each expected latency, in seconds: network and connection.
	baseLatency = 0.001
	// minLatency bounds a latency from below where its logarithm is taken, in seconds.
	minLatency = 1e-4
	// typicalLatencySamples is the number of answers that typicalLatency is averaged over.
	typicalLatencySamples = 64
	// maxLatencySamples bounds the samples of a class's means, so that they follow changes.
	maxLatencySamples = 400
	// minLatencySamples is the number of answers below which a class's mean is a guess.
	minLatencySamples = 4
	// minUnloadedSamples is the number of unloaded attempts of a class below which those to warming endpoints
	// and under inflation count as well.
	minUnloadedSamples = 12
	// maxInflationSamples bounds the samples of an endpoint's unloaded inflation.
	maxInflationSamples = 16
	// inflationSamples is the number of answers that latencyInflation is averaged over.
	inflationSamples = 32.0
	// maxUnloadedPerEndpoint is the mean number of requests in flight at an endpoint, from all nodes, up to
	// which an attempt that is this node's only one there counts as unloaded.
	maxUnloadedPerEndpoint = 3
)

// class holds the estimates of one class of requests. Latencies are in seconds.
type class struct {
	Class
	unloadedLatency float64 // mean, for a request of mean work
	unloadedSamples float64
	queueCost       float64 // divides the weight in the queue's order: mean latency; 1 with WeightPerWork
	latencySamples  float64 // answers that queueCost rests on
	meanWorkHint    float64 // seconds
	workHintSamples float64
}

// newClasses returns the initial estimates.
func newClasses(set *Settings) []class {
	var classes []class
	for _, c := range set.Classes {
		if c.LatencyObjective == 0 {
			c.LatencyObjective = c.Deadline
		}
		latency := c.LatencyObjective.Seconds() / initialLatencyDivisor
		k := class{
			Class: c, unloadedLatency: latency, unloadedSamples: 1, queueCost: latency, latencySamples: 1,
		}
		if set.WeightPerWork {
			k.queueCost = 1
		}
		classes = append(classes, k)
	}
	return classes
}

// countWorkHint takes a request's hint into the class's mean; 0: no hint.
func (c *class) countWorkHint(hint time.Duration) {
	if hint <= 0 {
		return
	}
	c.workHintSamples = min(c.workHintSamples+1, maxHintSamples)
	c.meanWorkHint += (hint.Seconds() - c.meanWorkHint) / c.workHintSamples
}

// unloadedLatency returns what the request takes on an idle, warm endpoint, in seconds.
func (b *Balancer) unloadedLatency(r *request) float64 {
	return r.class.unloadedLatency*r.workFactor() + baseLatency
}

// expectedLatency returns what the request takes at present.
func (b *Balancer) expectedLatency(r *request) time.Duration {
	return time.Duration(b.unloadedLatency(r) * b.health.meanLatency * float64(time.Second))
}

// unloaded reports whether a request that is sent to the endpoint now meets no other request there: none of
// this node's is in flight, and few of the other nodes' are, if they send as this one does.
func (b *Balancer) unloaded(e *endpoint) bool {
	if len(e.inFlight) > 0 {
		return false
	}
	allNodes := float64(b.concurrency.inFlight) * b.subset.nodesPerEndpoint
	return allNodes <= maxUnloadedPerEndpoint*float64(len(b.subset.members))
}

// recordLatency takes the latency of an answer into the estimates, in seconds. What a warming endpoint takes
// counts by its capacity, and for its class only until more is known: else the class would be charged to the
// slow-start budgets as heavy. What the client's upload took is not recorded.
func (b *Balancer) recordLatency(now time.Duration, a *attempt, r *request, latency float64) {
	if r.BodyIncomplete {
		return
	}
	c, e := r.class, a.endpoint
	b.typicalLatency += (latency - b.typicalLatency) / typicalLatencySamples
	c.latencySamples = min(c.latencySamples+1, maxLatencySamples)
	if !b.settings.WeightPerWork {
		c.queueCost += (latency - c.queueCost) / c.latencySamples
	}
	capacity := b.capacityShare(e, now)
	if a.unloaded && (c.unloadedSamples < minUnloadedSamples ||
		capacity >= 1 && b.latencyInflation < targetInflation/2) {
		sample := min(latency*capacity/r.workFactor(), c.LatencyObjective.Seconds()/maxUnloadedDivisor)
		c.unloadedSamples = min(c.unloadedSamples+1, maxLatencySamples)
		c.unloadedLatency += (sample - c.unloadedLatency) / c.unloadedSamples
	}
	inflation := math.Log(max(latency*capacity, minLatency) / (c.unloadedLatency * r.workFactor()))
	if a.unloaded && b.latencyInflation < targetInflation {
		e.unloadedSamples = min(e.unloadedSamples+1, maxInflationSamples)
		weight := e.unloadedSamples + b.subset.nodesPerEndpoint // other nodes' attempts may be there unseen
		e.unloadedInflation += (inflation - e.unloadedInflation) / weight
	}
	b.latencyInflation += (inflation - e.unloadedInflation - b.latencyInflation) / inflationSamples
}
