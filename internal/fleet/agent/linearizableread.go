package agent

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fleet/consensus"
)

// readRetryInterval is how often a linearizable read is repeated until the leader answers.
const readRetryInterval = 5 * consensus.Tick

// currentState is a linearizable read: it returns a state with everything that was committed before the call. The
// state that a voter has at hand may be older.
func (n *Node) currentState(ctx context.Context) (*consensus.State, error) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	firstRead := uint64(0)
	startRead := func() error {
		return n.withVoter(func(v *consensus.Voter) error {
			if id := v.StartRead(); firstRead == 0 {
				firstRead = id
			}
			return nil
		})
	}
	retry := time.NewTicker(readRetryInterval)
	defer retry.Stop()
	for err := startRead(); ; {
		if err != nil {
			return nil, err
		}
		s, changed := n.stateOfRead(firstRead)
		if s != nil {
			return s, nil
		}
		select {
		case <-changed:
		case <-retry.C:
			err = startRead()
		case <-ctx.Done():
			return nil, status.Error(codes.Unavailable, "no leader of the log answers") // another voter may have one
		}
	}
}

// stateOfRead returns the state once a read is done; nil before, with a channel that is closed when that may have
// changed.
func (n *Node) stateOfRead(read uint64) (*consensus.State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.voter == nil || !n.voter.ReadDone(read) {
		return nil, n.stateChanged
	}
	return n.voter.State(), nil
}
