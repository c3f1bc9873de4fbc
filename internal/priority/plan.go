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

// SlowStart says how an endpoint warms up (policy.Rules).
type SlowStart struct {
	MinCapacity float64       // part of its capacity that an endpoint starts with, 0 to 1
	Window      time.Duration // from its start until it has all of it; 0: it starts with all
}

// Key names a tier.
type Key struct {
	Priority int
	Degraded bool
}

// compare orders keys by preference: the healthy parts by priority, then the degraded ones.
func (k Key) compare(other Key) int {
	if k.Degraded != other.Degraded {
		if other.Degraded {
			return -1
		}
		return 1
	}
	return cmp.Compare(k.Priority, other.Priority)
}

// Tier is a part of a cluster.
type Tier struct {
	Key
	// Cluster has the tier's endpoints. Those that get no new requests are in the healthy part of their priority, so that
	// whoever follows that part sees them drain.
	Cluster *cluster.Config

	priorityTotal int             // endpoints of the priority, whatever their health
	fullCapacity  int             // endpoints of this tier without a slow start
	starts        []time.Duration // start times of the others since the Unix epoch, ascending
}

// Plan is the tiers of one version of a cluster. It is immutable, except for the shares that it caches, and safe for
// concurrent use.
type Plan struct {
	Tiers            []Tier // in order of preference, at least one
	overprovisioning float64
	slowStart        SlowStart
	lastShares       atomic.Pointer[cachedShares]
}

// New returns the plan of a cluster whose endpoints are sorted, as cluster.Check leaves them. A cluster without
// endpoints has one tier.
func New(c *cluster.Config, slowStart SlowStart) *Plan {
	p := &Plan{overprovisioning: c.OverprovisioningFactor, slowStart: slowStart}
	if p.overprovisioning == 0 {
		p.overprovisioning = defaultOverprovisioning
	}
	if hasSingleTier(c) {
		p.Tiers = []Tier{{Cluster: c, priorityTotal: len(c.Endpoints)}} // the usual case, without a copy
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
	totals := map[int]int{} // endpoints by priority
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
		tiers = append(tiers, Tier{Key: key, Cluster: part, priorityTotal: totals[key.Priority]})
	}
	slices.SortFunc(tiers, func(a, b Tier) int { return a.Key.compare(b.Key) })
	return tiers
}

// countEndpoints sets what the tier's capacity is calculated from.
func (t *Tier) countEndpoints(slowStart SlowStart) {
	for i := range t.Cluster.Endpoints {
		switch e := &t.Cluster.Endpoints[i]; {
		case !e.Serves():
		case e.StartedMs == 0 || slowStart.Window <= 0:
			t.fullCapacity++
		default:
			t.starts = append(t.starts, time.Duration(e.StartedMs)*time.Millisecond)
		}
	}
	slices.Sort(t.starts)
}
