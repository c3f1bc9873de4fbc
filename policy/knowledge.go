package policy

// What a Balancer hands on to the one that takes its place, so that a process that follows another
// does not begin blind. Nothing is decided here.

import (
	"math"
	"slices"
	"time"
)

// Knowledge is what a Balancer has found out. All of its times are ages or remaining times, as of
// when it was taken, but for ServerKnowledge.Started.
type Knowledge struct {
	Classes []ClassKnowledge // as in Settings.Classes
	Servers []ServerKnowledge
	Bounds  BoundKnowledge
}

// ClassKnowledge is what is known of a class of requests.
type ClassKnowledge struct {
	Lone     float64 `json:"Lone"`     // mean latency of a lone request, seconds
	LoneSeen float64 `json:"LoneSeen"` // answers that it rests on
	Work     float64 `json:"Work"`     // mean latency of all, seconds
	Seen     float64 `json:"Seen"`
	Hint     float64 `json:"Hint"` // mean hint, seconds
	Hinted   float64 `json:"Hinted"`
}

// ServerKnowledge is what is known of a server, in one of its starts.
type ServerKnowledge struct {
	Server   EndpointID          `json:"Server"`
	Started  time.Duration       `json:"Started"`  // as in Entry; what is known belongs to this start
	Open     bool                `json:"Open"`     // its breaker is not closed,
	ReopenIn time.Duration       `json:"ReopenIn"` // and lets a trial through after this
	OpenFor  time.Duration       `json:"OpenFor"`  // and for how long it was opened last
	Failures int                 `json:"Failures"` // consecutive ones
	Recent   []OutcomesKnowledge `json:"Recent"`
	Lone     float64             `json:"Lone"` // of latencies over their classes', as a logarithm
	LoneSeen float64             `json:"LoneSeen"`
	ColdLeft float64             `json:"ColdLeft"` // work that it may be sent while it is cold; seconds
}

// OutcomesKnowledge sums up outcomes of about one age.
type OutcomesKnowledge struct {
	Age     time.Duration `json:"Age"`
	Good    int           `json:"Good"`
	Bad     int           `json:"Bad"`
	Latency float64       `json:"Latency"` // mean of the good ones, as a multiple of a lone request's
}

// BoundKnowledge is what is known of the fleet's load.
type BoundKnowledge struct {
	Limit      float64 `json:"Limit"` // requests in flight a server
	LimitKnown float64 `json:"LimitKnown"`
	Crowded    bool    `json:"Crowded"` // servers were crowded for the first time
	Crowding   float64 `json:"Crowding"`
	Typical    float64 `json:"Typical"`  // latency, seconds
	WarmPart   float64 `json:"WarmPart"` // work a second that a server bears
	Arrivals   float64 `json:"Arrivals"` // a second
	Sent       float64 `json:"Sent"`
}

const (
	// recentStep is how much of an age is summed up.
	recentStep = time.Second
	// trustFor is the age at which a bound counts half.
	trustFor = 10 * time.Second
)

// Knowledge gives what is known now.
func (b *Balancer) Knowledge(now time.Duration) Knowledge {
	k := Knowledge{Bounds: BoundKnowledge{
		Limit: b.limit, LimitKnown: b.limitKnown, Crowded: b.crowded, Crowding: b.crowding, Typical: b.typical,
		WarmPart: b.warmPart, Arrivals: b.arrivals.perSecond(now), Sent: b.sent.perSecond(now),
	}}
	for i := range b.classes {
		c := &b.classes[i]
		k.Classes = append(k.Classes, ClassKnowledge{c.lone, c.loneSeen, c.work, c.seen, c.hint, c.hinted})
	}
	for _, s := range b.servers {
		if s.State == Removed {
			continue
		}
		e := ServerKnowledge{
			Server: s.ID, Started: s.StartedAt, Open: s.breaker != closed, OpenFor: s.openFor,
			Failures: len(s.failures), Lone: s.lone, LoneSeen: s.loneSeen, ColdLeft: s.cold.Left(),
		}
		if s.breaker == open {
			e.ReopenIn = max(0, s.reopenAt-now)
		}
		for i := range s.kept {
			o := s.outcome(i)
			age := (now - o.at).Truncate(recentStep)
			last := len(e.Recent) - 1
			if last < 0 || e.Recent[last].Age != age {
				e.Recent = append(e.Recent, OutcomesKnowledge{Age: age})
				last++
			}
			r := &e.Recent[last]
			if o.ok {
				r.Latency += (o.latency - r.Latency) / float64(r.Good+1)
				r.Good++
			} else {
				r.Bad++
			}
		}
		k.Servers = append(k.Servers, e)
	}
	slices.SortFunc(k.Servers, func(x, y ServerKnowledge) int {
		if x.Server < y.Server {
			return -1
		}
		return 1
	})
	return k
}

// Inherit takes up what another Balancer of this node knew some time ago, before this one has
// decided anything. What is known here from own outcomes is not touched, nor is a server that has
// started since; a server that no list has named yet is left out. The older a bound, the less of
// it is taken; outcomes count by their age as own ones do. What is known of classes and bounds is
// known of the machines that served them: it counts by their share of the present ones, since those
// that have come in their place may be of another size.
func (b *Balancer) Inherit(now time.Duration, k Knowledge, age time.Duration) {
	same := b.sameMachines(k.Servers)
	trust := math.Exp2(-age.Seconds()/trustFor.Seconds()) * same
	if len(k.Classes) == len(b.classes) {
		for i, c := range k.Classes {
			to := &b.classes[i]
			to.lone += (c.Lone - to.lone) * same
			to.work += (c.Work - to.work) * same
			to.loneSeen, to.seen = max(1, c.LoneSeen*trust), max(1, c.Seen*trust)
			to.hint, to.hinted = c.Hint, c.Hinted*trust
		}
	}
	o := &k.Bounds
	b.limit += (o.Limit - b.limit) * trust
	b.limitKnown = o.LimitKnown * trust
	b.crowded = o.Crowded
	b.crowding = o.Crowding * trust
	b.typical += (o.Typical - b.typical) * trust
	b.warmPart += (o.WarmPart - b.warmPart) * trust
	b.arrivals = meter{now - age, o.Arrivals}
	b.sent = meter{now - age, o.Sent}
	for _, e := range k.Servers {
		s := b.servers[e.Server]
		if s == nil || s.StartedAt != e.Started || s.kept > 0 || len(s.out) > 0 {
			continue
		}
		for _, r := range e.Recent {
			at := now - age - r.Age
			for range r.Good {
				s.record(at, true, r.Latency)
			}
			for range r.Bad {
				s.record(at, false, 0)
			}
		}
		for range min(e.Failures, failuresMost) {
			s.failures = append(s.failures, now-age)
		}
		s.lone, s.loneSeen = e.Lone, e.LoneSeen*trust
		if e.ColdLeft != 0 && b.coldShare(s, now) < 1 {
			s.cold.Owe(now, -min(e.ColdLeft, 0)) // what the other may still have sent is not known
		}
		if e.Open {
			s.breaker, s.openFor = open, max(openFirst, min(e.OpenFor, openMost))
			s.reopenAt = now + min(max(0, e.ReopenIn-age), s.openFor)
		}
	}
	b.shareStale, b.refreshed = true, -1
}

// sameMachines is the share of the listed servers that somebody else knew too; 1 while none is listed.
func (b *Balancer) sameMachines(known []ServerKnowledge) float64 {
	knew := make(map[EndpointID]bool, len(known))
	for _, k := range known {
		knew[k.Server] = true
	}
	listed, same := 0.0, 0.0
	for id, s := range b.servers {
		if s.State == Removed {
			continue
		}
		if listed++; knew[id] {
			same++
		}
	}
	if listed == 0 {
		return 1
	}
	return same / listed
}

// Part tells how much of what a node may send to cold servers this Balancer may: another one may
// decide for the same node meanwhile. 1: all of it.
func (b *Balancer) Part(part float64) { b.part = part }
