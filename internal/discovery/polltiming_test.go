package discovery

import (
	"testing"
	"time"
)

const (
	// changeDeadline is the protocol's limit on the time until a node acts on a change, from the moment when the
	// discovery service has the change and can be reached.
	changeDeadline = 6 * time.Second
	// deliveryAllowance is the protocol's limit on the time that a long poll may take to deliver a change after its wait.
	deliveryAllowance = 2 * time.Second
	// maxQueueTime is the maximum time for which a call is queued at the discovery service.
	maxQueueTime = 2 * time.Second
)

// Guards against a node that sends requests to a draining endpoint after the drain grace because a call to the agent
// failed, was reset or became unresponsive. For each drain grace from 20 ms to 3 s, the next call must be made early
// enough to leave a fifth of the drain grace for requests that are already on their way.
func TestPushedTimingWithinDrainGrace(t *testing.T) {
	t.Parallel()
	const responseTime = 10 * time.Millisecond // response time of the agent on a busy machine
	const slack = 50 * time.Millisecond        // tolerance of the protocol's rules for real sockets
	for grace := 20 * time.Millisecond; grace <= 3*time.Second; grace += 7 * time.Millisecond {
		timing := PushedTiming(grace)
		poll, timeout := timing.StartPoll(timing.LongPollWait)
		detectedAfter := poll.NextHedge() + responseTime // if the long poll fails just after its start
		if lastSend := detectedAfter + grace/5; lastSend > grace+slack {
			t.Fatalf("drain grace %v: unresponsive call detected after %v, last request sent after %v, want within the grace",
				grace, detectedAfter, lastSend)
		}
		backoff := timing.Backoff
		for _, delay := range []time.Duration{backoff.Next(1), backoff.Max} {
			if delay+responseTime+grace/5 > grace+slack {
				t.Fatalf("drain grace %v: the next poll starts %v after a failure, want it earlier", grace, delay)
			}
		}
		if poll.NextHedge() >= timeout {
			t.Fatalf("drain grace %v: hedged call due after %v, long poll abandoned after %v, want the hedged call first",
				grace, poll.NextHedge(), timeout)
		}
		if timeout < timing.LongPollWait || timing.HedgeTimeout < 10*responseTime {
			t.Fatalf("drain grace %v: timeouts %v of the long poll and %v of a hedged call are too short for a busy machine",
				grace, timeout, timing.HedgeTimeout)
		}
		if longest := longestHedgeInterval(t, timing, poll, timeout); longest+responseTime+grace/5 > grace+slack {
			t.Fatalf("drain grace %v: up to %v between two hedged calls, want less", grace, longest)
		}
	}
}

// longestHedgeInterval simulates a poll of an unresponsive agent, whose hedged calls time out, until the first call times
// out. It returns the longest time between the starts of two hedged calls, and checks the limit on calls in flight.
func longestHedgeInterval(t *testing.T, timing PollTiming, poll Poll, timeout time.Duration) (longest time.Duration) {
	startTimes, last := []time.Duration{}, time.Duration(0)
	for elapsed := time.Duration(0); elapsed < timeout; elapsed += time.Millisecond {
		for len(startTimes) > 0 && elapsed >= startTimes[0]+timing.HedgeTimeout {
			startTimes = startTimes[1:]
			if poll.CallFailed() {
				t.Fatalf("CallFailed reports the last call while the first is still in flight, with timing %+v", timing)
			}
		}
		if elapsed >= poll.NextHedge() && poll.StartHedge(elapsed) {
			startTimes = append(startTimes, elapsed)
			if last > 0 {
				longest = max(longest, elapsed-last)
			}
			last = elapsed
		}
		if len(startTimes)+1 > timing.MaxCalls {
			t.Fatalf("%d calls in flight, want MaxCalls at most, with timing %+v", len(startTimes)+1, timing)
		}
	}
	return longest
}

// Guards against an unresponsive long poll to a shared discovery service that makes the node miss a deadline of the
// protocol. The node must act on a change within deliveryAllowance after the long poll's wait, so the hedged call must
// be due at least 0.8 s before that. Only one hedged call may be made, because each adds load to the service.
func TestPolledTimingHedge(t *testing.T) {
	t.Parallel()
	timing := PolledTiming()
	poll, timeout := timing.StartPoll(timing.LongPollWait)
	if limit := timing.LongPollWait + deliveryAllowance; poll.NextHedge() > limit-800*time.Millisecond || timeout <= limit {
		t.Errorf("hedged call due after %v, long poll times out after %v; want the hedged call at least 0.8 s before the protocol's limit, and the timeout after that limit",
			poll.NextHedge(), timeout)
	}
	if poll.NextHedge() > changeDeadline-300*time.Millisecond {
		t.Errorf("hedged call due after %v, want 0.3 s before changeDeadline if the long poll fails just after its start",
			poll.NextHedge())
	}
	hedges := 0
	for elapsed := time.Duration(0); elapsed < timeout; elapsed += time.Millisecond {
		if poll.StartHedge(elapsed) {
			hedges++
		}
	}
	if hedges != 1 {
		t.Errorf("%d hedged calls, want 1: each adds load to the service", hedges)
	}
	// A call that asks for an immediate response may be queued at the service. An early hedged call would only make the
	// queue longer.
	if immediate, _ := timing.StartPoll(0); immediate.NextHedge() < 1200*time.Millisecond {
		t.Errorf("hedged call due %v after a call that asks for an immediate response, want 1.2 s or more",
			immediate.NextHedge())
	}
}

// Guards against a node that misses changeDeadline after an outage of the discovery service. In the worst case a call
// fails silently just before the service returns: the call has to time out, the retry interval passes, and the next call
// is queued at the service.
func TestPolledTimingAfterFailure(t *testing.T) {
	t.Parallel()
	timing := PolledTiming()
	poll, timeout := timing.StartPoll(0)
	retryAndQueue := timing.RetryInterval(1) + maxQueueTime
	slowest := max(timeout, timing.HedgeTimeout)
	if slowest+retryAndQueue > changeDeadline || poll.NextHedge() > timeout {
		t.Errorf("calls time out after %v, retry interval up to %v, want a response by changeDeadline and a hedged call in time",
			timeout, timing.RetryInterval(1))
	}
	if shortest, longest := timing.RetryInterval(0), timing.RetryInterval(1); shortest <= 0 || longest < 2*shortest {
		t.Errorf("retry intervals from %v to %v, want more jitter: nodes whose polls failed together retry together",
			shortest, longest)
	}
}
