package consensus

import (
	"fmt"
	"slices"
	"time"
)

// Release is a rolling restart of a cluster's endpoints. One wave after another is taken out of use, may be restarted,
// and is put back.
type Release struct {
	ID      string        `json:"id"`
	Cluster string        `json:"cluster"`
	Waves   [][]string    `json:"waves"` // endpoint ids by wave; an id is in one wave only
	Floor   float64       `json:"floor"` // smallest share of endpoints that taking out a wave may leave in use, 0 to 1
	Drain   time.Duration `json:"drain"` // time for a wave's last requests to finish after it is taken out of use
	Restart time.Duration `json:"away"`  // time for the restart of a wave after it is drained
	Warm    time.Duration `json:"warm"`  // time between a wave's return to use and the start of the next wave
}

// The limits of a release.
const (
	MaxWaves            = 1000
	MaxReleaseEndpoints = 10_000    // endpoints of all waves together
	maxReleaseDuration  = time.Hour // longest Drain, Restart and Warm, each
)

// Check validates a release by itself, without the cluster that it is for.
func (r *Release) Check() error {
	if r.ID == "" || len(r.ID) > MaxNameBytes || r.Cluster == "" || len(r.Cluster) > MaxNameBytes {
		return fmt.Errorf("id and cluster: must have 1 to %d bytes each", MaxNameBytes)
	}
	if n := len(r.Waves); n == 0 || n > MaxWaves {
		return fmt.Errorf("waves: %d given, 1 to %d are allowed", n, MaxWaves)
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

// checkWaves validates that no wave is empty and that each endpoint is in one wave only.
func (r *Release) checkWaves() error {
	seen := map[string]bool{}
	for i, wave := range r.Waves {
		if len(wave) == 0 {
			return fmt.Errorf("waves: wave %d is empty", i+1)
		}
		for _, id := range wave {
			if seen[id] || id == "" || len(id) > MaxNameBytes {
				return fmt.Errorf("waves: wave %d: endpoint id is empty, too long or listed more than once: %q", i+1, id)
			}
			seen[id] = true
		}
	}
	if len(seen) > MaxReleaseEndpoints {
		return fmt.Errorf("waves: %d endpoints in all waves, at most %d are allowed", len(seen), MaxReleaseEndpoints)
	}
	return nil
}

// WavePhase is a phase of a wave of a release.
type WavePhase uint8

// The phases of a wave, in their order.
const (
	TakingOut   WavePhase = iota // the version that takes the wave out of use is not yet active
	Draining                     // the wave's last requests finish
	Restarting                   // the endpoints may be restarted
	PuttingBack                  // the version that puts the wave back into use is not yet active
	Warming                      // the endpoints are back in use, in slow start
	phaseCount
)

var phaseNames = [...]string{"taking out of use", "draining", "away", "putting back into use", "warming"}

// String formats the phase for operators.
func (p WavePhase) String() string { return phaseNames[p%phaseCount] }

// ReleaseProgress is a release's state in the log. Waves and phases only advance, whichever node proposes the updates.
type ReleaseProgress struct {
	Release
	Wave   int       `json:"wave"` // index of the current wave, from 0; len(Waves) once all waves are done
	Phase  WavePhase `json:"phase"`
	Paused bool      `json:"paused,omitempty"`
	Result string    `json:"ended,omitempty"` // "done", or why the release was stopped; empty while the release goes on
	// StopReason says why the release is to end once the current wave has been put back into use and has warmed; empty if
	// the release is not to end early.
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
	PauseRelease   ReleaseAction = "pause"  // requested by an operator
	ResumeRelease  ReleaseAction = "resume" // requested by an operator
	AbortRelease   ReleaseAction = "abort"  // requested by an operator
	FailRelease    ReleaseAction = "fail"   // the phase has failed
)

// ReleaseUpdate changes a release that has not ended. AdvanceRelease and FailRelease have an effect only in the wave and
// phase that the update names.
type ReleaseUpdate struct {
	ID     string        `json:"id"`
	Wave   int           `json:"wave"`
	Phase  WavePhase     `json:"phase"`
	Action ReleaseAction `json:"word,omitempty"`
	Reason string        `json:"why,omitempty"`
}

// result formats the update as the reason why a release ended.
func (u *ReleaseUpdate) result() string { return string(u.Action) + ": " + u.Reason }

// startRelease begins a release, unless another release goes on or the latest release has the same id.
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

// stopAfterWave drops the waves after the current one, so that the release ends once the current wave has been put back
// into use and has warmed.
func (p *ReleaseProgress) stopAfterWave(u *ReleaseUpdate) {
	p.StopReason, p.Paused = u.result(), false
	p.Waves = slices.Clone(p.Waves[:p.Wave+1])
	p.Phase = max(p.Phase, PuttingBack)
}

// fail stops a release. If the failed phase is PuttingBack or a later one, the release ends at once, and a wave that
// could not be put back is left to an operator.
func (p *ReleaseProgress) fail(u *ReleaseUpdate) {
	if p.Phase < PuttingBack {
		p.stopAfterWave(u)
		return
	}
	p.Result = u.result()
}

// advance begins the next phase or the next wave, or ends the release. A paused release still puts a wave back.
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

// PhaseDuration returns how long the current phase lasts; 0 if the phase ends when a version becomes active.
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

// PublishID returns the id of the version by which the current phase takes effect. The id is the same whichever node
// publishes the version, and however often, so that a phase publishes one version.
func (p *ReleaseProgress) PublishID() string {
	direction := map[WavePhase]string{TakingOut: "out", PuttingBack: "in"}[p.Phase]
	return fmt.Sprintf("release/%s/%d/%s", p.Release.ID, p.Wave, direction)
}
