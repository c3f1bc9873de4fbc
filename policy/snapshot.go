package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A snapshot passes the learned state of a Balancer to its successor, in a hot restart or with a new
// configuration, so that the successor need not learn it anew. This file makes no decisions. The older a
// snapshot, the less its load counts (half at the age restoreHalfLife). Outcomes and breakers continue to
// age. The state of classes and of the load was learned on the endpoints in the snapshot, and new endpoints
// may have another size, so it counts by the share of the current endpoints that are in the snapshot.

const (
	// outcomeSummaryStep is the range of ages that one OutcomeSummary covers.
	outcomeSummaryStep = time.Second
	// restoreHalfLife is the age of a snapshot at which its load counts half.
	restoreHalfLife = 10 * time.Second
)

// Snapshot is the learned state of a Balancer. All times except EndpointSnapshot.StartedAt are ages or
// remaining times, relative to the time of the snapshot. The JSON names are part of a stored format.
type Snapshot struct {
	Classes   []ClassSnapshot // in the order of Settings.Classes
	Endpoints []EndpointSnapshot
	Load      LoadSnapshot
}

// ClassSnapshot is the learned state of a class of requests.
type ClassSnapshot struct {
	UnloadedLatency float64 `json:"Lone"`     // mean unloaded latency of a request of mean work, in seconds
	UnloadedSamples float64 `json:"LoneSeen"` // number of samples in UnloadedLatency
	QueueCost       float64 `json:"Work"`     // mean latency in seconds; 1 with Settings.WeightPerWork
	LatencySamples  float64 `json:"Seen"`     // number of answers in QueueCost
	MeanWorkHint    float64 `json:"Hint"`     // mean of Request.WorkHint, in seconds
	WorkHintSamples float64 `json:"Hinted"`   // number of samples in MeanWorkHint
}

// EndpointSnapshot is the learned state of an endpoint since its latest start.
type EndpointSnapshot struct {
	ID                  EndpointID       `json:"Server"`
	StartedAt           time.Duration    `json:"Started"`  // Endpoint.StartedAt at the time of the snapshot
	BreakerOpen         bool             `json:"Open"`     // the breaker is open or half-open
	HalfOpenIn          time.Duration    `json:"ReopenIn"` // time until an open breaker turns half-open
	OpenDuration        time.Duration    `json:"OpenFor"`  // duration of the current or next open period
	ConsecutiveFailures int              `json:"Failures"` // number of failures in the current run
	RecentOutcomes      []OutcomeSummary `json:"Recent"`   // oldest first
	UnloadedInflation   float64          `json:"Lone"`     // mean of ln(latency / class's unloaded latency)
	UnloadedSamples     float64          `json:"LoneSeen"` // number of samples in UnloadedInflation
	SlowStartCredit     float64          `json:"ColdLeft"` // work in seconds; negative for a debt
}

// OutcomeSummary summarizes the outcomes whose ages lie within one outcomeSummaryStep.
type OutcomeSummary struct {
	Age         time.Duration `json:"Age"` // rounded down to a multiple of outcomeSummaryStep
	Successes   int           `json:"Good"`
	Failures    int           `json:"Bad"`
	MeanLatency float64       `json:"Latency"` // mean of successes, as a multiple of the unloaded latency
}

// LoadSnapshot is the learned state of the load.
type LoadSnapshot struct {
	ConcurrencyLimit float64 `json:"Limit"`      // requests in flight per endpoint
	LastGoodLimit    float64 `json:"LimitKnown"` // requests in flight per endpoint; 0 means unknown
	Saturated        bool    `json:"Crowded"`    // endpoints were saturated at least once
	LatencyInflation float64 `json:"Crowding"`   // Balancer.latencyInflation, a logarithm
	TypicalLatency   float64 `json:"Typical"`    // seconds
	WarmWorkRate     float64 `json:"WarmPart"`   // work per second that a warm endpoint got
	ArrivalRate      float64 `json:"Arrivals"`   // requests per second
	WorkRate         float64 `json:"Sent"`       // work per second
}

// Snapshot returns the learned state of the Balancer.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Load: LoadSnapshot{
		ConcurrencyLimit: b.concurrency.limit, LastGoodLimit: b.concurrency.lastGood,
		Saturated: b.concurrency.saturated, LatencyInflation: b.latencyInflation,
		TypicalLatency: b.typicalLatency, WarmWorkRate: b.warmWorkRate,
		ArrivalRate: b.subset.arrivals.perSecond(now), WorkRate: b.workRate.perSecond(now),
	}}
	for i := range b.classes {
		c := &b.classes[i]
		s.Classes = append(s.Classes, ClassSnapshot{
			UnloadedLatency: c.unloadedLatency, UnloadedSamples: c.unloadedSamples,
			QueueCost: c.queueCost, LatencySamples: c.latencySamples,
			MeanWorkHint: c.meanWorkHint, WorkHintSamples: c.workHintSamples,
		})
	}
	for _, e := range b.endpoints {
		if e.State != Removed {
			s.Endpoints = append(s.Endpoints, e.snapshot(now))
		}
	}
	slices.SortFunc(s.Endpoints, func(x, y EndpointSnapshot) int { return cmp.Compare(x.ID, y.ID) })
	return s
}

// snapshot returns the learned state of the endpoint.
func (e *endpoint) snapshot(now time.Duration) EndpointSnapshot {
	s := EndpointSnapshot{
		ID: e.ID, StartedAt: e.StartedAt,
		BreakerOpen: e.breaker.state != breakerClosed, OpenDuration: e.breaker.openDuration,
		ConsecutiveFailures: len(e.breaker.failures), RecentOutcomes: e.outcomes.summaries(now),
		UnloadedInflation: e.unloadedInflation, UnloadedSamples: e.unloadedSamples,
		SlowStartCredit: e.slowStart.FixedCredit(),
	}
	if e.breaker.state == breakerOpen {
		s.HalfOpenIn = max(0, e.breaker.halfOpenAt-now)
	}
	return s
}

// summaries returns the outcomes summarized by age, oldest first.
func (w *outcomeWindow) summaries(now time.Duration) []OutcomeSummary {
	var all []OutcomeSummary
	for i := range w.count {
		o := w.at(i)
		age := (now - o.at).Truncate(outcomeSummaryStep)
		if len(all) == 0 || all[len(all)-1].Age != age {
			all = append(all, OutcomeSummary{Age: age})
		}
		s := &all[len(all)-1]
		if o.success {
			s.MeanLatency += (o.latency - s.MeanLatency) / float64(s.Successes+1)
			s.Successes++
		} else {
			s.Failures++
		}
	}
	return all
}

// Restore adopts the learned state of another Balancer of this node. s is its snapshot, and age is the time
// since the snapshot was taken. Restore should be called before this Balancer handles its first request. It
// skips the endpoints of which this Balancer has outcomes or attempts in flight, those that have restarted
// since, and those that are not in the endpoint list.
func (b *Balancer) Restore(now time.Duration, s Snapshot, age time.Duration) {
	known := b.knownShare(s.Endpoints)
	weight := math.Exp2(-age.Seconds()/restoreHalfLife.Seconds()) * known
	if len(s.Classes) == len(b.classes) {
		for i := range s.Classes {
			b.classes[i].restore(&s.Classes[i], known, weight)
		}
	}
	b.restoreLoad(now-age, &s.Load, weight)
	b.typicalSamples = s.answerSamples() * weight
	for i := range s.Endpoints {
		b.restoreEndpoint(now, &s.Endpoints[i], age, weight)
	}
	b.subset.stale, b.health.refreshedAt = true, notRefreshed
}

// answerSamples returns the number of answers in LoadSnapshot.TypicalLatency.
func (s *Snapshot) answerSamples() (samples float64) {
	for i := range s.Classes {
		samples += max(0, s.Classes[i].LatencySamples-1) // without the initial estimate
	}
	return min(samples, maxTypicalSamples)
}

// restore adopts a class's estimates. known is the share of the current endpoints that are in the snapshot;
// weight is that share, reduced by the snapshot's age.
func (c *class) restore(s *ClassSnapshot, known, weight float64) {
	c.unloadedLatency += (s.UnloadedLatency - c.unloadedLatency) * known
	c.queueCost += (s.QueueCost - c.queueCost) * known
	c.unloadedSamples, c.latencySamples = max(1, s.UnloadedSamples*weight), max(1, s.LatencySamples*weight)
	c.meanWorkHint, c.workHintSamples = s.MeanWorkHint, s.WorkHintSamples*weight
}

// restoreLoad adopts the load as of takenAt, with the given weight from 0 to 1.
func (b *Balancer) restoreLoad(takenAt time.Duration, s *LoadSnapshot, weight float64) {
	b.concurrency.limit += (s.ConcurrencyLimit - b.concurrency.limit) * weight
	b.concurrency.lastGood = s.LastGoodLimit * weight
	b.concurrency.saturated = s.Saturated
	b.latencyInflation = s.LatencyInflation * weight
	b.typicalLatency += (s.TypicalLatency - b.typicalLatency) * weight
	b.warmWorkRate += (s.WarmWorkRate - b.warmWorkRate) * weight
	b.subset.arrivals = decayingRate{takenAt, s.ArrivalRate}
	b.workRate = decayingRate{takenAt, s.WorkRate}
}

// restoreEndpoint adopts the learned state of an endpoint. The given share of the samples of its unloaded
// inflation counts, 0 to 1.
func (b *Balancer) restoreEndpoint(now time.Duration, s *EndpointSnapshot, age time.Duration, share float64) {
	e := b.endpoints[s.ID]
	if e == nil || s.StartedAt != e.StartedAt || e.outcomes.count > 0 || len(e.inFlight) > 0 {
		return
	}
	for _, o := range s.RecentOutcomes {
		e.outcomes.restore(now-age-o.Age, o)
	}
	for range min(s.ConsecutiveFailures, maxBaselineRun) {
		e.breaker.failures = append(e.breaker.failures, now-age)
	}
	e.unloadedInflation, e.unloadedSamples = s.UnloadedInflation, s.UnloadedSamples*share
	if s.SlowStartCredit != 0 && b.capacityShare(e, now) < 1 {
		// Only a debt is restored, since the other Balancer may have used up a credit after the snapshot.
		e.slowStart.Defer(now, -min(s.SlowStartCredit, 0))
	}
	if s.BreakerOpen {
		c := &e.breaker
		c.state, c.openDuration = breakerOpen, max(minOpenDuration, min(s.OpenDuration, maxOpenDuration))
		c.halfOpenAt = now + min(max(0, s.HalfOpenIn-age), c.openDuration)
	}
}

// restore records the outcomes of a summary with the given time.
func (w *outcomeWindow) restore(at time.Duration, s OutcomeSummary) {
	for range s.Successes {
		w.record(at, true, s.MeanLatency)
	}
	for range s.Failures {
		w.record(at, false, 0)
	}
}

// knownShare returns the share of the listed endpoints that are in a snapshot, or 1 if none is listed.
func (b *Balancer) knownShare(snapshots []EndpointSnapshot) float64 {
	ids := make(map[EndpointID]bool, len(snapshots))
	for i := range snapshots {
		ids[snapshots[i].ID] = true
	}
	listed, known := 0.0, 0.0
	for id, e := range b.endpoints {
		if e.State == Removed {
			continue
		}
		if listed++; ids[id] {
			known++
		}
	}
	if listed == 0 {
		return 1
	}
	return known / listed
}
