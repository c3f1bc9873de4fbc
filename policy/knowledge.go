package policy

// What a Balancer hands on to the one that takes its place, so that a process that follows another
// does not begin blind. Nothing is decided here.

import (
	"math"
	"slices"
	"time"
)

// Snapshot is what a Balancer has found out. All of its times are ages or remaining times, as of
// when it was taken, but for ServerKnowledge.Started.
type Snapshot struct {
	Classes   []ClassSnapshot // as in Settings.Classes
	Endpoints []EndpointSnapshot
	Load      LoadSnapshot
}

// ClassSnapshot is what is known of a class of requests.
type ClassSnapshot struct {
	UnloadedLatency float64 `json:"Lone"`     // mean latency of a lone request, seconds
	UnloadedSamples float64 `json:"LoneSeen"` // answers that it rests on
	MeanLatency     float64 `json:"Work"`     // mean latency of all, seconds
	LatencySamples  float64 `json:"Seen"`
	MeanWorkHint    float64 `json:"Hint"` // mean hint, seconds
	WorkHintSamples float64 `json:"Hinted"`
}

// EndpointSnapshot is what is known of a server, in one of its starts.
type EndpointSnapshot struct {
	ID                  EndpointID       `json:"Server"`
	StartedAt           time.Duration    `json:"Started"`  // as in Entry; what is known belongs to this start
	BreakerOpen         bool             `json:"Open"`     // its breaker is not closed,
	ReopenIn            time.Duration    `json:"ReopenIn"` // and lets a trial through after this
	OpenDuration        time.Duration    `json:"OpenFor"`  // and for how long it was opened last
	ConsecutiveFailures int              `json:"Failures"` // consecutive ones
	RecentOutcomes      []OutcomeSummary `json:"Recent"`
	UnloadedInflation   float64          `json:"Lone"` // of latencies over their classes', as a logarithm
	UnloadedSamples     float64          `json:"LoneSeen"`
	SlowStartCredit     float64          `json:"ColdLeft"` // work that it may be sent while it is cold; seconds
}

// OutcomeSummary sums up outcomes of about one age.
type OutcomeSummary struct {
	Age         time.Duration `json:"Age"`
	Successes   int           `json:"Good"`
	Failures    int           `json:"Bad"`
	MeanLatency float64       `json:"Latency"` // mean of the good ones, as a multiple of a lone request's
}

// LoadSnapshot is what is known of the fleet's load.
type LoadSnapshot struct {
	ConcurrencyLimit float64 `json:"Limit"` // requests in flight a server
	LastGoodLimit    float64 `json:"LimitKnown"`
	Saturated        bool    `json:"Crowded"` // servers were crowded for the first time
	LatencyInflation float64 `json:"Crowding"`
	TypicalLatency   float64 `json:"Typical"`  // latency, seconds
	WarmThroughput   float64 `json:"WarmPart"` // work a second that a server bears
	ArrivalRate      float64 `json:"Arrivals"` // a second
	SendRate         float64 `json:"Sent"`
}

const (
	// recentStep is how much of an age is summed up.
	recentStep = time.Second
	// trustFor is the age at which a bound counts half.
	trustFor = 10 * time.Second
)

// Snapshot gives what is known now.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	k := Snapshot{Load: LoadSnapshot{
		ConcurrencyLimit: b.limit, LastGoodLimit: b.limitKnown, Saturated: b.crowded, LatencyInflation: b.crowding, TypicalLatency: b.typical,
		WarmThroughput: b.warmPart, ArrivalRate: b.arrivals.perSecond(now), SendRate: b.sent.perSecond(now),
	}}
	for i := range b.classes {
		c := &b.classes[i]
		k.Classes = append(k.Classes, ClassSnapshot{c.lone, c.loneSeen, c.work, c.seen, c.hint, c.hinted})
	}
	for _, s := range b.servers {
		if s.State == Removed {
			continue
		}
		e := EndpointSnapshot{
			ID: s.ID, StartedAt: s.StartedAt, BreakerOpen: s.breaker != closed, OpenDuration: s.openFor,
			ConsecutiveFailures: len(s.failures), UnloadedInflation: s.lone, UnloadedSamples: s.loneSeen, SlowStartCredit: s.cold.FixedCredit(),
		}
		if s.breaker == open {
			e.ReopenIn = max(0, s.reopenAt-now)
		}
		for i := range s.kept {
			o := s.outcome(i)
			age := (now - o.at).Truncate(recentStep)
			last := len(e.RecentOutcomes) - 1
			if last < 0 || e.RecentOutcomes[last].Age != age {
				e.RecentOutcomes = append(e.RecentOutcomes, OutcomeSummary{Age: age})
				last++
			}
			r := &e.RecentOutcomes[last]
			if o.ok {
				r.MeanLatency += (o.latency - r.MeanLatency) / float64(r.Successes+1)
				r.Successes++
			} else {
				r.Failures++
			}
		}
		k.Endpoints = append(k.Endpoints, e)
	}
	slices.SortFunc(k.Endpoints, func(x, y EndpointSnapshot) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return k
}

// Restore takes up what another Balancer of this node knew some time ago, before this one has
// decided anything. What is known here from own outcomes is not touched, nor is a server that has
// started since; a server that no list has named yet is left out. The older a bound, the less of
// it is taken; outcomes count by their age as own ones do. What is known of classes and bounds is
// known of the machines that served them: it counts by their share of the present ones, since those
// that have come in their place may be of another size.
func (b *Balancer) Restore(now time.Duration, k Snapshot, age time.Duration) {
	same := b.sameMachines(k.Endpoints)
	trust := math.Exp2(-age.Seconds()/trustFor.Seconds()) * same
	if len(k.Classes) == len(b.classes) {
		for i, c := range k.Classes {
			to := &b.classes[i]
			to.lone += (c.UnloadedLatency - to.lone) * same
			to.work += (c.MeanLatency - to.work) * same
			to.loneSeen, to.seen = max(1, c.UnloadedSamples*trust), max(1, c.LatencySamples*trust)
			to.hint, to.hinted = c.MeanWorkHint, c.WorkHintSamples*trust
		}
	}
	o := &k.Load
	b.limit += (o.ConcurrencyLimit - b.limit) * trust
	b.limitKnown = o.LastGoodLimit * trust
	b.crowded = o.Saturated
	b.crowding = o.LatencyInflation * trust
	b.typical += (o.TypicalLatency - b.typical) * trust
	b.warmPart += (o.WarmThroughput - b.warmPart) * trust
	b.arrivals = meter{now - age, o.ArrivalRate}
	b.sent = meter{now - age, o.SendRate}
	for _, e := range k.Endpoints {
		s := b.servers[e.ID]
		if s == nil || s.StartedAt != e.StartedAt || s.kept > 0 || len(s.out) > 0 {
			continue
		}
		for _, r := range e.RecentOutcomes {
			at := now - age - r.Age
			for range r.Successes {
				s.record(at, true, r.MeanLatency)
			}
			for range r.Failures {
				s.record(at, false, 0)
			}
		}
		for range min(e.ConsecutiveFailures, failuresMost) {
			s.failures = append(s.failures, now-age)
		}
		s.lone, s.loneSeen = e.UnloadedInflation, e.UnloadedSamples*trust
		if e.SlowStartCredit != 0 && b.coldShare(s, now) < 1 {
			s.cold.Defer(now, -min(e.SlowStartCredit, 0)) // what the other may still have sent is not known
		}
		if e.BreakerOpen {
			s.breaker, s.openFor = open, max(openFirst, min(e.OpenDuration, openMost))
			s.reopenAt = now + min(max(0, e.ReopenIn-age), s.openFor)
		}
	}
	b.shareStale, b.refreshed = true, -1
}

// sameMachines is the share of the listed servers that somebody else knew too; 1 while none is listed.
func (b *Balancer) sameMachines(known []EndpointSnapshot) float64 {
	knew := make(map[EndpointID]bool, len(known))
	for _, k := range known {
		knew[k.ID] = true
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

// SetSlowStartShare tells how much of what a node may send to cold servers this Balancer may: another one may
// decide for the same node meanwhile. 1: all of it.
func (b *Balancer) SetSlowStartShare(part float64) { b.part = part }
