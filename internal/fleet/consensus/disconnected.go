package consensus

import (
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fleet/lease"
	"yokestall/policy"
)

// DisconnectedVersion restricts what a node acted on last to what its policy allows without a lease. The wall-clock
// time only tells which servers had been started shortly before the lease ended.
func DisconnectedVersion(last EffectiveVersion, rules lease.DisconnectedPolicy, ended time.Time) EffectiveVersion {
	p := *last.Program
	p.Classes = slices.Clone(p.Classes)
	out := EffectiveVersion{&Version{Program: &p, Clusters: last.Clusters}, map[string]string{}}
	maps.Copy(out.Refused, last.Refused) // what was refused between two versions is no less in doubt now
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
			out.Refused[c.Name] = "the node is cut off from the fleet"
		case !safe && (rules.Routes == lease.Cautious || rules.Servers == lease.Cautious):
			out.Refused[c.Name] = "the node is cut off from the fleet, and the class's routes or servers may have changed"
		}
	}
	if rules.Servers != lease.ServeLast {
		out.Clusters = map[string]*cluster.Cluster{}
		for name, c := range last.Clusters {
			out.Clusters[name] = withoutColdServers(c, p.Rules.SlowStartWindow, ended)
		}
	}
	return out
}

// withoutColdServers drains the servers that were started so shortly before that they may still be cold: the parts of
// their budget may have been redistributed among the other nodes.
func withoutColdServers(c *cluster.Cluster, coldFor time.Duration, at time.Time) *cluster.Cluster {
	cold := func(e cluster.Endpoint) bool {
		return e.Serves() && e.Started > 0 && at.Sub(time.UnixMilli(e.Started)) < coldFor
	}
	if !slices.ContainsFunc(c.Endpoints, cold) {
		return c
	}
	out := *c
	out.Endpoints = slices.Clone(c.Endpoints)
	for i := range out.Endpoints {
		if cold(out.Endpoints[i]) {
			out.Endpoints[i].Health = cluster.Draining
		}
	}
	return &out
}
