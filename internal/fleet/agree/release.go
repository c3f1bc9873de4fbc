package agree

import (
	"fmt"
	"slices"
	"time"
)

// Release is a wave after wave of servers of a cluster that are taken out of use, may be restarted, and come back.
type Release struct {
	ID      string        `json:"id"`
	Cluster string        `json:"cluster"`
	Waves   [][]string    `json:"waves"` // ids of servers, each in one wave
	Floor   float64       `json:"floor"` // share of the cluster's servers that has to be in use at any time
	Drain   time.Duration `json:"drain"` // from when a wave is out until nothing of it is under way any more
	Restart time.Duration `json:"away"`  // then, for the restart
	Warm    time.Duration `json:"warm"`  // from when it is back until the next wave
}

// The bounds of a release.
const (
	MaxWaves           = 1000
	MaxReleaseServers  = 10_000 // servers of all waves
	maxReleaseDuration = time.Hour
)

// Check tells what is wrong with a release by itself.
func (r *Release) Check() error {
	if r.ID == "" || len(r.ID) > MaxName || r.Cluster == "" || len(r.Cluster) > MaxName {
		return fmt.Errorf("id and cluster: 1 to %d bytes", MaxName)
	}
	if n := len(r.Waves); n == 0 || n > MaxWaves {
		return fmt.Errorf("waves: %d; 1 to %d", n, MaxWaves)
	}
	if !(r.Floor >= 0 && r.Floor <= 1) {
		return fmt.Errorf("floor: %v is not from 0 to 1", r.Floor)
	}
	for _, t := range []struct {
		key string
		d   time.Duration
	}{{"drain", r.Drain}, {"away", r.Restart}, {"warm", r.Warm}} {
		if t.d < 0 || t.d > maxReleaseDuration {
			return fmt.Errorf("%s: %v is not from 0 to %v", t.key, t.d, maxReleaseDuration)
		}
	}
	seen := map[string]bool{}
	for i, w := range r.Waves {
		if len(w) == 0 {
			return fmt.Errorf("waves: the %d. is empty", i+1)
		}
		for _, id := range w {
			if seen[id] || id == "" || len(id) > MaxName {
				return fmt.Errorf("waves: the %d. names %q, which is another's, or no id", i+1, id)
			}
			seen[id] = true
		}
	}
	if len(seen) > MaxReleaseServers {
		return fmt.Errorf("waves: %d servers; %d at most", len(seen), MaxReleaseServers)
	}
	return nil
}

// Phase is what a wave is in.
type Phase uint8

// The phases of a wave, in their order.
const (
	TakingOut   Phase = iota // a version with the wave out is to come into force
	Draining                 // what is under way there finishes
	Restarting               // it is restarted
	PuttingBack              // a version with the wave back is to come into force
	Warming
	phaseCount
)

var phaseNames = [...]string{"taking it out", "draining", "away", "giving it back", "warming"}

// String says it as operators read it.
func (p Phase) String() string { return phaseNames[p%phaseCount] }

// ReleaseProgress is a release as the log has it: wave and phase only go on, one after the other, whoever moves them.
type ReleaseProgress struct {
	Release
	Wave   int    `json:"wave"` // from 0; len(Waves): all are done
	Phase  Phase  `json:"phase"`
	Paused bool   `json:"paused,omitempty"`
	Result string `json:"ended,omitempty"` // why; "done"; "": it goes on
	// Stops says why it ends with this wave, once that is back in use; "": it doesn't.
	StopReason string `json:"stops,omitempty"`
}

// ReleaseUpdate takes a release on, or an operator's word on it.
type ReleaseUpdate struct {
	ID     string `json:"id"`
	Wave   int    `json:"wave"` // that it is in, and the phase: if it isn't any more, a phase is not over, nor does it fail
	Phase  Phase  `json:"phase"`
	Action string `json:"word,omitempty"` // "pause", "resume", "abort", "fail"; "": the phase is over
	Reason string `json:"why,omitempty"`
}

// startRelease takes up a release, if none goes on.
func (s *State) startRelease(r *Release) {
	if s.Release != nil && (s.Release.Result == "" || s.Release.ID == r.ID) {
		return
	}
	s.Release = &ReleaseProgress{Release: *r}
}

func (s *State) updateRelease(m *ReleaseUpdate) {
	if s.Release == nil || s.Release.ID != m.ID || s.Release.Result != "" {
		return
	}
	p := *s.Release // those who were given the state keep theirs
	s.Release = &p
	switch m.Action {
	case "pause", "resume":
		p.Paused = m.Action == "pause"
	case "abort":
		p.stopAfterWave(m)
	case "fail": // of the phase that it names, once
		switch {
		case m.Wave != p.Wave || m.Phase != p.Phase:
		case p.Phase < PuttingBack:
			p.stopAfterWave(m)
		default: // nor can it be given back: that is a person's
			p.Result = m.Action + ": " + m.Reason
		}
	case "":
		if m.Wave != p.Wave || m.Phase != p.Phase || p.Paused && p.Phase != PuttingBack {
			return
		}
		if p.Phase++; p.Phase == phaseCount {
			p.Wave, p.Phase = p.Wave+1, TakingOut
		}
		if p.Wave == len(p.Waves) {
			if p.Result = "done"; p.StopReason != "" {
				p.Result = p.StopReason
			}
		}
	}
}

// stopAfterWave has the present wave given back, and the release end with it.
func (p *ReleaseProgress) stopAfterWave(m *ReleaseUpdate) {
	p.StopReason, p.Paused = m.Action+": "+m.Reason, false
	p.Waves = slices.Clone(p.Waves[:p.Wave+1])
	p.Phase = max(p.Phase, PuttingBack)
}

// PhaseDuration is how long a phase lasts from when it began; 0 where it ends with a version in force.
func (p *ReleaseProgress) PhaseDuration() time.Duration {
	switch p.Phase {
	case Draining:
		return p.Drain
	case Restarting:
		return p.Restart
	case Warming:
		return p.Warm
	}
	return 0
}

// ID of the publish by which a phase takes effect: whoever publishes it, and however often, it is one version.
func (p *ReleaseProgress) PublishID() string {
	return fmt.Sprintf("release/%s/%d/%s", p.Release.ID, p.Wave, map[Phase]string{TakingOut: "out", PuttingBack: "in"}[p.Phase])
}
