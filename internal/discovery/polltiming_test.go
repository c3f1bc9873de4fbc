package discovery

import (
	"testing"
	"time"
)

const (
	// changeDeadline is the protocol's: when a node must act on a change that discovery has, once it can be reached.
	changeDeadline = 6 * time.Second
	// longPollSlack is the protocol's: how long after its wait a long poll may take to deliver a change.
	longPollSlack = 2 * time.Second
	// queueTime is the longest time that the discovery service queues calls.
	queueTime = 2 * time.Second
)

// A change that the agent has counts as known whether or not a call is in flight. Wherever a call fails silently, fails
// or is reset, the next one is made within the drain grace, of which a fifth is left to requests that are already on
// their way: for every grace that settings may have.
func TestPushedTimingWithinDrainGrace(t *testing.T) {
	t.Parallel()
	const responseTime = 10 * time.Millisecond // of the agent, on a busy machine
	const slack = 50 * time.Millisecond        // of the protocol's rules on sockets
	for grace := 20 * time.Millisecond; grace <= 3*time.Second; grace += 7 * time.Millisecond {
		timing := PushedTiming(grace)
		poll, timeout := timing.StartPoll(timing.LongPollWait)
		found := poll.NextHedge() + responseTime // the long poll failed just after its start
		if sent := found + grace/5; sent > grace+slack {
			t.Fatalf("grace %v: an unresponsive call is found after %v, the last send is at %v", grace, found, sent)
		}
		backoff := timing.Backoff
		for _, delay := range []time.Duration{backoff.Next(1), backoff.Max} {
			if delay+responseTime+grace/5 > grace+slack {
				t.Fatalf("grace %v: the next poll comes %v after a failure", grace, delay)
			}
		}
		if timeout < timing.LongPollWait || timing.HedgeTimeout < 10*responseTime {
			t.Fatalf("grace %v: timeouts of %v and %v: too short on a busy machine", grace, timeout, timing.HedgeTimeout)
		}
		if longest := longestHedgeInterval(t, timing, poll, timeout); longest+responseTime+grace/5 > grace+slack {
			t.Fatalf("grace %v: %v between two hedged calls", grace, longest)
		}
	}
}

// longestHedgeInterval plays a poll of an unresponsive agent, whose hedged calls time out, to the end of its first
// call, and returns the longest time between two hedged calls. It checks the limit of calls in flight.
func longestHedgeInterval(t *testing.T, timing PollTiming, poll Poll, timeout time.Duration) (longest time.Duration) {
	startTimes, last := []time.Duration{}, time.Duration(0)
	for elapsed := time.Duration(0); elapsed < timeout; elapsed += time.Millisecond {
		for len(startTimes) > 0 && elapsed >= startTimes[0]+timing.HedgeTimeout {
			startTimes = startTimes[1:]
			if poll.CallFailed() {
				t.Fatalf("the poll ended before its first call with %+v", timing)
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
			t.Fatalf("%d calls in flight with %+v", len(startTimes)+1, timing)
		}
	}
	return longest
}

// Where the list is polled, a change that an unresponsive long poll misses counts as known longPollSlack after its
// wait: it is hedged 0.8 s before that, and once only.
func TestPolledTimingHedge(t *testing.T) {
	t.Parallel()
	timing := PolledTiming()
	poll, timeout := timing.StartPoll(timing.LongPollWait)
	if known := timing.LongPollWait + longPollSlack; poll.NextHedge() > known-800*time.Millisecond || timeout <= known {
		t.Errorf("hedged after %v, abandoned after %v", poll.NextHedge(), timeout)
	}
	if poll.NextHedge() > changeDeadline-300*time.Millisecond {
		t.Errorf("hedged after %v: the service may have failed just after the call's start", poll.NextHedge())
	}
	hedges := 0
	for elapsed := time.Duration(0); elapsed < timeout; elapsed += time.Millisecond {
		if poll.StartHedge(elapsed) {
			hedges++
		}
	}
	if hedges != 1 {
		t.Errorf("%d hedged calls: each loads the service", hedges)
	}
	// A call that is queued at the service is no reason to make that queue longer.
	if immediate, _ := timing.StartPoll(0); immediate.NextHedge() < 1200*time.Millisecond {
		t.Errorf("a call that asks for an immediate response is hedged after %v", immediate.NextHedge())
	}
}

// After a failure a change is known within changeDeadline of the service's return: where a call failed silently just
// before that, it is abandoned, the retry interval goes by, and the next call is queued.
func TestPolledTimingAfterFailure(t *testing.T) {
	t.Parallel()
	timing := PolledTiming()
	poll, timeout := timing.StartPoll(0)
	retryAndQueue := timing.RetryInterval(1) + queueTime
	slowest := max(timeout, timing.HedgeTimeout)
	if slowest+retryAndQueue > changeDeadline || poll.NextHedge() > timeout {
		t.Errorf("a call takes %v, the retry interval is %v", timeout, timing.RetryInterval(1))
	}
	if shortest, longest := timing.RetryInterval(0), timing.RetryInterval(1); shortest <= 0 || longest < 2*shortest {
		t.Errorf("retry intervals from %v to %v: nodes that failed together return together", shortest, longest)
	}
}
