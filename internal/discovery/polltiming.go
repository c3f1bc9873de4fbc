// The timing of polls for the two kinds of discovery: an agent on the node's machine, to which lists are pushed, and a
// discovery service that all nodes share and poll.

package discovery

import "time"

// PollTiming is the timing of the polls of one discovery address. A poll begins with a long poll. The connection of an
// overdue long poll may have failed silently, and the node must act in time even on changes that such a long poll
// misses. Hedged calls, which ask for an immediate response, are therefore made while a long poll is overdue.
type PollTiming struct {
	// LongPollWait is how long a long poll asks the discovery service to wait for a change.
	LongPollWait time.Duration
	// OverdueAfter is the time from the end of a long poll's wait until the long poll is overdue.
	OverdueAfter time.Duration
	// AbandonAfter is the time from the end of a long poll's wait until the call times out. It exceeds OverdueAfter.
	AbandonAfter time.Duration
	// HedgeInterval is the interval between the hedged calls of a poll.
	HedgeInterval time.Duration
	// HedgeTimeout is the timeout of a hedged call.
	HedgeTimeout time.Duration
	// MaxCalls is the maximum number of calls in flight of one poll, including the long poll. It is at least 2.
	MaxCalls int
	// Backoff gives the delays between failed polls.
	Backoff Backoff
	// MaxRetryInterval is the maximum time from a failed poll to the next poll, whatever else schedules polls.
	// RetryInterval applies jitter to it.
	MaxRetryInterval time.Duration
	// InitialListTimeout is how long a process waits for its first response before it uses its initial list.
	InitialListTimeout time.Duration
	// ReadyTimeout is how long a process waits for its first response before it reports ready with its initial list.
	// It exceeds InitialListTimeout.
	ReadyTimeout time.Duration
}

// Timing for a shared discovery service. The protocol requires that a node acts on a change within 6 s of the moment from
// which the service has the change and can be reached, and within 2 s after the end of a long poll's wait.
const (
	// polledLongPollWait is long because each call adds load to the service. If a long poll fails just after its start,
	// the hedged call is due after polledLongPollWait + polledOverdueAfter, which leaves the call 0.3 s of the 6 s. Of
	// the 2 s after the long poll's wait, polledOverdueAfter leaves 0.8 s.
	polledLongPollWait = 4500 * time.Millisecond
	polledOverdueAfter = 1200 * time.Millisecond
	// polledCallTimeout exceeds the 2 s for which a call may be queued at the service.
	polledCallTimeout = 2500 * time.Millisecond
	// polledMaxRetryInterval is what remains of the 6 s after polledCallTimeout, for an unresponsive call before the
	// interval, and the 2 s for which the next call may be queued at the service.
	polledMaxRetryInterval = 1500 * time.Millisecond
	polledInitialBackoff   = 250 * time.Millisecond
	polledMaxBackoff       = time.Second
	// polledMaxCalls allows one hedged call beside the long poll, because each call adds load to the service.
	polledMaxCalls = 2
)

// Timing for an agent on the node's machine. The agent responds at once, so a slow response means that the machine is
// busy.
const (
	// agentIntervalDivisor sets the interval on which the timing is based: the drain grace divided by this number, limited
	// to the range from minAgentInterval to maxAgentInterval.
	agentIntervalDivisor = 4
	minAgentInterval     = 10 * time.Millisecond
	maxAgentInterval     = 250 * time.Millisecond
	minAgentHedgeTimeout = 100 * time.Millisecond
	agentAbandonAfter    = 2 * time.Second
	agentInitialBackoff  = 5 * time.Millisecond
	// agentMaxCalls is limited by the number of descriptors that a node reserves for its own use.
	agentMaxCalls = 8
	// agentReadyTimeout is short, so that a node that restarts while the discovery service is down soon becomes ready.
	agentReadyTimeout = time.Second
)

// PushedTiming returns the timing for an agent on the node's own machine, to which lists are pushed. Calls to the agent
// cost nothing. A change counts as known to the node once the agent has it, whether or not a call is in flight, so that
// a long poll that failed silently must be detected within the drain grace. The detection takes three intervals: two for
// the wait of the long poll and one until the long poll is overdue. Unless minAgentInterval applies, these are at most
// three quarters of the drain grace. The rest is left for requests that are already on their way to an endpoint: a fifth
// for requests whose endpoint was selected before the node learned of the drain (drainSendGraceDivisor in package node),
// and a twentieth as a margin.
func PushedTiming(drainGrace time.Duration) PollTiming {
	interval := min(max(drainGrace/agentIntervalDivisor, minAgentInterval), maxAgentInterval)
	return PollTiming{
		LongPollWait:       2 * interval,
		OverdueAfter:       interval,
		AbandonAfter:       agentAbandonAfter,
		HedgeInterval:      interval,
		HedgeTimeout:       max(minAgentHedgeTimeout, 4*interval),
		MaxCalls:           agentMaxCalls,
		Backoff:            Backoff{Initial: min(agentInitialBackoff, interval), Max: interval},
		MaxRetryInterval:   interval,
		InitialListTimeout: 2 * interval,
		ReadyTimeout:       agentReadyTimeout,
	}
}

// PolledTiming returns the timing for a discovery service that all nodes share, where each call adds load to the service.
// InitialListTimeout and ReadyTimeout are 0 and not used, since the process uses its initial list at once.
func PolledTiming() PollTiming {
	return PollTiming{
		LongPollWait:     polledLongPollWait,
		OverdueAfter:     polledOverdueAfter,
		AbandonAfter:     polledCallTimeout,
		HedgeInterval:    polledCallTimeout,
		HedgeTimeout:     polledCallTimeout,
		MaxCalls:         polledMaxCalls,
		Backoff:          Backoff{Initial: polledInitialBackoff, Max: polledMaxBackoff},
		MaxRetryInterval: polledMaxRetryInterval,
	}
}

// RetryInterval returns the maximum time from a failed poll to the next poll, with jitter: between half of
// MaxRetryInterval and all of it, so that nodes whose polls failed together do not retry together. draw is a random
// number from 0 to 1.
func (t PollTiming) RetryInterval(draw float64) time.Duration {
	return jitter(t.MaxRetryInterval, draw)
}
