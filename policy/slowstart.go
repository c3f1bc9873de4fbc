package policy

import (
	"time"

	"yokestall/internal/slowstart"
)

// Slow start: how much an endpoint that started lately may be sent, so that all nodes together do not
// overload it while it warms up. The mechanism and its reasons are those of package slowstart; here are its
// inputs. They are the time since an endpoint's start, and work in seconds of unloaded latency. The node's
// fixed rate rests on the work that endpoints got while most were warm. A node that started among warming
// endpoints has not seen that, and assumes minWarmWorkRate.
//
// An endpoint may be sent, by one node, either credit of slowstart.Budget, in terms of slowstart.Rules:
//
//	fixed   Rules.FixedRate(budgetShare * warmWorkRate / nodesPerEndpoint, capacityShare), per second
//	earned  Rules.GrowthFactor() * the work that it has answered to this node
//
// The fixed parts of all nodes add up to the share fixedRateSafety (package slowstart) of the overload rate,
// if each endpoint is in the subsets of nodesPerEndpoint nodes. That figure assumes subsets of this node's
// size at all nodes; the earned part needs no such assumption.

const (
	// minWarmWorkRate is the work per second that a warm endpoint is assumed to manage: one slow core.
	minWarmWorkRate = 0.5
	// warmMajority of the subset must be warm for the work that endpoints get to be learnt, as a fraction.
	warmMajorityNumerator, warmMajorityDenominator = 3, 4
)

// newSlowStartRules returns the rules of the budgets.
func newSlowStartRules(r *Rules) slowstart.Rules {
	return slowstart.Rules{
		MinCapacity: r.SlowStartMinCapacity, Window: r.SlowStartWindow,
		OverloadMultiple: r.OverloadMultiple, OverloadDuration: r.OverloadDuration,
	}
}

// capacityShare returns the least share of its warm capacity that an endpoint has at present, 0 to 1.
func (b *Balancer) capacityShare(e *endpoint, now time.Duration) float64 {
	return b.slowStartRules.CapacityShare(now, e.StartedAt)
}

// slowStartAllows reports whether the endpoint may be sent work, in seconds. A warm endpoint always may.
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

// updateWarmWorkRate learns the work per second that an endpoint gets, while most of the subset is warm.
// elapsed is the time since the last refresh, in seconds.
func (b *Balancer) updateWarmWorkRate(now time.Duration, warm int, elapsed float64) {
	if warmMajorityDenominator*warm < warmMajorityNumerator*len(b.subset.members) || len(b.ready) == 0 {
		return
	}
	rate := b.workRate.perSecond(now) * float64(b.settings.NodeCount) / float64(len(b.ready))
	b.warmWorkRate += (rate - b.warmWorkRate) * min(1, elapsed/outcomeMaxAge.Seconds())
}

// SetSlowStartShare sets the share of the node's slow-start budgets that this Balancer may use, 0 to 1;
// initially 1. It is less than 1 while another Balancer decides for the same node, as during a hot restart.
func (b *Balancer) SetSlowStartShare(share float64) { b.budgetShare = share }
