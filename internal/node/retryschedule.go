// This file schedules the next poll of a shared discovery service after a failed poll.
//
// Three delays apply after failed polls, each of them jittered:
//
//   - The policy's backoff (policy/polling.go) applies to the current source of a shared discovery service. Its mean begins
//     at 0.5 s and doubles with each failure, up to Rules.MaxPollInterval/4 + 0.5 s.
//   - The retry interval of this file (discovery.PollTiming.RetryInterval) applies to the same source. It is 0.75 s to
//     1.5 s and does not grow.
//   - discovery.Backoff applies to the agent on this machine, and to a source of a shared service that is not the current
//     one yet (pollLoop). For the agent it begins at 5 ms and grows to a quarter of the drain grace, limited to the range
//     from 10 ms to 250 ms. For a shared service it begins at 250 ms and grows to 1 s. Jitter subtracts up to half of the
//     delay.
//
// Where the policy's backoff and the retry interval both apply, the poll starts when the shorter of these two delays ends.

package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// retrySchedule decides when a shared discovery service is polled again after a failure: when the policy requests the poll
// after its growing backoff, and at the latest after retryInterval, which does not grow.
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
