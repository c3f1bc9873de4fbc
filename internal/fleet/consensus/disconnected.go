package consensus

import (
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fleet/lease"
	"yokestall/policy"
)

// DisconnectedVersion restricts what a node acted on last to what its policy allows without a lease. now is the
// wall-clock time at which the policy is applied. It serves only to find the endpoints that were started shortly before
// that time.
func DisconnectedVersion(last EffectiveVersion, rules lease.DisconnectedPolicy, now time.Time) EffectiveVersion {
	p := *last.Program
	p.Classes = slices.Clone(p.Classes)
	out := EffectiveVersion{&Version{Program: &p, Clusters: last.Clusters}, map[string]string{}}
	maps.Copy(out.RefusedClasses, last.RefusedClasses) // no safe choice exists for these classes now either
	if rules.Effects == lease.Cautious {
		p.Limits.MaxAttempts, p.Limits.AllowHedging = 1, false
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		safe := c.Idempotency == policy.Idempotent
		if rules.Effects == lease.Cautious {
			c.Idempotency = policy.NotIdempotent
		}
		switch {
		case rules.Effects == lease.Refuse, rules.Servers == lease.Refuse, rules.Routes == lease.Refuse:
			out.RefusedClasses[c.Name] = "the node is cut off from the fleet"
		case !safe && (rules.Routes == lease.Cautious || rules.Servers == lease.Cautious):
			out.RefusedClasses[c.Name] = "the node is cut off from the fleet, and the class's routes or servers may have changed"
		}
	}
	if rules.Servers != lease.ServeLast {
		out.Clusters = map[string]*cluster.Config{}
		for name, c := range last.Clusters {
			out.Clusters[name] = drainWarmingEndpoints(c, p.Rules.SlowStartWindow, now)
		}
	}
	return out
}

// drainWarmingEndpoints drains the endpoints that were started less than a slow-start window before a time, and so may
// still be warming up: the parts of their budget may have been redistributed among the other nodes.
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
