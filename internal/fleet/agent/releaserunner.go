package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fleet/consensus"
)

// releasePollInterval is the time between two checks whether the current phase of a release is over.
const releasePollInterval = 50 * time.Millisecond

// currentPhase identifies the phase that this node, as the owner of the release task, carries out.
type currentPhase struct {
	token   uint64 // fencing token of the release task
	release string // id of the release
	wave    int
	phase   consensus.WavePhase
}

// runReleases carries out releases whenever this node owns the release task, until the node stops.
func (n *Node) runReleases() {
	var current currentPhase
	var phaseStart time.Duration
	poll := time.NewTicker(releasePollInterval)
	defer poll.Stop()
	for {
		s, changed := n.stateAndChange()
		var tick <-chan time.Time // nil without a release in progress; phases also end by time, without a change of state
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
		if latest := (currentPhase{token, p.Release.ID, p.Wave, p.Phase}); latest != current {
			// A new owner measures the phase from when it took over, so that the phase may last longer than configured,
			// but never shorter.
			current, phaseStart = latest, n.Clock()
		}
		n.runPhase(s, token, phaseStart)
	}
}

// runPhase carries out the current phase, and proposes to advance the release when the phase is over. If the phase fails,
// it proposes the failure of the release.
func (n *Node) runPhase(s *consensus.State, token uint64, phaseStart time.Duration) {
	p := s.Release
	update := &consensus.ReleaseUpdate{ID: p.Release.ID, Wave: p.Wave, Phase: p.Phase, Action: consensus.AdvanceRelease}
	over, err := n.phaseOver(s, phaseStart)
	switch {
	case err != nil:
		n.Log.Error("release failed", "release", p.Release.ID, "wave", p.Wave, "phase", p.Phase.String(), "err", err)
		update.Action, update.Reason = consensus.FailRelease, err.Error()
		n.propose(&consensus.Entry{ReleaseUpdate: update})
	case over && n.stillOwnsReleases(token):
		n.propose(&consensus.Entry{ReleaseUpdate: update})
	}
}

// stillOwnsReleases reports whether this node owns the release task by a token. It is called right before each action
// that requires the ownership.
func (n *Node) stillOwnsReleases(token uint64) bool {
	current, ok := n.Owns(ReleaseTask)
	return ok && current == token
}

// phaseOver reports whether the current phase is over. The phases TakingOut and PuttingBack take effect by a version:
// phaseOver publishes that version, and the phase is over when the version is in force, or when there is nothing to
// change. The other phases are over after their duration. While the release is paused, only PuttingBack proceeds.
func (n *Node) phaseOver(s *consensus.State, phaseStart time.Duration) (bool, error) {
	p := s.Release
	if p.Phase != consensus.TakingOut && p.Phase != consensus.PuttingBack {
		return !p.Paused && n.Clock()-phaseStart >= p.PhaseDuration(), nil
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
		return false, nil // the active version is not available on this node yet; the next poll tries again
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

// publishWave publishes the version by which a phase takes effect. The publish id depends only on the release, the wave
// and the phase, so that one version results even if several owners publish it, among them one that has lost the
// ownership. The publish is rejected if base is no longer the active version.
func (n *Node) publishWave(id string, base uint64, change config.File) {
	ctx, stop := context.WithTimeout(n.ctx, statusTimeout)
	defer stop()
	c, err := NewClient(n.Fleet, n.Voters, n.ClientTLS)
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := c.PublishChange(ctx, id, base, change); err != nil {
		n.Log.Warn("release version not published", "publish_id", id, "err", err)
	}
}

// waveChange returns the change of the endpoint list by which the current phase takes effect. TakingOut sets the wave's
// endpoints that are in use to draining. PuttingBack sets the wave's draining endpoints to healthy, with now as their
// start time, also those that an operator set to draining. Endpoints that are no longer in the list are skipped.
// waveChange returns nil if there is nothing to change, and an error if TakingOut would leave fewer endpoints in use than
// the floor, a share of all endpoints in the list.
func waveChange(c *cluster.Config, p *consensus.ReleaseProgress, now time.Time) (*config.File, error) {
	if c == nil {
		return nil, fmt.Errorf("the version in force no longer has the cluster %s", p.Cluster)
	}
	changed := cluster.Config{Name: c.Name}
	for _, id := range p.Waves[p.Wave] {
		found := findEndpoint(c, id)
		if found == nil {
			continue
		}
		e := *found
		switch {
		case p.Phase == consensus.TakingOut && e.Serves():
			e.Health = cluster.Draining
		case p.Phase == consensus.PuttingBack && e.Health == cluster.Draining:
			e.Health, e.StartedMs = cluster.Healthy, now.UnixMilli()
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
		return nil, fmt.Errorf("floor: taking wave %d out leaves %d of all %d endpoints in use; the floor is %.0f %%",
			p.Wave+1, left, all, 100*p.Floor)
	}
	return &config.File{Name: p.PublishID(), Text: config.FormatChange(&changed)}, nil
}
