package peers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fleet/agree"
)

// ReleaseCommand is an operator's word on releases: one to begin, or a word on the one that goes on.
type ReleaseCommand struct {
	Start  *agree.Release `json:"begin,omitempty"`
	Action string         `json:"word,omitempty"` // "pause", "resume", "abort"; "": how it stands
	Reason string         `json:"why,omitempty"`
}

// ReleaseReply is how the release stands.
type ReleaseReply struct {
	Error    string                 `json:"error,omitempty"`
	Progress *agree.ReleaseProgress `json:"progress,omitempty"`
}

const releasePollInterval = 50 * time.Millisecond // how often an owner looks whether a phase is over

// serveReleaseCommand takes an operator's word.
func (n *Node) serveReleaseCommand(ctx context.Context, in *ReleaseCommand) (*ReleaseReply, error) {
	s, err := n.currentState(ctx)
	if asks := in.Start == nil && in.Action == ""; err != nil && asks && n.state() != nil {
		s, err = n.state(), nil // how it stands as far as is known here
	}
	switch {
	case err != nil:
		return nil, err
	case in.Start != nil:
		if err := in.Start.Check(); err != nil {
			return &ReleaseReply{Error: err.Error()}, nil
		}
		if p := s.Release; p != nil && p.Result == "" && p.Release.ID != in.Start.ID {
			return &ReleaseReply{Error: fmt.Sprintf("the release %s goes on", p.Release.ID), Progress: p}, nil
		}
		v, err := n.versionInLog(ctx, s, s.ActiveVersion)
		if err != nil {
			return &ReleaseReply{Error: err.Error()}, nil
		}
		if err := checkFeasible(in.Start, v.Clusters[in.Start.Cluster]); err != nil {
			return &ReleaseReply{Error: err.Error()}, nil
		}
		return n.proposeUntil(ctx, &agree.Entry{Release: in.Start}, func(p *agree.ReleaseProgress) bool { return p != nil && p.Release.ID == in.Start.ID })
	case s.Release == nil || s.Release.Result != "" && in.Action != "":
		return &ReleaseReply{Error: "no release goes on", Progress: s.Release}, nil
	case in.Action == "":
		return &ReleaseReply{Progress: s.Release}, nil
	case !slices.Contains([]string{"pause", "resume", "abort"}, in.Action):
		return nil, status.Errorf(codes.InvalidArgument, "%q is no word on a release", in.Action)
	}
	return n.proposeUntil(ctx, &agree.Entry{ReleaseUpdate: &agree.ReleaseUpdate{ID: s.Release.Release.ID, Action: in.Action, Reason: in.Reason}}, func(p *agree.ReleaseProgress) bool {
		return p.Result != "" || in.Action == "abort" && p.StopReason != "" || in.Action != "abort" && p.Paused == (in.Action == "pause")
	})
}

// proposeUntil proposes an entry until the log shows it.
func (n *Node) proposeUntil(ctx context.Context, e *agree.Entry, there func(p *agree.ReleaseProgress) bool) (*ReleaseReply, error) {
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	again := time.NewTicker(time.Second)
	defer again.Stop()
	err := n.propose(e)
	for {
		s, changed := n.stateAndChange()
		if s != nil && there(s.Release) {
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

// checkFeasible tells why a release can't be begun: a server that isn't in use, or a floor that can't be kept.
func checkFeasible(r *agree.Release, c *cluster.Cluster) error {
	if c == nil {
		return fmt.Errorf("cluster: there is no %s in the version in force", r.Cluster)
	}
	serving := 0
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			serving++
		}
	}
	for i, w := range r.Waves {
		for _, id := range w {
			if at := findServer(c, id); at < 0 || !c.Endpoints[at].Serves() {
				return fmt.Errorf("waves: the %d. names %s, which is not in use in the version in force", i+1, id)
			}
		}
		if left := serving - len(w); float64(left) < r.Floor*float64(serving) {
			return fmt.Errorf("floor: with the %d. wave out %d of %d servers are in use, and %.0f %% are wanted", i+1, left, serving, 100*r.Floor)
		}
	}
	return nil
}

func findServer(c *cluster.Cluster, id string) int {
	at, ok := slices.BinarySearchFunc(c.Endpoints, id, func(e cluster.Endpoint, id string) int {
		switch {
		case e.ID < id:
			return -1
		case e.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return -1
	}
	return at
}

// runReleases carries releases on while this node owns that work, until the node ends.
func (n *Node) runReleases() {
	var in agree.ReleaseProgress
	var since time.Duration
	var token uint64
	look := time.NewTicker(releasePollInterval)
	defer look.Stop()
	for {
		s, changed := n.stateAndChange()
		goes := s != nil && s.Release != nil && s.Release.Result == ""
		var tick <-chan time.Time // phases end by the clock
		if goes {
			tick = look.C
		}
		select {
		case <-n.ctx.Done():
			return
		case <-changed:
			continue
		case <-tick:
		}
		now, ok := n.Owns(ReleaseTask)
		if !ok {
			token = 0
			continue
		}
		p := s.Release
		if now != token || p.Release.ID != in.Release.ID || p.Wave != in.Wave || p.Phase != in.Phase {
			// A new owner counts a phase from when it took it over: longer than wanted, never shorter.
			token, in, since = now, *p, n.Clock()
		}
		if over, err := n.advancePhase(s, p, since); err != nil {
			n.Log.Error("a release stops", "release", p.Release.ID, "wave", p.Wave, "phase", p.Phase.String(), "err", err)
			n.propose(&agree.Entry{ReleaseUpdate: &agree.ReleaseUpdate{ID: p.Release.ID, Wave: p.Wave, Phase: p.Phase, Action: "fail", Reason: err.Error()}})
		} else if over && n.stillOwnsReleases(token) {
			n.propose(&agree.Entry{ReleaseUpdate: &agree.ReleaseUpdate{ID: p.Release.ID, Wave: p.Wave, Phase: p.Phase}})
		}
	}
}

// stillOwnsReleases tells whether this node owns releases by a token, right before something is done by it.
func (n *Node) stillOwnsReleases(token uint64) bool {
	now, ok := n.Owns(ReleaseTask)
	return ok && now == token
}

// advancePhase does what a phase asks for, and tells whether it is over. The version that it publishes has the phase's own id, so that it is one
// version whoever publishes it, an owner that wakes late too; and it is made from the version in force, or not taken.
func (n *Node) advancePhase(s *agree.State, p *agree.ReleaseProgress, since time.Duration) (bool, error) {
	if p.Phase != agree.TakingOut && p.Phase != agree.PuttingBack {
		return !p.Paused && n.Clock()-since >= p.PhaseDuration(), nil
	}
	if p.Paused && p.Phase == agree.TakingOut {
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
		return false, nil // its content is on its way
	}
	change, err := waveChange(v.Clusters[p.Cluster], p, time.Now())
	if err != nil {
		return false, err
	}
	if change == nil { // none of the wave is left to change
		return true, nil
	}
	if !n.stillOwnsReleases(s.Tasks[ReleaseTask].Token) {
		return false, nil
	}
	ctx, stop := context.WithTimeout(n.ctx, statusTimeout)
	defer stop()
	c, err := n.newClient()
	if err != nil {
		return false, nil
	}
	defer c.Close()
	_, err = c.PublishChange(ctx, p.PublishID(), s.ActiveVersion, *change)
	if err != nil {
		n.Log.Warn("a release's version is not taken yet", "id", p.PublishID(), "err", err)
	}
	return false, nil
}

// newClient is a client of the fleet, as an operator would have it.
func (n *Node) newClient() (*Client, error) { return NewClient(n.Fleet, n.Voters, n.ClientTLS) }

// waveChange is the change by which a phase takes effect: the wave's servers out, or back as started now. A server that left the list, or that was taken
// out by hand, stays as it is; nil: there is nothing to change. Out with less than the floor left in use is an error.
func waveChange(c *cluster.Cluster, p *agree.ReleaseProgress, now time.Time) (*config.File, error) {
	if c == nil {
		return nil, fmt.Errorf("cluster %s is gone", p.Cluster)
	}
	serving := 0
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			serving++
		}
	}
	out := cluster.Cluster{Name: c.Name}
	for _, id := range p.Waves[p.Wave] {
		at := findServer(c, id)
		if at < 0 {
			continue
		}
		e := c.Endpoints[at]
		switch {
		case p.Phase == agree.TakingOut && e.Serves():
			e.Health = cluster.Draining
		case p.Phase == agree.PuttingBack && e.Health == cluster.Draining:
			e.Health, e.Started = cluster.Healthy, now.UnixMilli()
		default:
			continue
		}
		out.Endpoints = append(out.Endpoints, e)
	}
	if len(out.Endpoints) == 0 {
		return nil, nil
	}
	if left := serving - len(out.Endpoints); p.Phase == agree.TakingOut && float64(left) < p.Floor*float64(len(c.Endpoints)) {
		return nil, fmt.Errorf("with the %d. wave out %d of %d servers are in use, and the floor is %.0f %%", p.Wave+1, left, len(c.Endpoints), 100*p.Floor)
	}
	return &config.File{Name: p.PublishID(), Text: config.FormatChange(&out)}, nil
}

// ControlRelease gives an operator's word to any voter that answers.
func (c *Client) ControlRelease(ctx context.Context, in ReleaseCommand) (*ReleaseReply, error) {
	last := ErrNoQuorum
	for _, conn := range c.conns {
		one, stop := context.WithTimeout(ctx, publishTimeout+statusTimeout)
		out, err := call[ReleaseReply](one, conn, "Release", in)
		stop()
		if err == nil {
			return out, nil
		}
		last = err
	}
	return nil, last
}
