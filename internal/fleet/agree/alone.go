package agree

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/policy"
)

// Caution is what a node does by a kind of rule once its lease is over: then it can't know what the others act on.
type Caution uint8

// The cautions, from the strictest.
const (
	AloneRefuse    Caution = iota // nothing that the rule touches is served
	AloneCautious                 // what contradicts no version that could follow; where nothing does, refuse
	AloneServeLast                // as the last version says: it may contradict one that has followed
)

var cautions = map[string]Caution{"refuse": AloneRefuse, "cautious": AloneCautious, "serve-last": AloneServeLast}

// ParseCaution reads a caution's word.
func ParseCaution(word string) (Caution, error) {
	if c, ok := cautions[word]; ok {
		return c, nil
	}
	return 0, fmt.Errorf("%q is none of %v", word, slices.Sorted(maps.Keys(cautions)))
}

// AloneRules say what a node does that has lost its lease, by kind of rule.
type AloneRules struct {
	Effects Caution // effect, scope and window of classes. Cautious: one attempt for each request, no copy, no repeat
	Routes  Caution // where classes that are not safe lead. Cautious: their requests are refused
	Lists   Caution // servers. Cautious: only safe requests go to them, none to servers that may still be cold
	// For is how long after its lease's end anything is served at all; 0: for as long as it lasts.
	For time.Duration
}

// Alone gives what a node acts on without a lease, by the last version that it acted on, at a wall-clock time that only serves to
// tell which servers had started lately when the lease ended.
func Alone(last *Version, rules AloneRules, ended time.Time) Acting {
	p := *last.Program
	p.Classes = slices.Clone(p.Classes)
	out := Acting{&Version{Program: &p, Clusters: last.Clusters}, map[string]string{}}
	if rules.Effects == AloneCautious {
		p.Limits.MaxAttempts, p.Limits.SecondCopies = 1, false
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		safe := c.Effect == policy.Safe
		if rules.Effects == AloneCautious {
			c.Effect = policy.Unsafe
		}
		switch {
		case rules.Effects == AloneRefuse, rules.Lists == AloneRefuse, rules.Routes == AloneRefuse:
			out.Refused[c.Name] = "the node is cut off from the fleet"
		case !safe && (rules.Routes == AloneCautious || rules.Lists == AloneCautious):
			out.Refused[c.Name] = "the node is cut off from the fleet, and the class's routes or servers may have changed"
		}
	}
	if rules.Lists != AloneServeLast {
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
