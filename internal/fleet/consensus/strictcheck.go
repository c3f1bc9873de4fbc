package consensus

import (
	"errors"
	"fmt"

	"yokestall/internal/cluster"
	"yokestall/internal/route"
	"yokestall/policy"
)

// CheckNotLaxer returns an error that says how acting on a could break a rule that b keeps; nil if it can't. The check
// compares only the rules themselves, independently of how a was made, so that it also verifies Stricter.
func CheckNotLaxer(a EffectiveVersion, b *Version) error {
	for _, laxer := range []func(a EffectiveVersion, b *Version) error{laxerClass, laxerRoute, laxerSlowStart, laxerEndpoint} {
		if err := laxer(a, b); err != nil {
			return err
		}
	}
	return nil
}

// laxerClass returns an error for a class under which a may retry or deduplicate requests where b does not.
func laxerClass(a EffectiveVersion, b *Version) error {
	for i := range a.Program.Classes {
		x := &a.Program.Classes[i]
		at := b.Program.Class(x.Name)
		if at < 0 || a.RejectedClasses[x.Name] != "" {
			continue
		}
		y := &b.Program.Classes[at]
		switch {
		case x.Idempotency < y.Idempotency:
			return fmt.Errorf("class %s: effect %s is laxer than %s in the other version",
				x.Name, effectName(x.Idempotency), effectName(y.Idempotency))
		case x.Idempotency == policy.IdempotentByKey && y.Idempotency == policy.IdempotentByKey &&
			(x.DedupScope < y.DedupScope || x.DedupWindow > y.DedupWindow):
			return fmt.Errorf("class %s: deduplication scope is wider, or its window longer, than in the other version", x.Name)
		}
	}
	return nil
}

// laxerRoute returns an error for a route that may lead elsewhere in b, and whose class in b is not idempotent, or only
// by key.
func laxerRoute(a EffectiveVersion, b *Version) (err error) {
	differingRoutes(a.Program, b.Program, func(host string, routes, _ []route.Route, _ int) {
		for _, r := range routes {
			if isNotIdempotent(b.Program, r.Class) && a.RejectedClasses[r.Class] == "" {
				err = fmt.Errorf("host %s: route %s of class %s may lead elsewhere in the other version", host, r.Name, r.Class)
			}
		}
	})
	return err
}

// laxerSlowStart returns an error if a may send more to endpoints that are warming up than b.
func laxerSlowStart(a EffectiveVersion, b *Version) error {
	x, y := &a.Program.Rules, &b.Program.Rules
	if a.Program.Nodes < b.Program.Nodes ||
		x.SlowStartMinCapacity > y.SlowStartMinCapacity || x.SlowStartWindow < y.SlowStartWindow ||
		x.OverloadMultiple > y.OverloadMultiple || x.OverloadDuration > y.OverloadDuration {
		return errors.New("slow start: node count or rules allow more to endpoints that warm up than in the other version")
	}
	return nil
}

// laxerEndpoint returns an error for an endpoint that is in use in a, and that in b is out of use, has another address,
// zone or cell, or was started later.
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
				err = fmt.Errorf(
					"endpoint %s/%s: in use; in the other version out of use, started later or at another address, zone or cell",
					name, e.ID)
			}
		})
	}
	return err
}
