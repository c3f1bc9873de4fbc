// The loop that polls one address: what follows a response, and what follows a failure.

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"yokestall/internal/discovery"
	"yokestall/policy"
)

const (
	// minPollInterval bounds the rate of polls of a service that responds without waiting.
	minPollInterval = 20 * time.Millisecond
	// warningInterval is the shortest interval between warnings of failed polls.
	warningInterval = time.Second
)

// pollLoop polls one source, one poll at a time, until its context ends or another source has replaced it.
type pollLoop struct {
	watcher *endpointWatcher
	source  *discoverySource
	// immediate reports that the next poll does not wait for its time in schedule.
	immediate bool
	schedule  retrySchedule     // of a polled list
	backoff   discovery.Backoff // of failed polls that have no place in schedule
	// lastFailed reports that the last poll failed.
	lastFailed bool
	warnedAt   time.Time // when a failed poll was last logged
}

// newPollLoop returns a loop that begins with a poll at once, or with one that waits for the policy's request.
func newPollLoop(watcher *endpointWatcher, source *discoverySource, immediate bool) *pollLoop {
	return &pollLoop{
		watcher:   watcher,
		source:    source,
		immediate: immediate,
		schedule:  retrySchedule{pollRequested: watcher.pollRequested, retryInterval: watcher.timing.RetryInterval},
		backoff:   watcher.timing.Backoff,
	}
}

// run polls until the context ends, or the source is replaced.
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

// handleSuccess reports the node ready, unless the list is incomplete and has no endpoint that may get requests.
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

// handleFailure decides when the next poll starts: by the schedule where the list is polled and the source is the
// current one, and otherwise after a backoff, which this waits for.
func (l *pollLoop) handleFailure(ctx context.Context, err error) {
	l.warn(err)
	l.source.client.CloseIdleConnections() // they may have failed like the one of the poll
	if l.watcher.polled && l.watcher.isCurrent(l.source) {
		l.immediate = false
		if l.schedule.failed() {
			l.watcher.sink.UpdateEndpoints(policy.UpdateFailed, nil)
		}
		return
	}
	pause(ctx, l.backoff.Next(rand.Float64()))
}

// warn logs a failed poll, at most once in a warningInterval.
func (l *pollLoop) warn(err error) {
	now := time.Now()
	if now.Sub(l.warnedAt) < warningInterval {
		return
	}
	l.warnedAt = now
	l.watcher.log.Warn("discovery poll failed", "url", l.source.url, "err", err)
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
