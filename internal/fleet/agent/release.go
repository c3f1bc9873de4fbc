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

// ReleaseCommand is an operator's command. With Start, it starts a release; with Action, it acts on the release in
// progress; with neither, it requests the progress of the latest release.
type ReleaseCommand struct {
	Start  *consensus.Release      `json:"begin,omitempty"`
	Action consensus.ReleaseAction `json:"word,omitempty"` // PauseRelease, ResumeRelease or AbortRelease
	Reason string                  `json:"why,omitempty"`  // operator's reason for the action
}

// ReleaseReply is the reply to a ReleaseCommand: an error, or the progress of the release, or both.
type ReleaseReply struct {
	Error    string                     `json:"error,omitempty"`
	Progress *consensus.ReleaseProgress `json:"progress,omitempty"`
}

// ControlRelease sends an operator's command to one voter after the other until one of them replies.
func (c *Client) ControlRelease(ctx context.Context, command ReleaseCommand) (*ReleaseReply, error) {
	send := func(ctx context.Context, conn *Conn) (*ReleaseReply, error) {
		return call[ReleaseReply](ctx, conn, methodRelease, command)
	}
	return firstAnswer(ctx, slices.Values(c.conns), publishTimeout+statusTimeout, ErrNoQuorum, send)
}

// serveReleaseCommand executes an operator's command on releases.
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
		return &ReleaseReply{Error: "no release is in progress", Progress: s.Release}, nil
	}
	return n.changeRelease(ctx, s.Release, command)
}

// releaseProgress returns the progress of the latest release. If no leader answers, it returns the progress in the part
// of the log that this node has applied.
func (n *Node) releaseProgress(ctx context.Context) (*ReleaseReply, error) {
	s, err := n.currentState(ctx)
	if err != nil {
		if s = n.state(); s == nil {
			return nil, err
		}
	}
	if s.Release == nil {
		return &ReleaseReply{Error: "no release is in progress"}, nil
	}
	return &ReleaseReply{Progress: s.Release}, nil
}

// startRelease starts a release if it is feasible in the version in force and no other release is in progress.
func (n *Node) startRelease(ctx context.Context, s *consensus.State, r *consensus.Release) (*ReleaseReply, error) {
	if err := r.Check(); err != nil {
		return &ReleaseReply{Error: err.Error()}, nil
	}
	if p := s.Release; p != nil && !p.Ended() && p.Release.ID != r.ID {
		return &ReleaseReply{Error: fmt.Sprintf("release %s is still in progress", p.Release.ID), Progress: p}, nil
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

// changeRelease pauses, resumes or aborts the release in progress.
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
		return nil, status.Errorf(codes.InvalidArgument,
			"unknown release action %q; allowed are pause, resume and abort", command.Action)
	}
	update := &consensus.ReleaseUpdate{ID: current.Release.ID, Action: command.Action, Reason: command.Reason}
	applied := func(p *consensus.ReleaseProgress) bool { return p.Ended() || done(p) }
	return n.proposeUntil(ctx, &consensus.Entry{ReleaseUpdate: update}, applied)
}

// proposeUntil proposes an entry repeatedly until done reports that the release in the log shows the entry's effect, or
// publishTimeout has passed.
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
			return &ReleaseReply{Error: fmt.Sprintf("timed out before the log showed the command's effect: %v", err)}, nil
		}
	}
}

// checkFeasible returns an error if a release can't start: because the cluster doesn't exist, a wave names an endpoint
// that is not in use, or a wave leaves fewer endpoints in use than the floor allows. Here the floor is a share of the
// endpoints that are in use; waveChange, during the release, takes it as a share of all endpoints in the list.
func checkFeasible(r *consensus.Release, c *cluster.Config) error {
	if c == nil {
		return fmt.Errorf("cluster: the version in force has no cluster %s", r.Cluster)
	}
	serving := countServing(c)
	for i, wave := range r.Waves {
		for _, id := range wave {
			if e := findEndpoint(c, id); e == nil || !e.Serves() {
				return fmt.Errorf("waves: wave %d names the endpoint %s, which is not in use in the version in force", i+1, id)
			}
		}
		if left := serving - len(wave); float64(left) < r.Floor*float64(serving) {
			return fmt.Errorf("floor: taking wave %d out leaves %d of the %d endpoints that are in use now; the floor is %.0f %%",
				i+1, left, serving, 100*r.Floor)
		}
	}
	return nil
}

// findEndpoint returns a cluster's endpoint by its id, which the cluster's endpoints are sorted by; nil if there is none.
func findEndpoint(c *cluster.Config, id string) *cluster.Endpoint {
	byID := func(e cluster.Endpoint, id string) int { return cmp.Compare(e.ID, id) }
	at, found := slices.BinarySearchFunc(c.Endpoints, id, byID)
	if !found {
		return nil
	}
	return &c.Endpoints[at]
}

// countServing returns how many endpoints of a cluster are in use.
func countServing(c *cluster.Config) (serving int) {
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			serving++
		}
	}
	return serving
}
