// Package slowstart bounds the work that a node sends to an endpoint that started recently, so that all
// nodes together do not overload the endpoint while it warms up. The package has no clock: times are passed
// in. Work is measured in seconds of unloaded latency on a warm endpoint, so a rate of work is the mean
// number of requests in progress.
//
// The capacity of a warming endpoint is not announced, but a node can derive two bounds for it. The first
// is based on the work that endpoints completed while they were warm: a warming endpoint can complete a
// share of it that grows with the endpoint's age. The second is based on the work that the endpoint itself
// has completed. A node may send work that either bound allows. The first bound is divided among the nodes,
// as a fixed rate for each. The second bound needs no division, since the work completed for each node adds
// up to all the work that the endpoint has completed. If each node sends at most GrowthFactor times the
// work completed for it, all nodes together send at most GrowthFactor times the endpoint's capacity,
// however unevenly the traffic is spread.
package slowstart

import "time"

const (
	// fixedRateSafety is the share of the overload rate to which the fixed rates of all nodes add up.
	fixedRateSafety = 0.8
	// creditShare is the share of Rules.OverloadDuration for which unused credit accumulates.
	creditShare = 1.0 / 4
	// growthDivisor divides the margin between capacity and overload; GrowthFactor uses one part of it. The
	// other parts are left for work in flight that has not been answered yet.
	growthDivisor = 4
	// minOverloadSeconds is the lower bound of the overload duration where it is a divisor, in seconds.
	minOverloadSeconds = 1e-3
)

// Rules describe how an endpoint warms up and when it is overloaded.
type Rules struct {
	MinCapacity      float64       // lowest capacity at the start, as a share of the warm capacity, 0 to 1
	Window           time.Duration // age from which an endpoint is warm
	OverloadMultiple float64       // multiple of its current capacity that overloads a warming endpoint
	OverloadDuration time.Duration // time after which work sent at OverloadMultiple times the capacity overloads an endpoint
}

// CapacityShare returns a lower bound of the endpoint's current capacity as a share of its warm capacity, 0
// to 1. An endpoint whose start is unknown (startedAt is 0) counts as warm.
func (r *Rules) CapacityShare(now, startedAt time.Duration) float64 {
	age := now - startedAt
	if startedAt <= 0 || age >= r.Window {
		return 1
	}
	return r.MinCapacity + (1-r.MinCapacity)*max(0, age).Seconds()/r.Window.Seconds()
}

// GrowthFactor returns the work that may be sent for each unit of completed work; at least 1.
func (r *Rules) GrowthFactor() float64 { return max(1, 1+(r.OverloadMultiple-1)/growthDivisor) }

// FixedRate returns the work per second that a node may send whether or not the endpoint has completed any
// work for the node. warmWorkRate is the node's part of the work per second that a warm endpoint completes;
// share is the endpoint's CapacityShare.
func (r *Rules) FixedRate(warmWorkRate, share float64) float64 {
	return warmWorkRate * r.OverloadMultiple * share * fixedRateSafety
}

// overloadSeconds returns OverloadDuration in seconds, at least minOverloadSeconds, for use as a divisor.
func (r *Rules) overloadSeconds() float64 {
	return max(r.OverloadDuration.Seconds(), minOverloadSeconds)
}

// Budget bounds the work that one node sends to one endpoint after one of its starts. The zero value is the
// budget of an endpoint that was not sent any work yet. All credits are work in seconds.
type Budget struct {
	deferred       bool          // Defer was called
	creditedAt     time.Duration // time up to which fixedCredit was accrued
	fixedCredit    float64       // credit from the fixed rate; negative for a debt
	maxFixedCredit float64       // upper bound of fixedCredit; RecordSent limits a debt to it plus the work just sent
	earnedCredit   float64       // credit from completed work; at least 0
	completedRate  float64       // completed work per second, as of completedAt
	completedAt    time.Duration // time of the last completed work
}

// Defer starts the budget with a debt of work, in seconds. The nodes choose different random debts, so that
// their first requests do not all arrive as soon as the endpoint is announced.
func (b *Budget) Defer(now time.Duration, work float64) {
	b.deferred, b.creditedAt, b.fixedCredit = true, now, -work
}

// Deferred reports whether Defer was called.
func (b *Budget) Deferred() bool { return b.deferred }

// FixedCredit returns the credit from the fixed rate, in seconds of work. It is negative for a debt.
func (b *Budget) FixedCredit() float64 { return b.fixedCredit }

// Allows reports whether the given work, in seconds, may be sent now. fixedRate is the result of
// Rules.FixedRate; inFlight is the work that this node has in flight at the endpoint. Since an endpoint may
// be slower than other endpoints, the fixed credit counts only while the work in flight is at most the
// given work plus half of (OverloadMultiple - 1) times the work that the endpoint completes in
// OverloadDuration at its recent rate.
func (b *Budget) Allows(r *Rules, now time.Duration, fixedRate, work, inFlight float64) bool {
	b.maxFixedCredit = fixedRate * r.OverloadDuration.Seconds() * creditShare
	b.fixedCredit = min(b.fixedCredit+fixedRate*(now-b.creditedAt).Seconds(), b.maxFixedCredit)
	b.creditedAt = now
	if b.earnedCredit >= work {
		return true
	}
	return b.fixedCredit > 0 &&
		inFlight <= work+max(0, r.OverloadMultiple-1)/2*b.recentRate(r, now)*r.OverloadDuration.Seconds()
}

// recentRate returns the recently completed work per second. It decays with the overload duration as time
// constant.
func (b *Budget) recentRate(r *Rules, now time.Duration) float64 {
	elapsed := (now - b.completedAt).Seconds() / r.overloadSeconds()
	return b.completedRate / (1 + elapsed + elapsed*elapsed/2)
}

// RecordSent charges work that was sent to both credits. The debt of the fixed credit is bounded; the
// earned credit does not go below 0.
func (b *Budget) RecordSent(work float64) {
	b.fixedCredit = max(b.fixedCredit-work, -b.maxFixedCredit-work)
	b.earnedCredit = max(b.earnedCredit-work, 0)
}

// RecordCompleted credits work that the endpoint completed for this node. The earned credit is bounded by the
// recently completed work.
func (b *Budget) RecordCompleted(r *Rules, now time.Duration, work float64) {
	span := r.overloadSeconds()
	b.completedRate = b.recentRate(r, now) + work/span
	b.completedAt = now
	b.earnedCredit = min(b.earnedCredit+r.GrowthFactor()*work,
		max(2*work, r.GrowthFactor()*b.completedRate*span*creditShare))
}
