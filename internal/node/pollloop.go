// This file has the loop that polls one address, with the handling of responses and failures.

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"yokestall/internal/discovery"
	"yokestall/policy"
)

const (
	// minPollInterval limits the rate of polls if the discovery service responds without waiting for a change.
	minPollInterval = 20 * time.Millisecond
	// warningInterval is the shortest interval between two logged failures of polls.
	warningInterval = time.Second
)

// pollLoop polls one source, one poll at a time, until its context is done or another source has replaced the source.
type pollLoop struct {
	watcher *endpointWatcher
	source  *discoverySource
	// immediate reports that the next poll starts without waiting for schedule.
	immediate  bool
	schedule   retrySchedule     // schedules the polls after failures of the current source of a shared service
	backoff    discovery.Backoff // schedules the polls after all other failures
	lastFailed bool              // whether the last poll failed
	warnedAt   time.Time         // when a failed poll was last logged
}

// newPollLoop returns a loop whose first poll starts at once if immediate is set, and otherwise at the policy's request.
func newPollLoop(watcher *endpointWatcher, source *discoverySource, immediate bool) *pollLoop {
	return &pollLoop{
		watcher:   watcher,
		source:    source,
		immediate: immediate,
		schedule:  retrySchedule{pollRequested: watcher.pollRequested, retryInterval: watcher.timing.RetryInterval},
		backoff:   watcher.timing.Backoff,
	}
}

// run polls until ctx is done or the source has been replaced.
func (l *pollLoop) run(ctx context.Context) {
	defer l.source.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if !l.immediate {
			l.schedule.wait(ctx)
			if ctx.Err() != nil {
				return
			}
		}
		startedAt := time.Now()
		response, err := l.watcher.poll(ctx, l.source, l.lastFailed)
		if ctx.Err() != nil {
			return
		}
		l.lastFailed = err != nil
		if err != nil {
			l.handleFailure(ctx, err)
			continue
		}
		if !l.watcher.applyResponse(l.source, response) {
			return
		}
		l.handleSuccess(ctx, response, startedAt)
	}
}

// handleSuccess reports that the node is ready, unless the response is incomplete and the list has no endpoint to which
// requests may be sent. If the poll took less than minPollInterval, handleSuccess pauses for minPollInterval.
func (l *pollLoop) handleSuccess(ctx context.Context, response *discovery.Response, startedAt time.Time) {
	if response.Incomplete == nil || l.watcher.hasReadyEndpoint() {
		l.watcher.ready()
	}
	l.backoff.Reset()
	l.immediate = true
	if time.Since(startedAt) < minPollInterval {
		pause(ctx, minPollInterval)
	}
}

// handleFailure decides when the next poll starts. If the discovery service is shared and the source is the current one, the
// schedule decides. Otherwise the poll starts after a backoff, for which handleFailure waits.
func (l *pollLoop) handleFailure(ctx context.Context, err error) {
	l.warn(err)
	l.source.client.CloseIdleConnections() // they may have failed like the connection of the poll
	if l.watcher.sharedDiscovery && l.watcher.isCurrent(l.source) {
		l.immediate = false
		if l.schedule.pollFailed() {
			l.watcher.sink.UpdateEndpoints(policy.UpdateFailed, nil)
		}
		return
	}
	pause(ctx, l.backoff.Next(rand.Float64()))
}

// warn logs a failed poll, at most once per warningInterval.
func (l *pollLoop) warn(err error) {
	now := time.Now()
	if now.Sub(l.warnedAt) < warningInterval {
		return
	}
	l.warnedAt = now
	l.watcher.log.Warn("discovery poll failed", "url", l.source.url, "err", err)
}

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
