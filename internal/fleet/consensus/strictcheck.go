package consensus

import (
	"errors"
	"fmt"

	"yokestall/internal/cluster"
	"yokestall/internal/route"
	"yokestall/policy"
)

// CheckNotLaxer returns how acting on a could break a rule that b keeps; nil: it can't. It compares the rules alone,
// however a was made.
func CheckNotLaxer(a EffectiveVersion, b *Version) error {
	for _, laxer := range []func(a EffectiveVersion, b *Version) error{laxerClass, laxerRoute, laxerSlowStart, laxerEndpoint} {
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
		if at < 0 || a.RefusedClasses[x.Name] != "" {
			continue
		}
		y := &b.Program.Classes[at]
		switch {
		case x.Idempotency < y.Idempotency:
			return fmt.Errorf("class %s: %s where the other has %s", x.Name, effectName(x.Idempotency), effectName(y.Idempotency))
		case x.Idempotency == policy.IdempotentByKey && y.Idempotency == policy.IdempotentByKey &&
			(x.DedupScope < y.DedupScope || x.DedupWindow > y.DedupWindow):
			return fmt.Errorf("class %s: keys are dropped more widely, or longer, than in the other", x.Name)
		}
	}
	return nil
}

// laxerRoute returns a route of a class that is not safe in b, and that leads elsewhere there.
func laxerRoute(a EffectiveVersion, b *Version) (err error) {
	differingRoutes(a.Program, b.Program, func(host string, routes, _ []route.Route, _ int) {
		for _, r := range routes {
			if isNotIdempotent(b.Program, r.Class) && a.RefusedClasses[r.Class] == "" {
				err = fmt.Errorf("host %s: route %s of class %s leads elsewhere in the other", host, r.Name, r.Class)
			}
		}
	})
	return err
}

// laxerSlowStart returns whether cold servers get more from a than from b.
func laxerSlowStart(a EffectiveVersion, b *Version) error {
	x, y := &a.Program.Rules, &b.Program.Rules
	if a.Program.Nodes < b.Program.Nodes ||
		x.SlowStartMinCapacity > y.SlowStartMinCapacity || x.SlowStartWindow < y.SlowStartWindow ||
		x.OverloadMultiple > y.OverloadMultiple || x.OverloadDuration > y.OverloadDuration {
		return errors.New("cold servers' budgets are wider than the other's")
	}
	return nil
}

// laxerEndpoint returns a server that is in use in a, and not in b, or not there, or that b takes for colder.
func laxerEndpoint(a EffectiveVersion, b *Version) (err error) {
	for name, c := range a.Clusters {
		if c == b.Clusters[name] {
			continue
		}
		var others []cluster.Endpoint
		if other := b.Clusters[name]; other != nil {
			others = other.Endpoints
		}
		forEachEndpointPair(c.Endpoints, others, func(e, other *cluster.Endpoint) {
			if e == nil || !e.Serves() {
				return
			}
			if !servesAt(other, e) || e.StartedMs < other.StartedMs {
				err = fmt.Errorf("server %s/%s: in use, and the other has it out, elsewhere or colder", name, e.ID)
			}
		})
	}
	return err
}
