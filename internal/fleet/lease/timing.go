package lease

import (
	"math"
	"time"
)

// renewalsPerTerm is how many times a holder renews its lease within HolderTerm: three attempts in a row may fail.
const renewalsPerTerm = 4

// Config is the timing of leases. All nodes of a fleet must use the same values.
type Config struct {
	Duration      time.Duration // duration of a lease, in true time
	MaxClockDrift float64       // largest deviation of a clock's rate from true time: 0.1 is 10 %
	ApplyTimeout  time.Duration // time within which a node applies a version that it has heard of
}

// HolderTerm returns how long a lease's holder may rely on the lease, measured on the holder's clock. A slow clock shows
// less time than has passed, so the term is the lease's duration as the slowest allowed clock shows it.
func (c Config) HolderTerm() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - c.MaxClockDrift))
}

// GranterTerm returns how long the voter that granted a lease has to honor it, measured on the voter's clock: the
// lease's duration as the fastest allowed clock shows it.
func (c Config) GranterTerm() time.Duration {
	return time.Duration(math.Ceil(float64(c.Duration) * (1 + c.MaxClockDrift)))
}

// ActivationBound returns the longest time from when a version is committed to the log until no node acts on a version
// that it contradicts. By then each node has confirmed the new version, or the node's last lease has expired even on the
// slowest voter's clock.
func (c Config) ActivationBound() time.Duration {
	return time.Duration(float64(c.GranterTerm())/(1-c.MaxClockDrift)) + c.ApplyTimeout
}

// RenewInterval returns the time between two lease requests of a holder, on the holder's clock.
func (c Config) RenewInterval() time.Duration { return c.HolderTerm() / renewalsPerTerm }
