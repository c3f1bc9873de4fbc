// When a polled list is polled again after a failure.
//
// Three delays follow failed polls, each jittered:
//
//   - The policy's (policy/polling.go), for the source that is followed of a polled list: a mean of 0.5 s, doubled with
//     each failure, up to 0.5 s more than a quarter of Rules.MaxPollInterval.
//   - The retry interval of this file (discovery.PollTiming.RetryInterval), for the same source: 0.75 s to 1.5 s, which
//     does not grow. Whichever of the two ends first starts the poll.
//   - discovery.Backoff, for pushed lists, and for a source of a polled list that is not followed yet (pollLoop). With
//     pushed lists it is 5 ms at first and up to a quarter of the drain grace, which is 10 ms to 250 ms here; with
//     polled ones it is 250 ms at first and up to 1 s. Jitter takes up to half of it away.

package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// retrySchedule says when a list that is polled is polled again after a failure: when the policy requests it, whose
// backoff grows, and after retryInterval at the latest, which does not grow.
type retrySchedule struct {
	pollRequested <-chan struct{}
	retryInterval func(draw float64) time.Duration

	// requestPending reports that the policy was notified of a failure and has not yet requested the poll that follows.
	requestPending bool
	// latest fires at the end of the retry interval; nil before the first failure.
	latest <-chan time.Time
}

// wait waits for the time of the next poll, or until the context ends.
func (s *retrySchedule) wait(ctx context.Context) {
	select {
	case <-s.pollRequested:
		s.requestPending = false
	case <-s.latest:
	case <-ctx.Done():
	}
}

// failed starts a retry interval, and reports whether to notify the policy of the failure. The policy requests one poll
// for each notification; while one is pending it is not notified again, or requests would accumulate in an outage.
func (s *retrySchedule) failed() (notify bool) {
	s.latest = time.After(s.retryInterval(rand.Float64()))
	select {
	case <-s.pollRequested: // from before the failure
		s.requestPending = false
	default:
	}
	notify = !s.requestPending
	s.requestPending = true
	return notify
}
