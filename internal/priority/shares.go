package priority

import "time"

// sharesLifetime is how long shares are used before they are calculated again. Endpoints warm up over seconds.
const sharesLifetime = 50 * time.Millisecond

// cachedShares are the shares of a plan's tiers as of a time since the Unix epoch.
type cachedShares struct {
	calculatedAt time.Duration
	shares       []float64
}

// Shares returns the part of the requests that each tier gets, which add up to 1, or nil if no tier can serve any. now
// is the time since the Unix epoch.
//
// As in Envoy (priority levels, degraded endpoints), the capacity of a tier is its part of the priority's endpoints
// times the overprovisioning factor, 1 at most; what exceeds it is left to the next tier. Where all capacities add up
// to less than 1, all tiers get more than theirs, in proportion.
func (p *Plan) Shares(now time.Duration) []float64 {
	if last := p.lastShares.Load(); last != nil && now >= last.calculatedAt && now-last.calculatedAt < sharesLifetime {
		return last.shares
	}
	shares := p.calculateShares(now)
	p.lastShares.Store(&cachedShares{now, shares})
	return shares
}

func (p *Plan) calculateShares(now time.Duration) []float64 {
	capacities := make([]float64, len(p.Tiers))
	total := 0.0
	for i := range p.Tiers {
		t := &p.Tiers[i]
		if t.priorityTotal > 0 {
			capacities[i] = min(1, p.overprovisioning*t.capacity(now, p.slowStart)/float64(t.priorityTotal))
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

// capacity returns the tier's capacity, in endpoints that are warmed up.
func (t *Tier) capacity(now time.Duration, slowStart SlowStart) float64 {
	sum := float64(t.fullCapacity)
	for _, start := range t.starts {
		sum += slowStart.capacityAt(now - start)
	}
	return sum
}

// capacityAt returns the part of its capacity that an endpoint has at an age; an endpoint that starts in the future has
// age 0.
func (s SlowStart) capacityAt(age time.Duration) float64 {
	age = max(0, age)
	if age >= s.Window {
		return 1
	}
	return s.MinCapacity + (1-s.MinCapacity)*(float64(age)/float64(s.Window))
}

// Pick returns the index of the tier that gets a request; draw is evenly distributed from 0 to below 1. If no tier can
// serve any, it is the first, whose rejection has a Retry-After.
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
