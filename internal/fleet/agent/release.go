package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/cluster"
	"yokestall/internal/fleet/consensus"
)

// ReleaseCommand is an operator's command: it starts a release, acts on the one that goes on, or, empty, requests its
// progress.
type ReleaseCommand struct {
	Start  *consensus.Release      `json:"begin,omitempty"`
	Action consensus.ReleaseAction `json:"word,omitempty"` // PauseRelease, ResumeRelease or AbortRelease
	Reason string                  `json:"why,omitempty"`
}

// ReleaseReply is the progress of a release after a command.
type ReleaseReply struct {
	Error    string                     `json:"error,omitempty"`
	Progress *consensus.ReleaseProgress `json:"progress,omitempty"`
}

// ControlRelease sends an operator's command to the first voter that answers.
func (c *Client) ControlRelease(ctx context.Context, command ReleaseCommand) (*ReleaseReply, error) {
	send := func(ctx context.Context, conn *Conn) (*ReleaseReply, error) {
		return call[ReleaseReply](ctx, conn, methodRelease, command)
	}
	return firstAnswer(ctx, slices.Values(c.conns), publishTimeout+statusTimeout, ErrNoQuorum, send)
}

// serveReleaseCommand carries out an operator's command on releases.
func (n *Node) serveReleaseCommand(ctx context.Context, command *ReleaseCommand) (*ReleaseReply, error) {
	if command.Start == nil && command.Action == "" {
		return n.releaseProgress(ctx)
	}
	s, err := n.currentState(ctx)
	switch {
	case err != nil:
		return nil, err
	case command.Start != nil:
		return n.startRelease(ctx, s, command.Start)
	case s.Release == nil || s.Release.Ended():
		return &ReleaseReply{Error: "no release goes on", Progress: s.Release}, nil
	}
	return n.changeRelease(ctx, s.Release, command)
}

// releaseProgress returns the progress of the latest release; if no leader answers, as far as this node has applied the
// log.
func (n *Node) releaseProgress(ctx context.Context) (*ReleaseReply, error) {
	s, err := n.currentState(ctx)
	if err != nil {
		if s = n.state(); s == nil {
			return nil, err
		}
	}
	if s.Release == nil {
		return &ReleaseReply{Error: "no release goes on"}, nil
	}
	return &ReleaseReply{Progress: s.Release}, nil
}

// startRelease starts a release by the version in force, unless another one goes on.
func (n *Node) startRelease(ctx context.Context, s *consensus.State, r *consensus.Release) (*ReleaseReply, error) {
	if err := r.Check(); err != nil {
		return &ReleaseReply{Error: err.Error()}, nil
	}
	if p := s.Release; p != nil && !p.Ended() && p.Release.ID != r.ID {
		return &ReleaseReply{Error: fmt.Sprintf("the release %s goes on", p.Release.ID), Progress: p}, nil
	}
	v, err := n.versionInLog(ctx, s, s.ActiveVersion)
	if err != nil {
		return &ReleaseReply{Error: err.Error()}, nil
	}
	if err := checkFeasible(r, v.Clusters[r.Cluster]); err != nil {
		return &ReleaseReply{Error: err.Error()}, nil
	}
	started := func(p *consensus.ReleaseProgress) bool { return p != nil && p.Release.ID == r.ID }
	return n.proposeUntil(ctx, &consensus.Entry{Release: r}, started)
}

// changeRelease pauses, resumes or aborts the release that goes on.
func (n *Node) changeRelease(
	ctx context.Context, current *consensus.ReleaseProgress, command *ReleaseCommand,
) (*ReleaseReply, error) {
	var done func(p *consensus.ReleaseProgress) bool
	switch command.Action {
	case consensus.PauseRelease:
		done = func(p *consensus.ReleaseProgress) bool { return p.Paused }
	case consensus.ResumeRelease:
		done = func(p *consensus.ReleaseProgress) bool { return !p.Paused }
	case consensus.AbortRelease:
		done = func(p *consensus.ReleaseProgress) bool { return p.StopReason != "" }
	default:
		return nil, status.Errorf(codes.InvalidArgument, "%q is no word on a release", command.Action)
	}
	update := &consensus.ReleaseUpdate{ID: current.Release.ID, Action: command.Action, Reason: command.Reason}
	applied := func(p *consensus.ReleaseProgress) bool { return p.Ended() || done(p) }
	return n.proposeUntil(ctx, &consensus.Entry{ReleaseUpdate: update}, applied)
}

// proposeUntil proposes an entry until the release in the log shows that it was applied.
func (n *Node) proposeUntil(
	ctx context.Context, e *consensus.Entry, done func(p *consensus.ReleaseProgress) bool,
) (*ReleaseReply, error) {
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	retry := time.NewTicker(proposalRetryInterval)
	defer retry.Stop()
	err := n.propose(e)
	for {
		s, changed := n.stateAndChange()
		if s != nil && done(s.Release) {
			return &ReleaseReply{Progress: s.Release}, nil
		}
		select {
		case <-changed:
		case <-retry.C:
			err = n.propose(e)
		case <-ctx.Done():
			err = errors.Join(err, ctx.Err())
			return &ReleaseReply{Error: fmt.Sprintf("it is not known whether it was taken up: %v", err)}, nil
		}
	}
}

// checkFeasible returns why a release can't start: a server that isn't in use, or a wave that leaves fewer servers in
// use than the floor, here a share of the servers in use. The release itself counts all listed servers (waveChange).
func checkFeasible(r *consensus.Release, c *cluster.Config) error {
	if c == nil {
		return fmt.Errorf("cluster: there is no %s in the version in force", r.Cluster)
	}
	serving := countServing(c)
	for i, wave := range r.Waves {
		for _, id := range wave {
			if e := findEndpoint(c, id); e == nil || !e.Serves() {
				return fmt.Errorf("waves: the %d. names %s, which is not in use in the version in force", i+1, id)
			}
		}
		if left := serving - len(wave); float64(left) < r.Floor*float64(serving) {
			return fmt.Errorf("floor: with the %d. wave out %d of %d servers are in use, and %.0f %% are wanted",
				i+1, left, serving, 100*r.Floor)
		}
	}
	return nil
}

// findEndpoint returns a cluster's server by its id; nil if there is none.
func findEndpoint(c *cluster.Config, id string) *cluster.Endpoint {
	byID := func(e cluster.Endpoint, id string) int { return cmp.Compare(e.ID, id) }
	at, found := slices.BinarySearchFunc(c.Endpoints, id, byID)
	if !found {
		return nil
	}
	return &c.Endpoints[at]
}

// countServing returns how many servers of a cluster are in use.
func countServing(c *cluster.Config) (serving int) {
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			serving++
		}
	}
	return serving
}
