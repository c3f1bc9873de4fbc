// This file schedules the next poll of a polled list after a failed poll.
//
// Three delays apply after failed polls, each of them jittered:
//
//   - The policy's backoff (policy/polling.go) applies to the current source of a polled list. Its mean is 0.5 s, doubles
//     with each failure, and grows to 0.5 s more than a quarter of Rules.MaxPollInterval.
//   - The retry interval of this file (discovery.PollTiming.RetryInterval) applies to the same source. It is 0.75 s to
//     1.5 s and does not grow. The poll starts when the shorter of the two delays ends.
//   - discovery.Backoff applies to pushed lists, and to a source of a polled list that is not the current one yet
//     (pollLoop). For pushed lists it begins at 5 ms and grows to a quarter of the drain grace, limited to the range from
//     10 ms to 250 ms. For polled lists it begins at 250 ms and grows to 1 s. Jitter subtracts up to half of the delay.

package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// retrySchedule decides when a polled list is polled again after a failure: when the policy requests the poll after its
// growing backoff, and at the latest after retryInterval, which does not grow.
type retrySchedule struct {
	pollRequested <-chan struct{}
	retryInterval func(draw float64) time.Duration

	// requestPending reports that the policy was notified of a failure and has not yet requested the next poll.
	requestPending bool
	// intervalEnd fires at the end of the retry interval. It is nil before the first failure.
	intervalEnd <-chan time.Time
}

// wait waits until the next poll is due or ctx is done.
func (s *retrySchedule) wait(ctx context.Context) {
	select {
	case <-s.pollRequested:
		s.requestPending = false
	case <-s.intervalEnd:
	case <-ctx.Done():
	}
}

// pollFailed starts a retry interval, and reports whether the policy has to be notified of the failure. The policy requests one
// poll for each notification. While such a request is pending, the policy is not notified again, since requests would
// otherwise accumulate in an outage.
func (s *retrySchedule) pollFailed() (notify bool) {
	s.intervalEnd = time.After(s.retryInterval(rand.Float64()))
	select {
	case <-s.pollRequested: // a request from before the failure
		s.requestPending = false
	default:
	}
	notify = !s.requestPending
	s.requestPending = true
	return notify
}
