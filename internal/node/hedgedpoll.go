// This file has a single poll of an address: the choice of the request, and the calls that the poll makes.

package node

import (
	"context"
	"time"

	"yokestall/internal/discovery"
)

// minPollWait is the shortest wait that a call requests. With it the service responds without waiting for a change.
const minPollWait = time.Millisecond

// fetchResult is the outcome of one call.
type fetchResult struct {
	response *discovery.Response
	err      error
}

// poll requests from a source the changes since its list, or the full list, and returns the first response of its calls.
// An overdue call is hedged, on the schedule of discovery.Poll. If no call succeeds, poll returns the error of the call
// that failed last, or that of ctx. afterFailure says that the source's previous poll failed.
func (w *endpointWatcher) poll(
	ctx context.Context, source *discoverySource, afterFailure bool,
) (*discovery.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the calls whose results are no longer needed
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

// nextRequest returns what the next poll of a source requests, and how long the service may wait for a change. The poll
// requests the full list if the source has no list to continue from (neither one that it returned nor, for the first source,
// the initial list), or if a resync is due. After a failure the poll does not wait for a change, since a call that waits does
// not show whether the service can be reached. Neither does it wait before the first list has been published.
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
