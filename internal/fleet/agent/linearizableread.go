package agent

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fleet/consensus"
)

// readRetryInterval is the time between two attempts of a linearizable read, until the leader answers one of them.
const readRetryInterval = 5 * consensus.Tick

// currentState does a linearizable read: it returns a state that includes everything that was committed before the call.
// The state that a voter has without a linearizable read may be older, since the voter may lag behind the log.
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
			// The client can retry at another voter, which may be connected to a leader.
			return nil, status.Error(codes.Unavailable, "linearizable read not completed: no leader of the log answered")
		}
	}
}

// stateOfRead returns the state if a read is done. Otherwise it returns nil, and a channel that is closed when the read
// may be done.
func (n *Node) stateOfRead(read uint64) (*consensus.State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.voter == nil || !n.voter.ReadDone(read) {
		return nil, n.stateChanged
	}
	return n.voter.State(), nil
}
