package policy

import "time"

// Polling of the endpoint list, where it is not pushed (Settings.PollEndpoints): when Host.RequestPoll is
// called. Its inputs are the number of nodes, Settings.Rules.MaxPollInterval and failures in a row. Nodes
// start together at times, and discovery fails for all of them together when it has too many callers. So the
// first poll is spread over a time that grows with the number of nodes, and the delay after a failure grows
// exponentially and is randomized by half either way. The host polls again after each successful response.

const (
	// minPollBackoff is the mean delay after the first failed poll; it doubles with each further one.
	minPollBackoff = 500 * time.Millisecond
	// firstPollSpread is the time for each node over which the first polls of all nodes are spread.
	firstPollSpread = 40 * time.Millisecond
	// maxDelayDivisor bounds both delays: MaxPollInterval divided by this (for the backoff, plus
	// minPollBackoff).
	maxDelayDivisor = 4
	// emptyListDivisor shortens the spread where the node has no list to serve by.
	emptyListDivisor = 4
)

// backOffPolling schedules the next poll after a failed one.
func (b *Balancer) backOffPolling(now time.Duration) {
	delay := b.pollDelay/2 + time.Duration(b.random.Float64()*float64(b.pollDelay))
	b.host.SetTimer(now+delay, tokenPoll)
	b.pollDelay = min(2*b.pollDelay, b.settings.Rules.MaxPollInterval/maxDelayDivisor+minPollBackoff)
}

// scheduleFirstPoll schedules the poll that replaces a cached list.
func (b *Balancer) scheduleFirstPoll(now time.Duration, haveList bool) {
	spread := firstPollSpread * time.Duration(b.settings.NodeCount)
	spread = min(spread, b.settings.Rules.MaxPollInterval/maxDelayDivisor)
	if !haveList {
		spread /= emptyListDivisor
	}
	b.host.SetTimer(now+time.Duration(b.random.Float64()*float64(spread)), tokenPoll)
}
