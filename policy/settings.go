package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"yokestall/internal/slowstart"
)

// Defaults gives the settings that hold where a site says nothing: no repeats
// beyond the first attempt, no copies, no cancels, and the strictest known
// figures for drains and cold servers.
func Defaults() Settings {
	return Settings{
		NodeCount:       1,
		OverQuotaWeight: 1,
		Tick:            10 * time.Millisecond,
		Limits:          Limits{MaxAttempts: 1},
		Rules: Rules{
			SlowStartMinCapacity: 0.1, SlowStartWindow: 30 * time.Second,
			OverloadMultiple: 2, OverloadDuration: time.Second,
			MaxPollInterval: 10 * time.Second,
		},
	}
}

// New makes a Balancer. An impossible setting gives an error that names it.
func New(set Settings, seed uint64, host Host) (*Balancer, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	quotas := set.Quotas
	if quotas == nil {
		var err error
		if quotas, err = NewQuotas(set.Tenants, set.NodeCount); err != nil {
			return nil, err
		}
	}
	b := &Balancer{
		set: set, host: host, rng: rand.New(rand.NewPCG(seed, 0)), quotas: quotas,
		servers: map[EndpointID]*server{}, requests: map[RequestID]*request{},
		meanSuccess: 1, meanLatency: 1, refreshed: -1, watchDelay: watchAgain, sweepAt: never,
		limit: float64(min(3, set.NodeCount)), sharers: float64(set.NodeCount), warmPart: leastPart, part: 1, again: 1,
	}
	b.warming = slowstart.Rules{MinCapacity: set.Rules.SlowStartMinCapacity, Window: set.Rules.SlowStartWindow, OverloadMultiple: set.Rules.OverloadMultiple, OverloadDuration: set.Rules.OverloadDuration}
	b.set.Limits.MaxAttempts = min(set.Limits.MaxAttempts, 16) // whatever the settings allow
	for _, c := range set.Classes {
		if c.LatencyObjective == 0 {
			c.LatencyObjective = c.Deadline
		}
		b.classes = append(b.classes, class{
			Class: c, lone: c.LatencyObjective.Seconds() / 4, loneSeen: 1, work: c.LatencyObjective.Seconds() / 4, seen: 1,
		})
	}
	for i := range b.classes {
		if set.WeightPerWork {
			b.classes[i].work = 1
		}
	}
	b.typical = b.classes[0].lone
	return b, nil
}

// impossible is the error of a setting that makes no sense.
func impossible(field string, v any) error {
	return fmt.Errorf("policy: setting %s is impossible: %v", field, v)
}

// finiteFrom tells whether a number is finite and not below least; NaN is not.
func finiteFrom(v, least float64) bool { return v >= least && !math.IsInf(v, 1) }

// Check returns an error that names the first impossible field. Tenants are checked by NewQuotas.
func (s *Settings) Check() error {
	bad, number := impossible, finiteFrom
	switch {
	case s.NodeCount < 1:
		return bad("Nodes", s.NodeCount)
	case s.NodeIndex < 0:
		return bad("Node", s.NodeIndex)
	case s.Zone < 0:
		return bad("Zone", s.Zone)
	case len(s.Classes) == 0:
		return bad("Classes", "none given")
	case !number(s.OverQuotaWeight, 0):
		return bad("OverShareWorth", s.OverQuotaWeight)
	case s.Limits.MaxAttempts < 1:
		return bad("Limits.MaxAttempts", s.Limits.MaxAttempts)
	case s.Limits.MaxRetryAfter < 0:
		return bad("Limits.MaxRetryAfter", s.Limits.MaxRetryAfter)
	case !number(s.Rules.SlowStartMinCapacity, 0) || s.Rules.SlowStartMinCapacity > 1:
		return bad("Rules.ColdFrom", s.Rules.SlowStartMinCapacity)
	case s.Rules.SlowStartWindow < 0:
		return bad("Rules.ColdFor", s.Rules.SlowStartWindow)
	case !number(s.Rules.OverloadMultiple, 0):
		return bad("Rules.FallMultiple", s.Rules.OverloadMultiple)
	case s.Rules.OverloadDuration < 0:
		return bad("Rules.FallFor", s.Rules.OverloadDuration)
	case !number(s.Costs.NewConnection, 0):
		return bad("Prices.Handshake", s.Costs.NewConnection)
	case !number(s.Costs.WastedWork, 0):
		return bad("Prices.Waste", s.Costs.WastedWork)
	case s.Tick < 0:
		return bad("Tick", s.Tick)
	case s.Rules.AnswerGrace < 0:
		return bad("Rules.AnswerGrace", s.Rules.AnswerGrace)
	case s.Rules.MaxPollInterval < 0:
		return bad("Rules.MustAsk", s.Rules.MaxPollInterval)
	}
	for i, c := range s.Classes {
		field := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		switch {
		case c.Deadline <= 0:
			return bad(field("Deadline"), c.Deadline)
		case c.LatencyObjective < 0:
			return bad(field("Aim"), c.LatencyObjective)
		case !number(c.ObjectiveWorkFactor, 0):
			return bad(field("AimStretch"), c.ObjectiveWorkFactor)
		case !number(c.LateWeight, 0) || c.LateWeight > 1:
			return bad(field("LateWorth"), c.LateWeight)
		case !number(c.PriorityWeight, 0):
			return bad(field("Worth"), c.PriorityWeight)
		case c.Idempotency > NotIdempotent:
			return bad(field("Effect"), c.Idempotency)
		case c.DedupScope > ScopeCell:
			return bad(field("Scope"), c.DedupScope)
		case c.DedupWindow < 0:
			return bad(field("Window"), c.DedupWindow)
		}
	}
	return nil
}
