package ownership

import "time"

// requestsPerRelease is how many requests a node sends within LeaseConfig.ReleaseDuration.
const requestsPerRelease = 4

// LeaseConfig is the timing of capacity leases. All nodes of a fleet must use the same values.
type LeaseConfig struct {
	ReleaseDuration time.Duration // for which a node does without what it releases, in true time
	MaxClockDrift   float64       // largest deviation of a clock's rate from true time: 0.1 is 10 %
}

// onSlowestClock is what the slowest allowed clock shows after a true time. Whatever the clock, it has not passed the
// time's end then.
func (c LeaseConfig) onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.MaxClockDrift))
}

// onFastestClock is what the fastest allowed clock shows after a true time.
func (c LeaseConfig) onFastestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.MaxClockDrift)) + 1
}

// RenewInterval is the time between two requests of a node.
func (c LeaseConfig) RenewInterval() time.Duration { return c.ReleaseDuration / requestsPerRelease }
