// Package slowstart bounds the work that a node sends to an endpoint that started lately, so that all nodes
// together do not overload it while it warms up. It is pure: time is passed in. Work is measured in seconds
// of unloaded latency on a warm endpoint, so a rate of work is the number of requests in progress.
//
// The capacity of a warming endpoint is not announced. Two things are known of it: the work that endpoints
// completed while they were warm, of which it manages a share that grows with its age, and the work that it
// has completed itself. A node may send by either. The first is divided among the nodes as a fixed rate. The
// second needs no division: the completed work of all nodes adds up to what the endpoint has done, so if each
// node sends at most GrowthFactor times the work completed for it, all nodes together send at most
// GrowthFactor times the endpoint's capacity, however unevenly the traffic is spread.
package slowstart

import "time"

const (
	// fixedRateSafety is the share of the overload threshold that the fixed rates of all nodes add up to.
	fixedRateSafety = 0.8
	// creditShare is the share of Rules.OverloadDuration for which unused credit is retained.
	creditShare = 1.0 / 4
	// growthDivisor is the part of the margin between capacity and overload that GrowthFactor uses: one in so
	// many. The rest is left for work in flight, which has not been answered yet.
	growthDivisor = 4
	// minOverloadSeconds replaces an overload duration of 0 as a divisor, in seconds.
	minOverloadSeconds = 1e-3
)

// Rules describe how an endpoint warms up and when it is overloaded.
type Rules struct {
	MinCapacity      float64       // least capacity at the start, as a share of the warm one, 0 to 1
	Window           time.Duration // an endpoint of this age is warm
	OverloadMultiple float64       // an endpoint that is sent this multiple of its present capacity
	OverloadDuration time.Duration // for this long is overloaded
}

// CapacityShare returns a lower bound of the endpoint's present capacity as a share of its warm capacity, 0
// to 1. An endpoint without a known start (0) is warm.
func (r *Rules) CapacityShare(now, startedAt time.Duration) float64 {
	age := now - startedAt
	if startedAt <= 0 || age >= r.Window {
		return 1
	}
	return r.MinCapacity + (1-r.MinCapacity)*max(0, age).Seconds()/r.Window.Seconds()
}

// GrowthFactor returns the work that may be sent for each unit of completed work; at least 1.
func (r *Rules) GrowthFactor() float64 { return max(1, 1+(r.OverloadMultiple-1)/growthDivisor) }

// FixedRate returns the work per second that a node may send without completed work to show for it.
// warmWorkRate is the node's part of the work per second that a warm endpoint completes; share is
// CapacityShare.
func (r *Rules) FixedRate(warmWorkRate, share float64) float64 {
	return warmWorkRate * r.OverloadMultiple * share * fixedRateSafety
}

// overloadSeconds returns OverloadDuration as a divisor.
func (r *Rules) overloadSeconds() float64 {
	return max(r.OverloadDuration.Seconds(), minOverloadSeconds)
}

// Budget bounds the work that one node sends to one endpoint during one of its starts. The zero value belongs
// to an endpoint that was sent nothing yet. All credits are work in seconds.
type Budget struct {
	deferred       bool
	creditedAt     time.Duration // time up to which fixedCredit was accrued
	fixedCredit    float64       // negative: a debt
	maxFixedCredit float64       // bound of fixedCredit, and of a debt before the work that caused it
	earnedCredit   float64       // from completed work; at least 0
	completedRate  float64       // completed work per second, as of completedAt
	completedAt    time.Duration
}

// Defer starts the budget with a debt of work. The nodes draw different debts, so that their first requests
// do not arrive together as soon as the endpoint is announced.
func (b *Budget) Defer(now time.Duration, work float64) {
	b.deferred, b.creditedAt, b.fixedCredit = true, now, -work
}

// Deferred reports whether Defer was called.
func (b *Budget) Deferred() bool { return b.deferred }

// FixedCredit returns the credit of the fixed rate, in seconds of work; negative: a debt.
func (b *Budget) FixedCredit() float64 { return b.fixedCredit }

// Allows reports whether work may be sent now. fixedRate is Rules.FixedRate; inFlight is the work that this
// node has in flight at the endpoint. An endpoint may be slower than its kind, so the fixed rate counts only
// while the work in flight stays below half of the margin between the completed rate and overload.
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

// recentRate returns the completed work per second, which decays over the overload duration.
func (b *Budget) recentRate(r *Rules, now time.Duration) float64 {
	elapsed := (now - b.completedAt).Seconds() / r.overloadSeconds()
	return b.completedRate / (1 + elapsed + elapsed*elapsed/2)
}

// Sent charges work that was sent to both credits. Neither is left with a debt beyond its bound.
func (b *Budget) Sent(work float64) {
	b.fixedCredit = max(b.fixedCredit-work, -b.maxFixedCredit-work)
	b.earnedCredit = max(b.earnedCredit-work, 0)
}

// Answered credits work that the endpoint completed.
func (b *Budget) Answered(r *Rules, now time.Duration, work float64) {
	span := r.overloadSeconds()
	b.completedRate = b.recentRate(r, now) + work/span
	b.completedAt = now
	b.earnedCredit = min(b.earnedCredit+r.GrowthFactor()*work,
		max(2*work, r.GrowthFactor()*b.completedRate*span*creditShare))
}
