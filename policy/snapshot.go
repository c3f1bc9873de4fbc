package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Snapshots: what a Balancer passes to the one that takes its place, in a hot restart or with a new
// configuration, so that it need not learn anew. Nothing is decided here. The older a snapshot, the less of
// its load counts (half at restoreHalfLife); outcomes and breakers go on with their ages. What is known of
// classes and of the load was learnt on certain machines and counts by their share of the present endpoints,
// since new ones may be of another size.

const (
	// outcomeSummaryStep is the range of ages that one OutcomeSummary covers.
	outcomeSummaryStep = time.Second
	// restoreHalfLife is the age of a snapshot at which its load counts half.
	restoreHalfLife = 10 * time.Second
)

// Snapshot is what a Balancer has learnt. Its times are ages or remaining times as of when it was taken,
// except EndpointSnapshot.StartedAt. The JSON names are a stored form.
type Snapshot struct {
	Classes   []ClassSnapshot // as in Settings.Classes
	Endpoints []EndpointSnapshot
	Load      LoadSnapshot
}

// ClassSnapshot is what was learnt of a class of requests.
type ClassSnapshot struct {
	UnloadedLatency float64 `json:"Lone"`     // mean for a request of mean work on an idle endpoint, seconds
	UnloadedSamples float64 `json:"LoneSeen"` // answers that it rests on
	QueueCost       float64 `json:"Work"`     // mean latency, seconds; 1 with Settings.WeightPerWork
	LatencySamples  float64 `json:"Seen"`     // answers that QueueCost rests on
	MeanWorkHint    float64 `json:"Hint"`     // seconds
	WorkHintSamples float64 `json:"Hinted"`
}

// EndpointSnapshot is what was learnt of an endpoint, in one of its starts.
type EndpointSnapshot struct {
	ID                  EndpointID       `json:"Server"`
	StartedAt           time.Duration    `json:"Started"`  // as in Endpoint: the start that this belongs to
	BreakerOpen         bool             `json:"Open"`     // its breaker is open or half-open
	HalfOpenIn          time.Duration    `json:"ReopenIn"` // until an open breaker turns half-open
	OpenDuration        time.Duration    `json:"OpenFor"`  // of the present or the next opening
	ConsecutiveFailures int              `json:"Failures"`
	RecentOutcomes      []OutcomeSummary `json:"Recent"`   // the oldest first
	UnloadedInflation   float64          `json:"Lone"`     // mean logarithm of the latency over its class's
	UnloadedSamples     float64          `json:"LoneSeen"` // answers that it rests on
	SlowStartCredit     float64          `json:"ColdLeft"` // work in seconds; negative: a debt
}

// OutcomeSummary sums up the outcomes of about one age.
type OutcomeSummary struct {
	Age         time.Duration `json:"Age"`
	Successes   int           `json:"Good"`
	Failures    int           `json:"Bad"`
	MeanLatency float64       `json:"Latency"` // of the successes, as a multiple of the unloaded latency
}

// LoadSnapshot is what was learnt of the load.
type LoadSnapshot struct {
	ConcurrencyLimit float64 `json:"Limit"` // requests in flight per endpoint
	LastGoodLimit    float64 `json:"LimitKnown"`
	Saturated        bool    `json:"Crowded"`  // endpoints were saturated at least once
	LatencyInflation float64 `json:"Crowding"` // logarithm of the latency over the unloaded latency
	TypicalLatency   float64 `json:"Typical"`  // seconds
	WarmWorkRate     float64 `json:"WarmPart"` // work per second that a warm endpoint got
	ArrivalRate      float64 `json:"Arrivals"` // requests per second
	WorkRate         float64 `json:"Sent"`     // work per second
}

// Snapshot returns what the Balancer has learnt.
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

// snapshot returns what was learnt of the endpoint.
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

// summaries sums the outcomes up by age, the oldest first.
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

// Restore takes over what another Balancer of this node had learnt, age ago, before this one has decided
// anything. Not restored are endpoints of which this one has outcomes or attempts of its own, that have
// restarted since, or that no endpoint list has named yet.
func (b *Balancer) Restore(now time.Duration, s Snapshot, age time.Duration) {
	known := b.knownShare(s.Endpoints)
	trust := math.Exp2(-age.Seconds()/restoreHalfLife.Seconds()) * known
	if len(s.Classes) == len(b.classes) {
		for i := range s.Classes {
			b.classes[i].restore(&s.Classes[i], known, trust)
		}
	}
	b.restoreLoad(now-age, &s.Load, trust)
	for i := range s.Endpoints {
		b.restoreEndpoint(now, &s.Endpoints[i], age, trust)
	}
	b.subset.stale, b.health.refreshedAt = true, notRefreshed
}

// restore takes over a class's estimates. known is the share of the present endpoints that they were learnt
// on; trust is that share, lessened by the snapshot's age.
func (c *class) restore(s *ClassSnapshot, known, trust float64) {
	c.unloadedLatency += (s.UnloadedLatency - c.unloadedLatency) * known
	c.queueCost += (s.QueueCost - c.queueCost) * known
	c.unloadedSamples, c.latencySamples = max(1, s.UnloadedSamples*trust), max(1, s.LatencySamples*trust)
	c.meanWorkHint, c.workHintSamples = s.MeanWorkHint, s.WorkHintSamples*trust
}

// restoreLoad takes over the load as of takenAt.
func (b *Balancer) restoreLoad(takenAt time.Duration, s *LoadSnapshot, trust float64) {
	b.concurrency.limit += (s.ConcurrencyLimit - b.concurrency.limit) * trust
	b.concurrency.lastGood = s.LastGoodLimit * trust
	b.concurrency.saturated = s.Saturated
	b.latencyInflation = s.LatencyInflation * trust
	b.typicalLatency += (s.TypicalLatency - b.typicalLatency) * trust
	b.warmWorkRate += (s.WarmWorkRate - b.warmWorkRate) * trust
	b.subset.arrivals = decayingRate{takenAt, s.ArrivalRate}
	b.workRate = decayingRate{takenAt, s.WorkRate}
}

// restoreEndpoint takes over what was learnt of an endpoint.
func (b *Balancer) restoreEndpoint(now time.Duration, s *EndpointSnapshot, age time.Duration, trust float64) {
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
	e.unloadedInflation, e.unloadedSamples = s.UnloadedInflation, s.UnloadedSamples*trust
	if s.SlowStartCredit != 0 && b.capacityShare(e, now) < 1 {
		// A credit is not restored: the other Balancer may have used it since.
		e.slowStart.Defer(now, -min(s.SlowStartCredit, 0))
	}
	if s.BreakerOpen {
		c := &e.breaker
		c.state, c.openDuration = breakerOpen, max(minOpenDuration, min(s.OpenDuration, maxOpenDuration))
		c.halfOpenAt = now + min(max(0, s.HalfOpenIn-age), c.openDuration)
	}
}

// restore records the outcomes of a summary as of the given time.
func (w *outcomeWindow) restore(at time.Duration, s OutcomeSummary) {
	for range s.Successes {
		w.record(at, true, s.MeanLatency)
	}
	for range s.Failures {
		w.record(at, false, 0)
	}
}

// knownShare returns the share of the listed endpoints that a snapshot knows; 1 while none is listed.
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
