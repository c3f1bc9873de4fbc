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

// A voter that starts on an older copy of its disk has forgotten its votes and promises, so it must not vote. Each
// voter counts its starts on its own disk, and records the latest start of every other voter that it has seen. Before
// a voter votes, half of the others have to admit it. A voter of which any other has seen a later start stays a
// follower.

// helloTimeout is how long one attempt to be admitted by another voter takes at most.
const helloTimeout = time.Second

// AdmissionReply is a voter's answer to another voter's start.
type AdmissionReply struct {
	Admitted bool             `json:"ok"`
	Latest   store.VoterStart `json:"latest"` // start that the voter has seen
}

// staleDiskError is why a voter that runs on an older copy of its disk doesn't vote.
type staleDiskError struct {
	dir         string
	own, latest uint64 // counts of starts
}

func (e *staleDiskError) Error() string {
	return fmt.Sprintf("%s: an old copy of this voter's disk: it is at start %d, and another voter has met start %d",
		e.dir, e.own, e.latest)
}

// serveHello admits another voter's start, unless this voter has seen a later one.
func (n *Node) serveHello(_ context.Context, start *store.VoterStart) (*AdmissionReply, error) {
	if !slices.ContainsFunc(n.Voters, func(v VoterAddress) bool { return v.Name == start.Name }) {
		name := start.Name[:min(len(start.Name), consensus.MaxName)]
		return nil, status.Errorf(codes.InvalidArgument, "%q is no voter of this fleet", name)
	}
	admitted, latest, err := n.store.RecordStart(*start)
	if err != nil {
		return nil, err
	}
	return &AdmissionReply{admitted, latest}, nil
}

// waitForAdmission has the other voters waitForAdmission this start of the voter. It returns false if one refused, or the node stops.
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

// requestAdmission sends this start to another voter until that admits it, or refuses it, which ends this node's voting.
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
