package policy

import (
	"time"

	"yokestall/internal/slowstart"
)

// Slow start bounds the work that is sent to an endpoint that started recently, so that all nodes together
// do not overload the endpoint while it warms up. Package slowstart explains and implements the mechanism;
// this file supplies its inputs: the time since an endpoint's start, and work in seconds of unloaded
// latency. The node's fixed rate is based on the work that endpoints got while most of them were warm. A
// node that started while most endpoints were warming has not seen such work and assumes minWarmWorkRate.
//
// A node may send an endpoint work if either credit of slowstart.Budget allows it. The credits accrue as
// follows, in terms of slowstart.Rules:
//
//	fixed   Rules.FixedRate(budgetShare * warmWorkRate / nodesPerEndpoint, capacityShare), per second
//	earned  Rules.GrowthFactor() * the work that the endpoint has completed for this node
//
// The fixed rates of all nodes add up to the share fixedRateSafety (package slowstart) of the overload rate
// if each endpoint is in the subsets of nodesPerEndpoint nodes. nodesPerEndpoint assumes that all nodes
// have subsets of the same size as this node; the earned credit needs no such assumption.

const (
	// minWarmWorkRate is the work per second that a warm endpoint is initially assumed to complete. It is the
	// rate of one slow core.
	minWarmWorkRate = 0.5
	// warmMajorityNumerator and warmMajorityDenominator are the fraction of the subset that must be warm for
	// warmWorkRate to be updated.
	warmMajorityNumerator, warmMajorityDenominator = 3, 4
)

// newSlowStartRules converts the slow-start settings to the rules of the budgets.
func newSlowStartRules(r *Rules) slowstart.Rules {
	return slowstart.Rules{
		MinCapacity: r.SlowStartMinCapacity, Window: r.SlowStartWindow,
		OverloadMultiple: r.OverloadMultiple, OverloadDuration: r.OverloadDuration,
	}
}

// capacityShare returns a lower bound of the endpoint's current capacity as a share of its warm capacity, 0
// to 1.
func (b *Balancer) capacityShare(e *endpoint, now time.Duration) float64 {
	return b.slowStartRules.CapacityShare(now, e.StartedAt)
}

// slowStartAllows reports whether slow start allows sending the endpoint work, in seconds. A warm endpoint
// may always be sent work.
func (b *Balancer) slowStartAllows(e *endpoint, now time.Duration, work float64) bool {
	share := b.capacityShare(e, now)
	if share >= 1 {
		return true
	}
	if !e.slowStart.Deferred() {
		e.slowStart.Defer(now, work*b.random.Float64())
	}
	rate := b.slowStartRules.FixedRate(b.budgetShare*b.warmWorkRate/b.subset.nodesPerEndpoint, share)
	return e.slowStart.Allows(&b.slowStartRules, now, rate, work, work*float64(len(e.inFlight)))
}

// updateWarmWorkRate updates the mean work per second that a warm endpoint gets. It does nothing unless
// most of the subset is warm. warm is the number of warm endpoints with a closed breaker in the subset;
// elapsed is the time since the last refresh, in seconds.
func (b *Balancer) updateWarmWorkRate(now time.Duration, warm int, elapsed float64) {
	if warmMajorityDenominator*warm < warmMajorityNumerator*len(b.subset.members) || len(b.ready) == 0 {
		return
	}
	rate := b.workRate.perSecond(now) * float64(b.settings.NodeCount) / float64(len(b.ready))
	b.warmWorkRate += (rate - b.warmWorkRate) * min(1, elapsed/outcomeMaxAge.Seconds())
}

// SetSlowStartShare sets the share of the node's slow-start budgets that this Balancer may use, 0 to 1. The
// initial share is 1. It is less than 1 while another Balancer decides for the same node, as during a hot
// restart.
func (b *Balancer) SetSlowStartShare(share float64) { b.budgetShare = share }
