package engine

import "time"

// clockOffset is the time that a new Clock shows. It keeps the start time of an endpoint that started within the hour
// before this process positive, because the Balancer takes a start time of 0 or less as unknown, and the endpoint as warm.
const clockOffset = time.Hour

// Clock is the monotonic time base that requests and clusters share. Times on it are durations since the clock's zero,
// which lies one hour before the call of NewClock.
type Clock struct{ zero time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now().Add(-clockOffset)} }

// Now returns the present time on the clock.
func (c Clock) Now() time.Duration { return time.Since(c.zero) }

// Wall converts a time on the clock to wall time.
func (c Clock) Wall(at time.Duration) time.Time { return c.zero.Add(at) }

// At converts a wall time to a time on the clock. Wall times before the clock's zero give 0. The same wall time always
// gives the same result, because an endpoint whose start time moved on the clock would be taken for a restarted one.
func (c Clock) At(wall time.Time) time.Duration { return max(0, wall.Sub(c.zero.Round(0))) }
