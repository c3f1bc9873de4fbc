package consensus

import (
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fleet/lease"
	"yokestall/policy"
)

// DisconnectedVersion restricts what a node acted on last to what its disconnected policy allows without a lease. now is
// the wall-clock time at which the policy is applied, and serves only to find endpoints that may still be warming up.
func DisconnectedVersion(last EffectiveVersion, rules lease.DisconnectedPolicy, now time.Time) EffectiveVersion {
	p := *last.Program
	p.Classes = slices.Clone(p.Classes)
	out := EffectiveVersion{&Version{Program: &p, Clusters: last.Clusters}, map[string]string{}}
	maps.Copy(out.RejectedClasses, last.RejectedClasses) // still no choice of rules is safe for these classes
	if rules.Idempotency == lease.Cautious {
		p.Limits.MaxAttempts, p.Limits.AllowHedging = 1, false
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		safe := c.Idempotency == policy.Idempotent
		if rules.Idempotency == lease.Cautious {
			c.Idempotency = policy.NotIdempotent
		}
		switch {
		case rules.Idempotency == lease.Refuse, rules.Endpoints == lease.Refuse, rules.Routes == lease.Refuse:
			out.RejectedClasses[c.Name] = "the node has no lease from the fleet's voters"
		case !safe && (rules.Routes == lease.Cautious || rules.Endpoints == lease.Cautious):
			out.RejectedClasses[c.Name] = "the node has no lease, and the class's routes or endpoints may have changed"
		}
	}
	if rules.Endpoints != lease.ServeLast {
		out.Clusters = map[string]*cluster.Config{}
		for name, c := range last.Clusters {
			out.Clusters[name] = drainWarmingEndpoints(c, p.Rules.SlowStartWindow, now)
		}
	}
	return out
}

// drainWarmingEndpoints drains the endpoints that were started less than a slow-start window before a time. They may
// still be warming up, and the shares of their budget may have been redistributed among the other nodes.
func drainWarmingEndpoints(c *cluster.Config, window time.Duration, at time.Time) *cluster.Config {
	warming := func(e cluster.Endpoint) bool {
		return e.Serves() && e.StartedMs > 0 && at.Sub(time.UnixMilli(e.StartedMs)) < window
	}
	if !slices.ContainsFunc(c.Endpoints, warming) {
		return c
	}
	out := *c
	out.Endpoints = slices.Clone(c.Endpoints)
	for i := range out.Endpoints {
		if warming(out.Endpoints[i]) {
			out.Endpoints[i].Health = cluster.Draining
		}
	}
	return &out
}
