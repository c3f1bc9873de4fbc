package engine

import "time"

// clockOffset is the time on a Clock at NewClock. It keeps the start of an endpoint that started before this process
// positive: the Balancer takes 0 and less for "long ago".
const clockOffset = time.Hour

// Clock is the monotonic time that requests and clusters share, as a duration since its zero, which lies one hour
// before NewClock.
type Clock struct{ zero time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now().Add(-clockOffset)} }

// Now returns the present time on the clock.
func (c Clock) Now() time.Duration { return time.Since(c.zero) }

// Wall converts a time on the clock to wall time.
func (c Clock) Wall(at time.Duration) time.Time { return c.zero.Add(at) }

// At converts a wall time to a time on the clock; times before the clock's zero give 0. The difference between the
// two never changes, since an endpoint whose start moved on the clock would be taken for a restarted one.
func (c Clock) At(wall time.Time) time.Duration { return max(0, wall.Sub(c.zero.Round(0))) }
