package consensus

import (
	"slices"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/route"
	"yokestall/policy"
)

// EffectiveVersion is what a node acts on: a version, and those of its classes whose requests are refused because no
// choice of rules is safe for them.
type EffectiveVersion struct {
	*Version
	RejectedClasses map[string]string // reason of the refusal, by class name
}

// Stricter returns the stricter combination of two versions that contradict each other: it takes the stricter rule of
// each kind, and so contradicts neither version. A node acts on the combination from when it has heard of the second
// version until that version is active, so that it conflicts neither with nodes that still act on the first version nor
// with nodes that already act on the second.
func Stricter(from, to *Version) EffectiveVersion {
	p := *from.Program
	out := EffectiveVersion{&Version{Program: &p, Clusters: map[string]*cluster.Config{}}, map[string]string{}}
	p.Classes = slices.Clone(p.Classes)
	for i := range p.Classes {
		a := &p.Classes[i]
		at := to.Program.Class(a.Name)
		if at < 0 {
			continue
		}
		b := to.Program.Classes[at]
		if a.Idempotency == policy.IdempotentByKey && b.Idempotency == policy.IdempotentByKey {
			a.DedupScope, a.DedupWindow = max(a.DedupScope, b.DedupScope), min(a.DedupWindow, b.DedupWindow)
		} else if b.Idempotency == policy.IdempotentByKey && a.Idempotency == policy.Idempotent {
			a.DedupScope, a.DedupWindow = b.DedupScope, b.DedupWindow
		}
		a.Idempotency = max(a.Idempotency, b.Idempotency)
	}
	p.Nodes = max(p.Nodes, to.Program.Nodes)
	a, b := &p.Rules, &to.Program.Rules
	a.SlowStartMinCapacity = min(a.SlowStartMinCapacity, b.SlowStartMinCapacity)
	a.SlowStartWindow = max(a.SlowStartWindow, b.SlowStartWindow)
	a.OverloadMultiple = min(a.OverloadMultiple, b.OverloadMultiple)
	a.OverloadDuration = min(a.OverloadDuration, b.OverloadDuration)
	for name := range classesWithChangedRoutes(from.Program, to.Program) {
		out.RejectedClasses[name] = "its routes differ between the active and the pending version"
	}
	for name, c := range from.Clusters {
		out.Clusters[name] = stricterCluster(c, to.Clusters[name])
	}
	return out
}

// stricterCluster returns a cluster with only those endpoints in use that both versions have in use at the same address,
// zone and cell. to is nil if the second version lacks the cluster.
func stricterCluster(from, to *cluster.Config) *cluster.Config {
	if from == to {
		return from
	}
	var after []cluster.Endpoint
	if to != nil {
		after = to.Endpoints
	}
	out := *from
	out.Endpoints = make([]cluster.Endpoint, 0, len(from.Endpoints))
	forEachEndpointPair(from.Endpoints, after, func(a, b *cluster.Endpoint) {
		if a == nil {
			return
		}
		e := *a
		switch {
		case !e.Serves():
		case !servesAt(b, a):
			e.Health = cluster.Draining
		default:
			e.StartedMs = max(e.StartedMs, b.StartedMs)
		}
		out.Endpoints = append(out.Endpoints, e)
	})
	return &out
}

// servesAt reports whether an endpoint is in use at the same address, zone and cell as another one. e may be nil.
func servesAt(e, other *cluster.Endpoint) bool {
	return e != nil && e.Serves() && e.Address == other.Address && e.Zone == other.Zone && e.Cell == other.Cell
}

// classesWithChangedRoutes returns the classes whose routes differ between two versions, without idempotent classes.
func classesWithChangedRoutes(from, to *config.Program) map[string]bool {
	out := map[string]bool{}
	differingRoutes(from, to, func(_ string, a, b []route.Route, _ int) {
		for _, versionRoutes := range []struct {
			p    *config.Program
			list []route.Route
		}{{from, a}, {to, b}} {
			for _, r := range versionRoutes.list {
				if isNotIdempotent(versionRoutes.p, r.Class) {
					out[r.Class] = true
				}
			}
		}
	})
	return out
}
