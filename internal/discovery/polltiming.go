// The timing of polls, for the two kinds of discovery: an agent on the node's machine to which lists are pushed, and a
// service that all nodes share and poll.

package discovery

import "time"

// PollTiming is the timing of the polls of one discovery address. A poll begins with a long poll. A long poll that is
// overdue may have lost its connection without notice, and what it misses counts as known to the node all the same:
// hedged calls, which ask for an immediate response, are then made beside it.
type PollTiming struct {
	// LongPollWait is how long a long poll asks the discovery service to wait for a change.
	LongPollWait time.Duration
	// OverdueAfter is how long after its wait a long poll is overdue.
	OverdueAfter time.Duration
	// AbandonAfter is how long after its wait a long poll is abandoned. It exceeds OverdueAfter.
	AbandonAfter time.Duration
	// HedgeInterval is the interval between hedged calls.
	HedgeInterval time.Duration
	// HedgeTimeout is how long a hedged call may take.
	HedgeTimeout time.Duration
	// MaxCalls limits the calls in flight of one poll, hedged calls included; at least 2.
	MaxCalls int
	// Backoff spaces the polls after failures.
	Backoff Backoff
	// MaxRetryInterval is the longest time from a failed poll to the next one, whatever else schedules polls.
	MaxRetryInterval time.Duration
	// InitialListTimeout is how long a process waits for its first response before it uses the list that it
	// was started with.
	InitialListTimeout time.Duration
	// ReadyTimeout is how long a process waits for its first response before it reports ready with that list. It
	// exceeds InitialListTimeout.
	ReadyTimeout time.Duration
}

// Timing for a shared discovery service. By the protocol a node must act on a change within 6 s of the moment when the
// service has it and can be reached, and within 2 s after the wait of a long poll.
const (
	// polledLongPollWait is long, since each call loads the service. With polledOverdueAfter it leaves a hedged call
	// 0.3 s of the 6 s, if the long poll failed just after its start, and 0.8 s of the 2 s.
	polledLongPollWait = 4500 * time.Millisecond
	polledOverdueAfter = 1200 * time.Millisecond
	// polledCallTimeout exceeds the 2 s for which the service queues calls.
	polledCallTimeout = 2500 * time.Millisecond
	// polledMaxRetryInterval leaves, of the 6 s, polledCallTimeout for an unresponsive call before it and 2 s for
	// the next call's time in the service's queue.
	polledMaxRetryInterval = 1500 * time.Millisecond
	polledInitialBackoff   = 250 * time.Millisecond
	polledMaxBackoff       = time.Second
	// polledMaxCalls allows one hedged call, since each call loads the service.
	polledMaxCalls = 2
)

// Timing for an agent on the node's machine, which responds at once: a slow response is due to this machine.
const (
	// agentIntervalDivisor gives the interval of the timing as a part of the drain grace.
	agentIntervalDivisor = 4
	minAgentInterval     = 10 * time.Millisecond
	maxAgentInterval     = 250 * time.Millisecond
	minAgentHedgeTimeout = 100 * time.Millisecond
	agentAbandonAfter    = 2 * time.Second
	agentInitialBackoff  = 5 * time.Millisecond
	// agentMaxCalls fits into the descriptors that a node reserves for itself.
	agentMaxCalls = 8
	// agentReadyTimeout is short, so that nodes that restart while the discovery service is down soon return.
	agentReadyTimeout = time.Second
)

// PushedTiming returns the timing for an agent on the node's own machine, to which lists are pushed and whose calls
// cost nothing. A change counts as known to the node once the agent has it, whether or not a call is in flight, so that
// a call that failed silently must be found within the drain grace. That takes three intervals, the wait of a long poll
// and the time after which it is overdue, so three quarters of the grace. The rest is left to requests that are already
// on their way: a fifth to sends that were decided before the notice (package node), a twentieth as a margin.
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

// PolledTiming returns the timing for a discovery service that all nodes share and that each call loads. It has no
// InitialListTimeout and no ReadyTimeout: the process uses the list that it was started with at once.
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

// RetryInterval returns the longest time from a failed poll to the next one: between half of MaxRetryInterval and all
// of it, since nodes that failed together must not return in step. draw is a random number from 0 to 1.
func (t PollTiming) RetryInterval(draw float64) time.Duration {
	return jitter(t.MaxRetryInterval, draw)
}
