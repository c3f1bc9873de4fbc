// Package priority divides a cluster's requests among its priorities by the health of
// each, as Envoy's priority levels do, with one difference: a server that has just
// started counts with what it can bear already and not as a whole one. So a room that
// comes back takes its load over as it warms up, and is not pushed over by all of it at
// once. The package is pure: time is passed in.
//
// A tier is the healthy or the degraded part of a priority. Which server of a tier gets
// a request is decided elsewhere (package policy).
package priority

import (
	"slices"
	"sync/atomic"
	"time"

	"yokestall/internal/cluster"
)

const (
	// overprovision is Envoy's default overprovisioning factor (endpoint.v3
	// ClusterLoadAssignment.Policy.overprovisioning_factor, 140).
	overprovision = 1.4
	// refresh is how long shares that change with time are used before they are
	// calculated again. A server warms up over seconds.
	refresh = 50 * time.Millisecond
)

// Rules say how a server warms up (policy.Rules).
type Rules struct {
	ColdFrom float64       // it starts with this share of its capacity, 0 to 1
	ColdFor  time.Duration // and has all of it after this
}

// Key names a tier.
type Key struct {
	Priority int
	Degraded bool
}

// Tier is a part of a cluster.
type Tier struct {
	Key
	// Cluster holds the tier's endpoints. Those that may not be sent to stand in the
	// healthy part of their priority, so that whoever follows it sees them drain.
	Cluster *cluster.Config

	total  int             // endpoints of the priority, of any health
	warm   int             // those of this tier that are warm for good
	starts []time.Duration // of the others, since the epoch, the earliest first
}

// Plan is what a version of a cluster says about its tiers. It is not changed once it is
// made and safe for concurrent use.
type Plan struct {
	Tiers  []Tier // in order of preference: the healthy parts by priority, then the degraded
	factor float64
	rules  Rules
	last   atomic.Pointer[shares]
}

type shares struct {
	at   time.Duration
	list []float64
}

// New makes the plan of a cluster whose endpoints are sorted, as cluster.Check leaves
// them. A cluster with no endpoints has one tier.
func New(c *cluster.Config, rules Rules) *Plan {
	p := &Plan{factor: c.OverprovisioningFactor, rules: rules}
	if p.factor == 0 {
		p.factor = overprovision
	}
	at := map[Key]*Tier{}
	total := map[int]int{}
	tier := func(k Key) *Tier {
		if at[k] == nil {
			sub := *c
			sub.Endpoints = nil
			at[k] = &Tier{Key: k, Cluster: &sub}
		}
		return at[k]
	}
	whole := true
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		whole = whole && e.Priority == 0 && e.Health != cluster.Degraded
	}
	if whole { // the usual cluster: nothing is copied
		p.Tiers = []Tier{{Cluster: c, total: len(c.Endpoints)}}
		p.Tiers[0].count(c.Endpoints, rules)
		return p
	}
	for _, e := range c.Endpoints {
		t := tier(Key{e.Priority, e.Health == cluster.Degraded})
		total[e.Priority]++
		t.Cluster.Endpoints = append(t.Cluster.Endpoints, e)
	}
	for k, t := range at {
		t.total = total[k.Priority]
		t.count(t.Cluster.Endpoints, rules)
		p.Tiers = append(p.Tiers, *t)
	}
	slices.SortFunc(p.Tiers, func(a, b Tier) int {
		if a.Degraded != b.Degraded {
			if b.Degraded {
				return -1
			}
			return 1
		}
		return a.Priority - b.Priority
	})
	return p
}

func (t *Tier) count(list []cluster.Endpoint, rules Rules) {
	for i := range list {
		switch e := &list[i]; {
		case !e.Serves():
		case e.StartedMs == 0 || rules.ColdFor <= 0:
			t.warm++
		default:
			t.starts = append(t.starts, time.Duration(e.StartedMs)*time.Millisecond)
		}
	}
	slices.Sort(t.starts)
}

// capacity gives what the tier bears, in warm servers.
func (t *Tier) capacity(now time.Duration, rules Rules) float64 {
	sum := float64(t.warm)
	for i, start := range t.starts {
		age := max(0, now-start)
		if age < rules.ColdFor {
			rest := t.starts[i:] // all of these are cold
			for _, start := range rest {
				part := float64(max(0, now-start)) / float64(rules.ColdFor)
				sum += rules.ColdFrom + (1-rules.ColdFrom)*part
			}
			break
		}
		sum++
	}
	return sum
}

// Shares gives the part of the requests that each tier is to get, which add up to 1, or
// nil where no tier can serve any. now counts from the Unix epoch.
//
// As in Envoy (priority levels, degraded endpoints): a priority bears its healthy part
// times the overprovisioning factor, 1 at most; what one leaves the next takes; where all
// together bear less than 1, each takes more than it bears, in proportion.
func (p *Plan) Shares(now time.Duration) []float64 {
	if s := p.last.Load(); s != nil && now >= s.at && now-s.at < refresh {
		return s.list
	}
	bears := make([]float64, len(p.Tiers))
	sum := 0.0
	for i := range p.Tiers {
		t := &p.Tiers[i]
		if t.total > 0 {
			bears[i] = min(1, p.factor*t.capacity(now, p.rules)/float64(t.total))
		}
		sum += bears[i]
	}
	list := make([]float64, len(p.Tiers))
	if sum <= 0 {
		list = nil
	}
	left := 1.0
	for i := range list {
		list[i] = min(left, bears[i]/min(1, sum))
		left -= list[i]
	}
	p.last.Store(&shares{now, list})
	return list
}

// Pick gives the tier of a request; draw is evenly spread from 0 to below 1. Where none
// can serve it is the first, whose refusal tells when to come back.
func (p *Plan) Pick(now time.Duration, draw float64) int {
	if len(p.Tiers) == 1 {
		return 0
	}
	best := 0
	for i, share := range p.Shares(now) {
		if share > 0 {
			if best = i; draw < share {
				break
			}
			draw -= share
		}
	}
	return best
}
