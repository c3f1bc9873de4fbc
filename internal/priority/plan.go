package priority

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"yokestall/internal/cluster"
)

// defaultOverprovisioning is Envoy's default overprovisioning factor (endpoint.v3
// ClusterLoadAssignment.Policy.overprovisioning_factor, 140).
const defaultOverprovisioning = 1.4

// SlowStart are the parameters by which an endpoint warms up, as in policy.Rules.
type SlowStart struct {
	MinCapacity float64       // fraction of its capacity that an endpoint has at its start, 0 to 1
	Window      time.Duration // time from an endpoint's start to its full capacity; 0 means no slow start
}

// Key identifies a tier of a cluster.
type Key struct {
	Priority int  // 0 is the most preferred
	Degraded bool // the tier is the degraded part of the priority
}

// compare orders keys by preference: first the healthy parts of all priorities, then the degraded parts, each by priority.
func (k Key) compare(other Key) int {
	if k.Degraded != other.Degraded {
		if other.Degraded {
			return -1
		}
		return 1
	}
	return cmp.Compare(k.Priority, other.Priority)
}

// Tier is the healthy or the degraded part of a priority.
type Tier struct {
	Key
	// Cluster has the tier's endpoints. Draining and unhealthy endpoints belong to the healthy tier, so that the code
	// that uses the tier still sees them.
	Cluster *cluster.Config

	priorityEndpoints int             // number of endpoints of the priority, whatever their health
	withoutSlowStart  int             // serving endpoints whose start time is unknown, or all of them if slow start is off
	startTimes        []time.Duration // of the tier's other serving endpoints, since the Unix epoch, ascending
}

// Plan has the tiers of one version of a cluster. It is immutable except for its cached shares, and safe for concurrent
// use.
type Plan struct {
	Tiers            []Tier  // in order of preference, at least one
	overprovisioning float64 // Envoy's overprovisioning factor, as a ratio
	slowStart        SlowStart
	lastShares       atomic.Pointer[cachedShares]
}

// New returns the plan of a cluster. The endpoints of c must be sorted, as cluster.Config.Check leaves them; those of each
// tier are then sorted too. A cluster without endpoints has one tier.
func New(c *cluster.Config, slowStart SlowStart) *Plan {
	p := &Plan{overprovisioning: c.OverprovisioningFactor, slowStart: slowStart}
	if p.overprovisioning == 0 {
		p.overprovisioning = defaultOverprovisioning
	}
	if hasSingleTier(c) {
		p.Tiers = []Tier{{Cluster: c, priorityEndpoints: len(c.Endpoints)}} // the usual case; the endpoints are not copied
	} else {
		p.Tiers = divide(c)
	}
	for i := range p.Tiers {
		p.Tiers[i].countEndpoints(slowStart)
	}
	return p
}

// hasSingleTier reports whether all endpoints are in the healthy part of priority 0.
func hasSingleTier(c *cluster.Config) bool {
	for i := range c.Endpoints {
		if e := &c.Endpoints[i]; e.Priority != 0 || e.Health == cluster.Degraded {
			return false
		}
	}
	return true
}

// divide returns the tiers of a cluster, in order of preference.
func divide(c *cluster.Config) []Tier {
	parts := map[Key]*cluster.Config{}
	totals := map[int]int{} // numbers of endpoints by priority
	for _, e := range c.Endpoints {
		key := Key{e.Priority, e.Health == cluster.Degraded}
		part := parts[key]
		if part == nil {
			withoutEndpoints := *c
			withoutEndpoints.Endpoints = nil
			part = &withoutEndpoints
			parts[key] = part
		}
		part.Endpoints = append(part.Endpoints, e)
		totals[e.Priority]++
	}
	var tiers []Tier
	for key, part := range parts {
		tiers = append(tiers, Tier{Key: key, Cluster: part, priorityEndpoints: totals[key.Priority]})
	}
	slices.SortFunc(tiers, func(a, b Tier) int { return a.Key.compare(b.Key) })
	return tiers
}

// countEndpoints sets withoutSlowStart and startTimes from the tier's endpoints.
func (t *Tier) countEndpoints(slowStart SlowStart) {
	for i := range t.Cluster.Endpoints {
		switch e := &t.Cluster.Endpoints[i]; {
		case !e.Serves():
		case e.StartedMs == 0 || slowStart.Window <= 0:
			t.withoutSlowStart++
		default:
			t.startTimes = append(t.startTimes, time.Duration(e.StartedMs)*time.Millisecond)
		}
	}
	slices.Sort(t.startTimes)
}
