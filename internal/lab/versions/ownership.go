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
	// ownershipPollTimeout is long enough for an answer of a process that was stopped, and goes on.
	ownershipPollTimeout = 4 * time.Second
	maxOwnershipPolls    = 64 // open at once, for each voter
)

// pollOwnership polls whether a voter owns the releases, until ctx ends, and records the answers of an owner.
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

// pollOwner asks a voter once.
func (r *run) pollOwner(ctx context.Context, voter int) {
	ctx, cancel := context.WithTimeout(ctx, ownershipPollTimeout)
	defer cancel()
	askedAt := r.rig.Record.Since()
	token, err := r.agent.OwnershipToken(ctx, voter, agent.ReleaseTask)
	if err == nil && token > 0 {
		r.rig.Record.Add(fleet.Event{What: fleet.Owned, Who: voter, By: askedAt, Stamp: int(token)})
	}
}
