package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/store"
)

// A voter that starts on an older copy of its disk has lost votes that it cast and log entries that it acknowledged, so
// it must not vote. Each voter counts its starts on its own disk, and records the latest start that it has seen of every
// other voter. Before a voter votes, at least half of the other voters have to admit its start. A voter
// does not vote, or stops voting, if any other voter has seen a later start of it, or a start of the same number from
// another copy of the disk.

// helloTimeout is the timeout of one call that asks another voter for admission.
const helloTimeout = time.Second

// AdmissionReply says whether a voter admits another voter's start.
type AdmissionReply struct {
	Admitted bool             `json:"ok"`
	Latest   store.VoterStart `json:"latest"` // latest start that the replying voter has seen of the other voter
}

// staleDiskError is the error of a voter that does not vote because it runs on an older copy of its disk.
type staleDiskError struct {
	dir         string
	own, latest uint64 // numbers of starts: as this disk counts them, and as another voter has recorded them
}

func (e *staleDiskError) Error() string {
	return fmt.Sprintf(
		"%s: an old copy of this voter's disk, not voting: start %d here, a voter saw start %d of another copy; use the latest",
		e.dir, e.own, e.latest)
}

// serveHello admits another voter's start, unless this voter has already recorded a later start of that voter, or the
// same start number with another nonce.
func (n *Node) serveHello(_ context.Context, start *store.VoterStart) (*AdmissionReply, error) {
	if !slices.ContainsFunc(n.Voters, func(v VoterAddress) bool { return v.Name == start.Name }) {
		name := start.Name[:min(len(start.Name), consensus.MaxNameBytes)]
		return nil, status.Errorf(codes.InvalidArgument, "%q is not a voter of this fleet", name)
	}
	admitted, latest, err := n.store.RecordStart(*start)
	if err != nil {
		return nil, err
	}
	return &AdmissionReply{admitted, latest}, nil
}

// waitForAdmission asks the other voters to admit this start, and makes the node a voter once at least half of them have
// done so. It returns false if a voter refuses or the node stops.
func (n *Node) waitForAdmission() bool {
	needed := (len(n.conns) + 1) / 2
	replies := make(chan bool, len(n.conns))
	for _, c := range n.conns {
		n.background.Go(func() { replies <- n.requestAdmission(c) })
	}
	for needed > 0 {
		select {
		case admitted := <-replies:
			if !admitted {
				return false
			}
			needed--
		case <-n.ctx.Done():
			return false
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.voter, n.unadmitted = n.unadmitted, nil
	return n.voter != nil
}

// requestAdmission sends this start to another voter until that voter admits or refuses it. A refusal makes this node
// stop voting, even if enough other voters have admitted it before.
func (n *Node) requestAdmission(c *Conn) bool {
	for n.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(n.ctx, helloTimeout)
		reply, err := call[AdmissionReply](ctx, c, methodHello, n.ownStart)
		stop()
		if err != nil {
			n.sleep(minDialBackoff)
			continue
		}
		if !reply.Admitted {
			n.mu.Lock()
			n.stopVoting(&staleDiskError{n.Dir, n.ownStart.Count, reply.Latest.Count})
			n.mu.Unlock()
		}
		return reply.Admitted
	}
	return false
}
