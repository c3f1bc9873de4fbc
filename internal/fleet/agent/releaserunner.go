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

// releasePollInterval is how often the owner of releases checks whether a phase is over.
const releasePollInterval = 50 * time.Millisecond

// currentPhase is the phase that the owner of releases works on.
type currentPhase struct {
	token   uint64 // by which this node owns releases
	release string
	wave    int
	phase   consensus.WavePhase
}

// runReleases carries out releases while this node owns that task, until the node stops.
func (n *Node) runReleases() {
	var current currentPhase
	var phaseStart time.Duration
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
		if latest := (currentPhase{token, p.Release.ID, p.Wave, p.Phase}); latest != current {
			// A new owner measures a phase from its takeover: the phase may last longer than configured, never shorter.
			current, phaseStart = latest, n.Clock()
		}
		n.runPhase(s, token, phaseStart)
	}
}

// runPhase does what the present phase needs, and proposes the next one when it is over.
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

// stillOwnsReleases reports whether this node owns releases by a token. It is called right before the node does
// something by it.
func (n *Node) stillOwnsReleases(token uint64) bool {
	current, ok := n.Owns(ReleaseTask)
	return ok && current == token
}

// phaseOver reports whether the present phase is over. A phase that takes effect by a version publishes that version
// first.
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
		n.Log.Warn("release version not published", "publish_id", id, "err", err)
	}
}

// waveChange returns the change by which the present phase takes effect: the wave's servers are taken out, or put
// back as started now. A server that left the list stays as it is, and so does one that is not in use when its wave is
// taken out. But any server of the wave that is draining is put back, even if an operator took it out. It returns nil
// if there is nothing to change, and an error if fewer servers than the floor would be left in use.
func waveChange(c *cluster.Config, p *consensus.ReleaseProgress, now time.Time) (*config.File, error) {
	if c == nil {
		return nil, fmt.Errorf("cluster %s is gone", p.Cluster)
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
		return nil, fmt.Errorf("with the %d. wave out %d of %d servers are in use, and the floor is %.0f %%",
			p.Wave+1, left, all, 100*p.Floor)
	}
	return &config.File{Name: p.PublishID(), Text: config.FormatChange(&changed)}, nil
}
