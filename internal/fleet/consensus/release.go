package consensus

import (
	"fmt"
	"slices"
	"time"
)

// Release is a rolling restart of a cluster's servers: wave after wave is taken out of use, may be restarted, and is
// put back.
type Release struct {
	ID      string        `json:"id"`
	Cluster string        `json:"cluster"`
	Waves   [][]string    `json:"waves"` // ids of servers, each in one wave
	Floor   float64       `json:"floor"` // share of the cluster's servers that has to be in use at any time
	Drain   time.Duration `json:"drain"` // from when a wave is out of use until its requests have finished
	Restart time.Duration `json:"away"`  // then, for the restart
	Warm    time.Duration `json:"warm"`  // from when the wave is back until the next one
}

// The limits of a release.
const (
	MaxWaves            = 1000
	MaxReleaseEndpoints = 10_000 // of all waves together
	maxReleaseDuration  = time.Hour
)

// Check validates a release by itself, without the cluster that it is for.
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
	for _, d := range []struct {
		key   string
		value time.Duration
	}{{"drain", r.Drain}, {"away", r.Restart}, {"warm", r.Warm}} {
		if d.value < 0 || d.value > maxReleaseDuration {
			return fmt.Errorf("%s: %v is not from 0 to %v", d.key, d.value, maxReleaseDuration)
		}
	}
	return r.checkWaves()
}

// checkWaves validates that each server is in one wave.
func (r *Release) checkWaves() error {
	seen := map[string]bool{}
	for i, wave := range r.Waves {
		if len(wave) == 0 {
			return fmt.Errorf("waves: the %d. is empty", i+1)
		}
		for _, id := range wave {
			if seen[id] || id == "" || len(id) > MaxName {
				return fmt.Errorf("waves: the %d. names %q, which is another's, or no id", i+1, id)
			}
			seen[id] = true
		}
	}
	if len(seen) > MaxReleaseEndpoints {
		return fmt.Errorf("waves: %d servers; %d at most", len(seen), MaxReleaseEndpoints)
	}
	return nil
}

// WavePhase is a step of a wave.
type WavePhase uint8

// The phases of a wave, in their order.
const (
	TakingOut   WavePhase = iota // the version without the wave has yet to come into force
	Draining                     // the wave's last requests finish
	Restarting                   // the servers may be restarted
	PuttingBack                  // the version with the wave has yet to come into force
	Warming                      // the servers are back and in slow start
	phaseCount
)

var phaseNames = [...]string{"taking it out", "draining", "away", "giving it back", "warming"}

// String formats the phase for operators.
func (p WavePhase) String() string { return phaseNames[p%phaseCount] }

// ReleaseProgress is a release's state in the log. Waves and phases only advance, whichever node proposes it.
type ReleaseProgress struct {
	Release
	Wave   int       `json:"wave"` // from 0; len(Waves): all are done
	Phase  WavePhase `json:"phase"`
	Paused bool      `json:"paused,omitempty"`
	Result string    `json:"ended,omitempty"` // how the release ended: "done", or why it was stopped; "": it goes on
	// StopReason is set once the release is to end with its present wave, as soon as that is back in use.
	StopReason string `json:"stops,omitempty"`
}

// ReleaseDone is the result of a release that was not stopped.
const ReleaseDone = "done"

// Ended reports whether the release has ended.
func (p *ReleaseProgress) Ended() bool { return p.Result != "" }

// ReleaseAction says what a ReleaseUpdate does.
type ReleaseAction string

// The actions on a release.
const (
	AdvanceRelease ReleaseAction = ""       // the phase is over
	PauseRelease   ReleaseAction = "pause"  // an operator's
	ResumeRelease  ReleaseAction = "resume" // an operator's
	AbortRelease   ReleaseAction = "abort"  // an operator's
	FailRelease    ReleaseAction = "fail"   // the phase has failed
)

// ReleaseUpdate changes a release that goes on. It advances or fails only the wave and phase that it names.
type ReleaseUpdate struct {
	ID     string        `json:"id"`
	Wave   int           `json:"wave"`
	Phase  WavePhase     `json:"phase"`
	Action ReleaseAction `json:"word,omitempty"`
	Reason string        `json:"why,omitempty"`
}

// result formats the update as the reason why a release ended.
func (u *ReleaseUpdate) result() string { return string(u.Action) + ": " + u.Reason }

// startRelease begins a release, unless another one goes on.
func (s *State) startRelease(r *Release) {
	if s.Release != nil && (!s.Release.Ended() || s.Release.ID == r.ID) {
		return
	}
	s.Release = &ReleaseProgress{Release: *r}
}

func (s *State) updateRelease(u *ReleaseUpdate) {
	if s.Release == nil || s.Release.ID != u.ID || s.Release.Ended() {
		return
	}
	progress := *s.Release // earlier copies of the state share the old one
	s.Release = &progress
	current := u.Wave == progress.Wave && u.Phase == progress.Phase
	switch u.Action {
	case PauseRelease, ResumeRelease:
		progress.Paused = u.Action == PauseRelease
	case AbortRelease:
		progress.stopAfterWave(u)
	case FailRelease:
		if current {
			progress.fail(u)
		}
	case AdvanceRelease:
		if current {
			progress.advance()
		}
	}
}

// stopAfterWave puts the present wave back and ends the release with it.
func (p *ReleaseProgress) stopAfterWave(u *ReleaseUpdate) {
	p.StopReason, p.Paused = u.result(), false
	p.Waves = slices.Clone(p.Waves[:p.Wave+1])
	p.Phase = max(p.Phase, PuttingBack)
}

// fail stops a release. A wave that can't be put back is left to an operator.
func (p *ReleaseProgress) fail(u *ReleaseUpdate) {
	if p.Phase < PuttingBack {
		p.stopAfterWave(u)
		return
	}
	p.Result = u.result()
}

// advance begins the next phase, the next wave or ends the release.
func (p *ReleaseProgress) advance() {
	if p.Paused && p.Phase != PuttingBack {
		return
	}
	if p.Phase++; p.Phase == phaseCount {
		p.Wave, p.Phase = p.Wave+1, TakingOut
	}
	if p.Wave < len(p.Waves) {
		return
	}
	if p.Result = ReleaseDone; p.StopReason != "" {
		p.Result = p.StopReason
	}
}

// PhaseDuration is how long the present phase lasts; 0 where it ends with a version in force.
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

// PublishID is the id of the version by which the present phase takes effect: the same whichever node publishes it,
// and however often.
func (p *ReleaseProgress) PublishID() string {
	direction := map[WavePhase]string{TakingOut: "out", PuttingBack: "in"}[p.Phase]
	return fmt.Sprintf("release/%s/%d/%s", p.Release.ID, p.Wave, direction)
}
