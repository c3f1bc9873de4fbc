package agree

import (
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fleet/terms"
	"yokestall/policy"
)

// Alone gives what a node acts on without a lease, by what it acted on last, at a wall-clock time that only serves to
// tell which servers had started lately when the lease ended.
func Alone(last Acting, rules terms.DisconnectedPolicy, ended time.Time) Acting {
	p := *last.Program
	p.Classes = slices.Clone(p.Classes)
	out := Acting{&Version{Program: &p, Clusters: last.Clusters}, map[string]string{}}
	maps.Copy(out.Refused, last.Refused) // what was refused between two versions is no less in doubt now
	if rules.Effects == terms.Cautious {
		p.Limits.MaxAttempts, p.Limits.SecondCopies = 1, false
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		safe := c.Effect == policy.Safe
		if rules.Effects == terms.Cautious {
			c.Effect = policy.Unsafe
		}
		switch {
		case rules.Effects == terms.Refuse, rules.Servers == terms.Refuse, rules.Routes == terms.Refuse:
			out.Refused[c.Name] = "the node is cut off from the fleet"
		case !safe && (rules.Routes == terms.Cautious || rules.Servers == terms.Cautious):
			out.Refused[c.Name] = "the node is cut off from the fleet, and the class's routes or servers may have changed"
		}
	}
	if rules.Servers != terms.ServeLast {
		out.Clusters = map[string]*cluster.Cluster{}
		for name, c := range last.Clusters {
			out.Clusters[name] = withoutCold(c, p.Rules.ColdFor, ended)
		}
	}
	return out
}

// withoutCold gives a cluster without servers that had started so short a time ago that they may be cold: their
// budget is a part of a whole that may have been dealt out anew.
func withoutCold(c *cluster.Cluster, coldFor time.Duration, at time.Time) *cluster.Cluster {
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
