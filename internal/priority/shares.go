package priority

import "time"

// sharesLifetime is the time for which calculated shares are cached. It is short compared with the seconds over which
// endpoints warm up.
const sharesLifetime = 50 * time.Millisecond

// cachedShares are the shares of a plan's tiers at the time calculatedAt, which is since the Unix epoch.
type cachedShares struct {
	calculatedAt time.Duration
	shares       []float64
}

// Shares returns the fraction of the requests that each tier gets. The shares add up to 1. Shares returns nil if no tier can
// serve requests. now is the time since the Unix epoch. The caller must not change the result, which is cached.
//
// As in Envoy (priority levels, degraded endpoints), the capacity of a tier is its number of effective endpoints (in
// which an endpoint in slow start counts for less than 1) divided by the number of the priority's endpoints, times the
// overprovisioning factor, at most 1. Requests beyond a tier's capacity go to the next tier. If all capacities add
// up to less than 1, each tier's share is larger than its capacity, in proportion to it.
func (p *Plan) Shares(now time.Duration) []float64 {
	if last := p.lastShares.Load(); last != nil && now >= last.calculatedAt && now-last.calculatedAt < sharesLifetime {
		return last.shares
	}
	shares := p.calculateShares(now)
	p.lastShares.Store(&cachedShares{now, shares})
	return shares
}

// calculateShares calculates the result of Shares.
func (p *Plan) calculateShares(now time.Duration) []float64 {
	capacities := make([]float64, len(p.Tiers))
	total := 0.0
	for i := range p.Tiers {
		t := &p.Tiers[i]
		if t.priorityEndpoints > 0 {
			capacities[i] = min(1, p.overprovisioning*t.effectiveEndpoints(now, p.slowStart)/float64(t.priorityEndpoints))
		}
		total += capacities[i]
	}
	if total <= 0 {
		return nil
	}
	shares := make([]float64, len(p.Tiers))
	remaining := 1.0
	for i := range shares {
		shares[i] = min(remaining, capacities[i]/min(1, total))
		remaining -= shares[i]
	}
	return shares
}

// effectiveEndpoints returns the sum of the capacities of the tier's serving endpoints, where an endpoint at full capacity
// counts as 1.
func (t *Tier) effectiveEndpoints(now time.Duration, slowStart SlowStart) float64 {
	sum := float64(t.withoutSlowStart)
	for _, start := range t.startTimes {
		sum += slowStart.capacityAt(now - start)
	}
	return sum
}

// capacityAt returns the fraction of its capacity that an endpoint has at an age. A negative age, of an endpoint whose start
// time is in the future, counts as 0.
func (s SlowStart) capacityAt(age time.Duration) float64 {
	age = max(0, age)
	if age >= s.Window {
		return 1
	}
	return s.MinCapacity + (1-s.MinCapacity)*(float64(age)/float64(s.Window))
}

// Pick returns the index of the tier that gets a request. draw is a random number, uniformly distributed in [0, 1). If no
// tier can serve requests, Pick returns 0: the first tier rejects the request with a Retry-After.
func (p *Plan) Pick(now time.Duration, draw float64) int {
	if len(p.Tiers) == 1 {
		return 0
	}
	picked := 0
	for i, share := range p.Shares(now) {
		if share > 0 {
			picked = i
			if draw < share {
				break
			}
			draw -= share
		}
	}
	return picked
}
