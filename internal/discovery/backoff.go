// Exponential backoff with jitter over the upper half of the delay (known as equal jitter).

package discovery

import "time"

// Backoff computes the delays between retries. The delay doubles with each failure up to Max. It is jittered, because
// all nodes lose the discovery service at the same time and must not retry at the same time.
type Backoff struct {
	Initial time.Duration // delay after the first failure, before jitter
	Max     time.Duration // maximum delay, before jitter

	delay time.Duration // delay after the last failure, before jitter; 0 after a success
}

// Next records a failure and returns the delay until the next retry. draw is a random number from 0 to 1.
func (b *Backoff) Next(draw float64) time.Duration {
	b.delay = min(max(2*b.delay, b.Initial), b.Max)
	return jitter(b.delay, draw)
}

// Reset records a success: the delay after the next failure is Initial again.
func (b *Backoff) Reset() { b.delay = 0 }

// jitter returns a duration between delay/2, for a draw of 0, and delay, for a draw of 1.
func jitter(delay time.Duration, draw float64) time.Duration {
	return time.Duration(float64(delay) * (0.5 + draw/2))
}
