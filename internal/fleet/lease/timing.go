package lease

import (
	"math"
	"time"
)

// renewalsPerTerm is how many times a holder renews within the term that it counts on: three attempts may fail.
const renewalsPerTerm = 4

// Config is the timing of leases. All nodes of a fleet must use the same values.
type Config struct {
	Duration      time.Duration // of a lease, in true time
	MaxClockDrift float64       // largest deviation of a clock's rate from true time: 0.1 is 10 %
	ApplyTimeout  time.Duration // within which a node applies a version that it has heard of
}

// HolderTerm is how long a lease's holder may rely on it, measured on the holder's clock. A slow clock shows less
// time than has passed, so the term is the lease's duration as the slowest allowed clock shows it.
func (c Config) HolderTerm() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - c.MaxClockDrift))
}

// GranterTerm is how long the voter that granted a lease has to honor it, measured on the voter's clock: the lease's
// duration as the fastest allowed clock shows it.
func (c Config) GranterTerm() time.Duration {
	return time.Duration(math.Ceil(float64(c.Duration) * (1 + c.MaxClockDrift)))
}

// ActivationBound is the longest time from when a version is committed to the log until no node acts on a version
// that it contradicts: by then each node has confirmed, or its last lease has expired even on the slowest voter's
// clock.
func (c Config) ActivationBound() time.Duration {
	return time.Duration(float64(c.GranterTerm())/(1-c.MaxClockDrift)) + c.ApplyTimeout
}

// RenewInterval is the time between two lease requests of a holder.
func (c Config) RenewInterval() time.Duration { return c.HolderTerm() / renewalsPerTerm }
