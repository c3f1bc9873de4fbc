package policy

import (
	"math"
	"time"
)

// The latency estimates are the unloaded latency of a request, which it takes on an idle endpoint, and the
// factor by which requests currently take longer. The unloaded latency is learned for each class and
// endpoint from attempts that were alone at their endpoint. The inputs are the latencies of answers in
// seconds, work hints, and the capacity of warming endpoints. The unloaded latency is the unit of work, of
// the latencies in scores and of latencyInflation, a logarithm by which adjustConcurrencyLimit detects
// queueing at the endpoints, as TCP Vegas does by the round-trip time (Brakmo and Peterson, 1995).
// Latencies are in seconds.

const (
	// initialLatencyDivisor determines the initial latency estimates of a class: its latency objective
	// divided by initialLatencyDivisor.
	initialLatencyDivisor = 4
	// maxUnloadedDivisor determines the upper bound of a sample of the unloaded latency: the class's latency
	// objective divided by maxUnloadedDivisor.
	maxUnloadedDivisor = 3
	// baseLatency is the time for network and connection that is added to each unloaded latency, in seconds.
	baseLatency = 0.001
	// minLatency is the lower bound of a latency whose logarithm is taken, in seconds.
	minLatency = 1e-4
	// maxTypicalSamples is the maximum number of samples in typicalLatency, so that it follows changes.
	maxTypicalSamples = 64
	// maxLatencySamples is the maximum number of samples in a class's means, so that the means follow
	// changes.
	maxLatencySamples = 400
	// minLatencySamples is the number of answers below which a class's mean latency counts as a guess.
	minLatencySamples = 4
	// minUnloadedSamples is the number of unloaded attempts of a class below which unloaded attempts to
	// warming endpoints and under latency inflation count as well.
	minUnloadedSamples = 12
	// maxInflationSamples is the maximum number of samples in an endpoint's unloaded inflation.
	maxInflationSamples = 16
	// inflationSamples is the number of answers over which latencyInflation is averaged.
	inflationSamples = 32.0
	// maxUnloadedPerEndpoint is the mean number of requests in flight per endpoint, from all nodes, up to
	// which an attempt that is this node's only one at its endpoint counts as unloaded.
	maxUnloadedPerEndpoint = 3
)

// class holds the estimates of one class of requests. Latencies are in seconds.
type class struct {
	Class
	unloadedLatency float64 // mean unloaded latency of a request of mean work
	unloadedSamples float64 // number of samples in unloadedLatency
	queueCost       float64 // divides the weight in the queue: mean latency, or 1 with WeightPerWork
	latencySamples  float64 // number of answers in queueCost
	meanWorkHint    float64 // mean of Request.WorkHint, in seconds
	workHintSamples float64 // number of samples in meanWorkHint
}

// newClasses returns the classes of the settings with initial estimates.
func newClasses(settings *Settings) []class {
	var classes []class
	for _, c := range settings.Classes {
		if c.LatencyObjective == 0 {
			c.LatencyObjective = c.Deadline
		}
		latency := c.LatencyObjective.Seconds() / initialLatencyDivisor
		k := class{
			Class: c, unloadedLatency: latency, unloadedSamples: 1, queueCost: latency, latencySamples: 1,
		}
		if settings.WeightPerWork {
			k.queueCost = 1
		}
		classes = append(classes, k)
	}
	return classes
}

// recordWorkHint adds a request's work hint to the class's mean. A hint of 0 means that there is none.
func (c *class) recordWorkHint(hint time.Duration) {
	if hint <= 0 {
		return
	}
	c.workHintSamples = min(c.workHintSamples+1, maxHintSamples)
	c.meanWorkHint += (hint.Seconds() - c.meanWorkHint) / c.workHintSamples
}

// unloadedLatency returns the expected latency of the request on an idle, warm endpoint, in seconds.
func (b *Balancer) unloadedLatency(r *request) float64 {
	return r.class.unloadedLatency*r.workFactor() + baseLatency
}

// expectedLatency returns the latency of the request that is expected at the endpoints' current load.
func (b *Balancer) expectedLatency(r *request) time.Duration {
	return time.Duration(b.unloadedLatency(r) * b.health.meanLatency * float64(time.Second))
}

// unloaded reports whether a request that is sent to the endpoint now would probably be alone there. That
// is the case if no request of this node is in flight at the endpoint, and few requests of other nodes are,
// on the assumption that every node sends as many requests as this one.
func (b *Balancer) unloaded(e *endpoint) bool {
	if len(e.inFlight) > 0 {
		return false
	}
	allNodes := float64(b.concurrency.inFlight) * b.subset.nodesPerEndpoint
	return allNodes <= maxUnloadedPerEndpoint*float64(len(b.subset.members))
}

// recordLatency adds the latency of an answer, in seconds, to the estimates. The latency on a warming
// endpoint is scaled by the endpoint's capacity share. Such a latency counts for the class's unloaded
// latency only until there are minUnloadedSamples samples; otherwise the slow-start budgets would be
// charged too much work for the class. The latency of a request whose body is incomplete is not recorded,
// since it includes the client's upload, nor that of an answer that has paused, since a pause is not load.
func (b *Balancer) recordLatency(now time.Duration, a *attempt, r *request, latency float64) {
	if r.BodyIncomplete || a.hasStalled {
		return
	}
	c, e := r.class, a.endpoint
	b.typicalSamples = min(b.typicalSamples+1, maxTypicalSamples)
	b.typicalLatency += (latency - b.typicalLatency) / b.typicalSamples
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
		weight := e.unloadedSamples + b.subset.nodesPerEndpoint // other nodes may have requests in flight
		e.unloadedInflation += (inflation - e.unloadedInflation) / weight
	}
	b.latencyInflation += (inflation - e.unloadedInflation - b.latencyInflation) / inflationSamples
}
