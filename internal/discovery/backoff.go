// Exponential backoff with jitter over the upper half of the delay ("equal jitter").

package discovery

import "time"

// Backoff spaces retries: the delay doubles with each failure and is jittered, since all nodes lose the discovery
// service together and must not return to it in step.
type Backoff struct {
	Initial time.Duration // delay after the first failure, before jitter
	Max     time.Duration // longest delay, before jitter

	delay time.Duration // delay after the last failure, before jitter; 0 after a success
}

// Next returns the delay after one more failure. draw is a random number from 0 to 1.
func (b *Backoff) Next(draw float64) time.Duration {
	b.delay = min(max(2*b.delay, b.Initial), b.Max)
	return jitter(b.delay, draw)
}

// Reset starts over from Initial after a success.
func (b *Backoff) Reset() { b.delay = 0 }

// jitter returns a delay between half of the given one and all of it. draw is a random number from 0 to 1.
func jitter(delay time.Duration, draw float64) time.Duration {
	return time.Duration(float64(delay) * (0.5 + draw/2))
}
