package versions

import (
	"context"
	"sync"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleet/agent"
)

const (
	ownershipPollInterval = 20 * time.Millisecond
	// ownershipPollTimeout is long enough for the answer of a process that was paused during the poll and then resumed.
	ownershipPollTimeout = 4 * time.Second
	maxOwnershipPolls    = 64 // polls of each voter that are open at once
)

// pollOwnership polls a voter for its ownership of the release task until ctx ends. While maxOwnershipPolls polls are
// open, it skips polls.
func (r *run) pollOwnership(ctx context.Context, voter int) {
	ticker := time.NewTicker(ownershipPollInterval)
	defer ticker.Stop()
	open := make(chan struct{}, maxOwnershipPolls)
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case open <- struct{}{}:
		default:
			continue
		}
		polls.Go(func() {
			defer func() { <-open }()
			r.pollOwner(ctx, voter)
		})
	}
}

// pollOwner polls a voter once, and records the answer if the voter owns the release task.
func (r *run) pollOwner(ctx context.Context, voter int) {
	ctx, cancel := context.WithTimeout(ctx, ownershipPollTimeout)
	defer cancel()
	sentAt := r.rig.Record.Since()
	token, err := r.agent.OwnershipToken(ctx, voter, agent.ReleaseTask)
	if err == nil && token > 0 {
		r.rig.Record.Add(fleet.Event{Kind: fleet.OwnerAnswered, Party: voter, Reference: sentAt, Version: int(token)})
	}
}
