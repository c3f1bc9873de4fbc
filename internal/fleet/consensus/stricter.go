package consensus

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/route"
	"yokestall/policy"
)

// EffectiveVersion is what a node acts on: a version, and those of its classes whose requests are refused because no
// safe choice exists for them.
type EffectiveVersion struct {
	*Version
	Refused map[string]string // by class: why
}

// Stricter combines two versions that contradict each other into rules that contradict neither: for each kind of rule
// the stricter one. A node acts on it from when it has heard of the second version until that one is in force, so
// that it harms neither nodes that still act on the first nor those that act on the second already.
func Stricter(from, to *Version) EffectiveVersion {
	p := *from.Program
	out := EffectiveVersion{&Version{Program: &p, Clusters: map[string]*cluster.Cluster{}}, map[string]string{}}
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
	a.SlowStartMinCapacity, a.SlowStartWindow = min(a.SlowStartMinCapacity, b.SlowStartMinCapacity), max(a.SlowStartWindow, b.SlowStartWindow)
	a.OverloadMultiple, a.OverloadDuration = min(a.OverloadMultiple, b.OverloadMultiple), min(a.OverloadDuration, b.OverloadDuration)
	for name := range changedUnsafeRoutes(from.Program, to.Program) {
		out.Refused[name] = "its routes change"
	}
	for name, c := range from.Clusters {
		out.Clusters[name] = stricterCluster(c, to.Clusters[name])
	}
	return out
}

func stricterCluster(from, to *cluster.Cluster) *cluster.Cluster {
	if from == to {
		return from
	}
	var after []cluster.Endpoint
	if to != nil {
		after = to.Endpoints
	}
	out := *from
	out.Endpoints = make([]cluster.Endpoint, 0, len(from.Endpoints))
	walk(from.Endpoints, after, func(a, b *cluster.Endpoint) {
		if a == nil {
			return
		}
		e := *a
		switch {
		case !e.Serves():
		case !servesAt(b, a):
			e.Health = cluster.Draining
		default:
			e.Started = max(e.Started, b.Started)
		}
		out.Endpoints = append(out.Endpoints, e)
	})
	return &out
}

// servesAt reports whether a server, which may be missing, is in use at the same place as another one.
func servesAt(e, other *cluster.Endpoint) bool {
	return e != nil && e.Serves() && e.Address == other.Address && e.Zone == other.Zone && e.Cell == other.Cell
}

// changedUnsafeRoutes returns the classes, other than safe ones, whose routes differ between two versions.
func changedUnsafeRoutes(from, to *config.Program) map[string]bool {
	out := map[string]bool{}
	differingRoutes(from, to, func(_ string, a, b []route.Route, _ int) {
		for _, of := range []struct {
			p    *config.Program
			list []route.Route
		}{{from, a}, {to, b}} {
			for _, r := range of.list {
				if isUnsafe(of.p, r.Class) {
					out[r.Class] = true
				}
			}
		}
	})
	return out
}

// differingRoutes calls found for each host of either program whose routes differ, with the routes from the first
// difference on and its index.
func differingRoutes(from, to *config.Program, found func(host string, a, b []route.Route, same int)) {
	type host struct{ from, to []route.Route }
	hosts := map[string]*host{}
	at := func(h *route.VirtualHost) *host {
		names := slices.Clone(h.Domains)
		slices.Sort(names)
		key := strings.Join(names, " ")
		if hosts[key] == nil {
			hosts[key] = &host{}
		}
		return hosts[key]
	}
	for i := range from.Hosts {
		at(&from.Hosts[i]).from = from.Hosts[i].Routes
	}
	for i := range to.Hosts {
		at(&to.Hosts[i]).to = to.Hosts[i].Routes
	}
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[name]
		same := 0
		for same < min(len(h.from), len(h.to)) && reflect.DeepEqual(h.from[same], h.to[same]) {
			same++
		}
		if same < len(h.from) || same < len(h.to) {
			found(name, h.from[same:], h.to[same:], same)
		}
	}
}

// AsStrict returns how acting on a could break a rule that b keeps; nil: it can't. It compares the rules alone,
// however a was made.
func AsStrict(a EffectiveVersion, b *Version) error {
	for _, laxer := range []func(a EffectiveVersion, b *Version) error{laxerClass, laxerRoute, laxerBudget, laxerServer} {
		if err := laxer(a, b); err != nil {
			return err
		}
	}
	return nil
}

// laxerClass returns a class by which a may repeat requests, or drop keys, where b does not.
func laxerClass(a EffectiveVersion, b *Version) error {
	for i := range a.Program.Classes {
		x := &a.Program.Classes[i]
		at := b.Program.Class(x.Name)
		if at < 0 || a.Refused[x.Name] != "" {
			continue
		}
		y := &b.Program.Classes[at]
		switch {
		case x.Idempotency < y.Idempotency:
			return fmt.Errorf("class %s: %s where the other has %s", x.Name, effect(x.Idempotency), effect(y.Idempotency))
		case x.Idempotency == policy.IdempotentByKey && y.Idempotency == policy.IdempotentByKey && (x.DedupScope < y.DedupScope || x.DedupWindow > y.DedupWindow):
			return fmt.Errorf("class %s: keys are dropped more widely, or longer, than in the other", x.Name)
		}
	}
	return nil
}

// laxerRoute returns a route of a class that is not safe in b, and that leads elsewhere there.
func laxerRoute(a EffectiveVersion, b *Version) (err error) {
	differingRoutes(a.Program, b.Program, func(host string, mine, _ []route.Route, _ int) {
		for _, r := range mine {
			if isUnsafe(b.Program, r.Class) && a.Refused[r.Class] == "" {
				err = fmt.Errorf("host %s: route %s of class %s leads elsewhere in the other", host, r.Name, r.Class)
			}
		}
	})
	return err
}

// laxerBudget returns whether cold servers get more from a than from b.
func laxerBudget(a EffectiveVersion, b *Version) error {
	x, y := &a.Program.Rules, &b.Program.Rules
	if a.Program.Nodes < b.Program.Nodes || x.SlowStartMinCapacity > y.SlowStartMinCapacity || x.SlowStartWindow < y.SlowStartWindow || x.OverloadMultiple > y.OverloadMultiple || x.OverloadDuration > y.OverloadDuration {
		return errors.New("cold servers' budgets are wider than the other's")
	}
	return nil
}

// laxerServer returns a server that is in use in a, and not in b, or not there, or that b takes for colder.
func laxerServer(a EffectiveVersion, b *Version) (err error) {
	for name, c := range a.Clusters {
		if c == b.Clusters[name] {
			continue
		}
		var others []cluster.Endpoint
		if other := b.Clusters[name]; other != nil {
			others = other.Endpoints
		}
		walk(c.Endpoints, others, func(e, other *cluster.Endpoint) {
			if e == nil || !e.Serves() {
				return
			}
			if !servesAt(other, e) || e.Started < other.Started {
				err = fmt.Errorf("server %s/%s: in use, and the other has it out, elsewhere or colder", name, e.ID)
			}
		})
	}
	return err
}
