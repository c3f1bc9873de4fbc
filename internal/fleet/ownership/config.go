package ownership

import "time"

// requestsPerRelease is how many requests a node sends within LeaseConfig.ReleaseDuration.
const requestsPerRelease = 4

// LeaseConfig is the timing of capacity leases. All nodes of a fleet must use the same values.
type LeaseConfig struct {
	ReleaseDuration time.Duration // time for which a node does without a share that it releases, in true time
	MaxClockDrift   float64       // largest deviation of a clock's rate from true time: 0.1 is 10 %
}

// onSlowestClock returns the time that the slowest allowed clock shows to have passed after the true time d. When any
// allowed clock has advanced by the result, at most d has passed.
func (c LeaseConfig) onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.MaxClockDrift))
}

// onFastestClock returns the time that the fastest allowed clock shows to have passed after the true time d. When any
// allowed clock has advanced by the result, at least d has passed.
func (c LeaseConfig) onFastestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.MaxClockDrift)) + 1
}

// RenewInterval returns the time between two requests of a node.
func (c LeaseConfig) RenewInterval() time.Duration { return c.ReleaseDuration / requestsPerRelease }
