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
	"yokestall/internal/config"
	"yokestall/internal/fleet/consensus"
)

// ReleaseCommand is an operator's command: it starts a release, acts on the one that goes on, or, empty, asks for its
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

// releasePollInterval is how often the owner of releases checks whether a phase is over.
const releasePollInterval = 50 * time.Millisecond

// ControlRelease sends an operator's command to the first voter that answers.
func (c *Client) ControlRelease(ctx context.Context, command ReleaseCommand) (*ReleaseReply, error) {
	return firstAnswer(ctx, slices.Values(c.conns), publishTimeout+statusTimeout, ErrNoQuorum, func(ctx context.Context, conn *Conn) (*ReleaseReply, error) {
		return call[ReleaseReply](ctx, conn, methodRelease, command)
	})
}

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

// releaseProgress returns the progress of the latest release, as far as this node knows if no leader answers.
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

func (n *Node) changeRelease(ctx context.Context, current *consensus.ReleaseProgress, command *ReleaseCommand) (*ReleaseReply, error) {
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
	return n.proposeUntil(ctx, &consensus.Entry{ReleaseUpdate: update}, func(p *consensus.ReleaseProgress) bool { return p.Ended() || done(p) })
}

// proposeUntil proposes an entry until the release in the log shows that it was applied.
func (n *Node) proposeUntil(ctx context.Context, e *consensus.Entry, done func(p *consensus.ReleaseProgress) bool) (*ReleaseReply, error) {
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	again := time.NewTicker(proposeAgain)
	defer again.Stop()
	err := n.propose(e)
	for {
		s, changed := n.stateAndChange()
		if s != nil && done(s.Release) {
			return &ReleaseReply{Progress: s.Release}, nil
		}
		select {
		case <-changed:
		case <-again.C:
			err = n.propose(e)
		case <-ctx.Done():
			return &ReleaseReply{Error: fmt.Sprintf("it is not known whether it was taken up: %v", errors.Join(err, ctx.Err()))}, nil
		}
	}
}

// checkFeasible returns why a release can't start: a server that isn't in use, or a floor that can't be held.
func checkFeasible(r *consensus.Release, c *cluster.Cluster) error {
	if c == nil {
		return fmt.Errorf("cluster: there is no %s in the version in force", r.Cluster)
	}
	serving := countServing(c)
	for i, wave := range r.Waves {
		for _, id := range wave {
			if e := findServer(c, id); e == nil || !e.Serves() {
				return fmt.Errorf("waves: the %d. names %s, which is not in use in the version in force", i+1, id)
			}
		}
		if left := serving - len(wave); float64(left) < r.Floor*float64(serving) {
			return fmt.Errorf("floor: with the %d. wave out %d of %d servers are in use, and %.0f %% are wanted", i+1, left, serving, 100*r.Floor)
		}
	}
	return nil
}

// findServer returns a cluster's server by its id; nil if there is none.
func findServer(c *cluster.Cluster, id string) *cluster.Endpoint {
	at, found := slices.BinarySearchFunc(c.Endpoints, id, func(e cluster.Endpoint, id string) int { return cmp.Compare(e.ID, id) })
	if !found {
		return nil
	}
	return &c.Endpoints[at]
}

// countServing returns how many servers of a cluster are in use.
func countServing(c *cluster.Cluster) (serving int) {
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			serving++
		}
	}
	return serving
}

// currentPhase is the phase that the owner of releases works on.
type currentPhase struct {
	token   uint64 // by which this node owns releases
	release string
	wave    int
	phase   consensus.Phase
}

// runReleases carries out releases while this node owns that task, until the node stops.
func (n *Node) runReleases() {
	var current currentPhase
	var since time.Duration
	poll := time.NewTicker(releasePollInterval)
	defer poll.Stop()
	for {
		s, changed := n.stateAndChange()
		var tick <-chan time.Time // phases end by the clock
		if s != nil && s.Release != nil && !s.Release.Ended() {
			tick = poll.C
		}
		select {
		case <-n.ctx.Done():
			return
		case <-changed:
			continue
		case <-tick:
		}
		token, ok := n.Owns(ReleaseTask)
		if !ok {
			current = currentPhase{}
			continue
		}
		p := s.Release
		if now := (currentPhase{token, p.Release.ID, p.Wave, p.Phase}); now != current {
			// A new owner measures a phase from when it took over: the phase may last longer than asked for, never shorter.
			current, since = now, n.Clock()
		}
		n.runPhase(s, token, since)
	}
}

// runPhase does what the present phase needs, and proposes the next one when it is over.
func (n *Node) runPhase(s *consensus.State, token uint64, since time.Duration) {
	p := s.Release
	update := &consensus.ReleaseUpdate{ID: p.Release.ID, Wave: p.Wave, Phase: p.Phase, Action: consensus.AdvanceRelease}
	over, err := n.phaseOver(s, since)
	switch {
	case err != nil:
		n.Log.Error("a release stops", "release", p.Release.ID, "wave", p.Wave, "phase", p.Phase.String(), "err", err)
		update.Action, update.Reason = consensus.FailRelease, err.Error()
		n.propose(&consensus.Entry{ReleaseUpdate: update})
	case over && n.stillOwnsReleases(token):
		n.propose(&consensus.Entry{ReleaseUpdate: update})
	}
}

// stillOwnsReleases reports whether this node owns releases by a token. It is called right before the node does
// something by it.
func (n *Node) stillOwnsReleases(token uint64) bool {
	now, ok := n.Owns(ReleaseTask)
	return ok && now == token
}

// phaseOver reports whether the present phase is over. A phase that takes effect by a version publishes that version
// first.
func (n *Node) phaseOver(s *consensus.State, since time.Duration) (bool, error) {
	p := s.Release
	if p.Phase != consensus.TakingOut && p.Phase != consensus.PuttingBack {
		return !p.Paused && n.Clock()-since >= p.PhaseDuration(), nil
	}
	if p.Paused && p.Phase == consensus.TakingOut {
		return false, nil
	}
	if m := s.Published(p.PublishID()); m != nil {
		if m.RefusalReason != "" {
			return false, errors.New(m.RefusalReason)
		}
		return s.ActiveVersion >= m.Number && s.PendingVersion != m.Number, nil
	}
	v, err := n.versionInLog(n.ctx, s, s.ActiveVersion)
	if err != nil {
		return false, nil // its content is still being fetched
	}
	change, err := waveChange(v.Clusters[p.Cluster], p, time.Now())
	if err != nil {
		return false, err
	}
	if change == nil {
		return true, nil
	}
	if n.stillOwnsReleases(s.Tasks[ReleaseTask].Token) {
		n.publishWave(p.PublishID(), s.ActiveVersion, *change)
	}
	return false, nil
}

// publishWave publishes the version by which a phase takes effect. Its id makes it one version whichever owner
// publishes it, also one whose time is past; and it is made from the active version, or refused.
func (n *Node) publishWave(id string, base uint64, change config.File) {
	ctx, stop := context.WithTimeout(n.ctx, statusTimeout)
	defer stop()
	c, err := NewClient(n.Fleet, n.Voters, n.ClientTLS)
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := c.PublishChange(ctx, id, base, change); err != nil {
		n.Log.Warn("a release's version is not taken yet", "id", id, "err", err)
	}
}

// waveChange returns the change by which the present phase takes effect: the wave's servers are taken out, or put
// back as started now. A server that left the list, or that an operator took out, stays as it is. It returns nil if
// there is nothing to change, and an error if fewer servers than the floor would be left in use.
func waveChange(c *cluster.Cluster, p *consensus.ReleaseProgress, now time.Time) (*config.File, error) {
	if c == nil {
		return nil, fmt.Errorf("cluster %s is gone", p.Cluster)
	}
	changed := cluster.Cluster{Name: c.Name}
	for _, id := range p.Waves[p.Wave] {
		found := findServer(c, id)
		if found == nil {
			continue
		}
		e := *found
		switch {
		case p.Phase == consensus.TakingOut && e.Serves():
			e.Health = cluster.Draining
		case p.Phase == consensus.PuttingBack && e.Health == cluster.Draining:
			e.Health, e.Started = cluster.Healthy, now.UnixMilli()
		default:
			continue
		}
		changed.Endpoints = append(changed.Endpoints, e)
	}
	if len(changed.Endpoints) == 0 {
		return nil, nil
	}
	left, all := countServing(c)-len(changed.Endpoints), len(c.Endpoints)
	if p.Phase == consensus.TakingOut && float64(left) < p.Floor*float64(all) {
		return nil, fmt.Errorf("with the %d. wave out %d of %d servers are in use, and the floor is %.0f %%", p.Wave+1, left, all, 100*p.Floor)
	}
	return &config.File{Name: p.PublishID(), Text: config.FormatChange(&changed)}, nil
}
