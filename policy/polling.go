package policy

import "time"

// The endpoint list is polled if it is not pushed (Settings.PollEndpoints). This file determines when
// Host.RequestPoll is called: for the first poll after a cached list, and after failed polls. The inputs
// are the number of nodes, Settings.Rules.MaxPollInterval and the number of consecutive failures. Nodes
// sometimes start at the same time, and if discovery is overloaded by their polls it fails for all of them
// at once. Therefore the first polls of all nodes are spread over a time that grows with the number of
// nodes, and the delay after a failure grows exponentially and is randomized by 50% either way. After a
// successful poll the host schedules the next poll itself.

const (
	// minPollBackoff is the mean delay after the first failed poll; the delay doubles with each further
	// failure.
	minPollBackoff = 500 * time.Millisecond
	// firstPollSpread is multiplied by the number of nodes to give the time over which the first polls of all
	// nodes are spread.
	firstPollSpread = 40 * time.Millisecond
	// maxDelayDivisor determines the upper bound of the spread and of the mean backoff: MaxPollInterval
	// divided by maxDelayDivisor. The bound of the backoff is higher by minPollBackoff.
	maxDelayDivisor = 4
	// emptyListDivisor divides the spread if the node has no endpoints to serve requests with.
	emptyListDivisor = 4
)

// backOffPolling schedules the next poll after a failed one.
func (b *Balancer) backOffPolling(now time.Duration) {
	delay := b.pollDelay/2 + time.Duration(b.random.Float64()*float64(b.pollDelay))
	b.host.SetTimer(now+delay, tokenPoll)
	b.pollDelay = min(2*b.pollDelay, b.settings.Rules.MaxPollInterval/maxDelayDivisor+minPollBackoff)
}

// scheduleFirstPoll schedules the poll that replaces a cached list. haveList says whether the cached list
// has any endpoints.
func (b *Balancer) scheduleFirstPoll(now time.Duration, haveList bool) {
	spread := firstPollSpread * time.Duration(b.settings.NodeCount)
	spread = min(spread, b.settings.Rules.MaxPollInterval/maxDelayDivisor)
	if !haveList {
		spread /= emptyListDivisor
	}
	b.host.SetTimer(now+time.Duration(b.random.Float64()*float64(spread)), tokenPoll)
}
