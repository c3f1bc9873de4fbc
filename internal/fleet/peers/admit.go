package peers

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fleet/agree"
	"yokestall/internal/fleet/store"
)

// A voter that came back on an older copy of its disk has forgotten whom it voted for and what it promised. Each start of a voter has a
// count, kept on its disk, and each voter keeps the latest start of the others that it has met: before it votes, a voter is admitted by
// half of the others, and one whom any of them has met in a later life votes no more.

// StartReply is a voter's answer to another one's start.
type StartReply struct {
	Admitted bool             `json:"ok"`
	Latest   store.VoterStart `json:"latest"`
}

func (n *Node) serveHello(_ context.Context, in *store.VoterStart) (*StartReply, error) {
	known := false
	for _, v := range n.Voters {
		known = known || v.Name == in.Name
	}
	if !known {
		return nil, status.Errorf(codes.InvalidArgument, "%q is no voter of this fleet", in.Name[:min(len(in.Name), agree.MaxName)])
	}
	ok, latest, err := n.store.RecordStart(*in)
	if err != nil {
		return nil, err
	}
	return &StartReply{ok, latest}, nil
}

// admit has the others meet this start of the voter; false: it may not vote, or the node ends.
func (n *Node) admit() bool {
	need := (len(n.conns) + 1) / 2
	met := make(chan bool, len(n.conns))
	for _, c := range n.conns {
		n.background.Go(func() { met <- n.introduce(c) })
	}
	for need > 0 {
		select {
		case ok := <-met:
			if !ok {
				return false
			}
			need--
		case <-n.ctx.Done():
			return false
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.voter, n.unadmitted = n.unadmitted, nil
	return n.voter != nil
}

// introduce goes on until another voter has said whether it has met a later life of this one.
func (n *Node) introduce(c *Conn) bool {
	for n.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(n.ctx, time.Second)
		m, err := call[StartReply](ctx, c, "Hello", n.ownStart)
		stop()
		switch {
		case err == nil && m.Admitted:
			return true
		case err == nil:
			n.mu.Lock()
			n.stopVoting(fmt.Errorf("%s: an old copy of this voter's disk: it is at start %d, and another voter has met start %d", n.Dir, n.ownStart.Count, m.Latest.Count))
			n.mu.Unlock()
			return false
		}
		n.sleep(minDialBackoff)
	}
	return false
}
