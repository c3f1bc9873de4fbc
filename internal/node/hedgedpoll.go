// One poll of an address: what it asks for, and its calls.

package node

import (
	"context"
	"time"

	"yokestall/internal/discovery"
)

// minPollWait is the shortest wait that a call asks for. The service then responds at once.
const minPollWait = time.Millisecond

// fetchResult is the outcome of one call.
type fetchResult struct {
	response *discovery.Response
	err      error
}

// poll asks a source for what is newer than its list, or for the full list, and returns the first response of its
// calls. An overdue call is hedged as discovery.Poll says. The error is that of the call that failed last, or the
// context's. afterFailure reports that the source's previous poll failed.
func (w *endpointWatcher) poll(
	ctx context.Context, source *discoverySource, afterFailure bool,
) (*discovery.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the calls whose results are no longer needed
	request, wait := w.nextRequest(source, afterFailure)
	results := make(chan fetchResult, w.timing.MaxCalls)
	startCall := func(wait, timeout time.Duration) {
		go func() {
			response, err := source.fetch(ctx, request, wait, timeout)
			results <- fetchResult{response, err}
		}()
	}
	startedAt := time.Now()
	schedule, timeout := w.timing.StartPoll(wait)
	startCall(wait, timeout)
	hedge := time.NewTimer(schedule.NextHedge())
	defer hedge.Stop()
	for {
		select {
		case result := <-results:
			if result.err == nil || schedule.CallFailed() {
				return result.response, result.err
			}
		case <-hedge.C:
			if schedule.StartHedge(time.Since(startedAt)) {
				startCall(minPollWait, w.timing.HedgeTimeout)
			}
			hedge.Reset(schedule.NextHedge() - time.Since(startedAt))
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// nextRequest decides what the next poll of a source asks for, and how long the service may wait for something newer.
// It asks for the full list if the source has given none, or if it is time for a resync. After a failure the poll does
// not wait for a change, since a call that waits does not show whether the service can be reached; nor does it before
// the first list was published.
func (w *endpointWatcher) nextRequest(
	source *discoverySource, afterFailure bool,
) (request listRequest, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	request = listRequest{full: !source.hasList, after: source.generation}
	wait = w.timing.LongPollWait
	if !w.resyncAt.IsZero() {
		wait = min(wait, time.Until(w.resyncAt))
		request.full = request.full || wait <= 0
	}
	if !w.published || request.full || afterFailure {
		wait = 0
	}
	return request, wait
}
