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
	Away    time.Duration `json:"away"`  // then, for the restart
	Warm    time.Duration `json:"warm"`  // from when it is back until the next wave
}

// The bounds of a release.
const (
	MaxWaves        = 1000
	MaxWave         = 10_000 // servers of all waves
	maxReleaseTimes = time.Hour
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
	}{{"drain", r.Drain}, {"away", r.Away}, {"warm", r.Warm}} {
		if t.d < 0 || t.d > maxReleaseTimes {
			return fmt.Errorf("%s: %v is not from 0 to %v", t.key, t.d, maxReleaseTimes)
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
	if len(seen) > MaxWave {
		return fmt.Errorf("waves: %d servers; %d at most", len(seen), MaxWave)
	}
	return nil
}

// Phase is what a wave is in.
type Phase uint8

// The phases of a wave, in their order.
const (
	Taking   Phase = iota // a version with the wave out is to come into force
	Draining              // what is under way there finishes
	Away                  // it is restarted
	Giving                // a version with the wave back is to come into force
	Warming
	phases
)

var phaseWords = [...]string{"taking it out", "draining", "away", "giving it back", "warming"}

// String says it as operators read it.
func (p Phase) String() string { return phaseWords[p%phases] }

// Progress is a release as the log has it: wave and phase only go on, one after the other, whoever moves them.
type Progress struct {
	Release
	Wave   int    `json:"wave"` // from 0; len(Waves): all are done
	Phase  Phase  `json:"phase"`
	Paused bool   `json:"paused,omitempty"`
	Ended  string `json:"ended,omitempty"` // why; "done"; "": it goes on
	// Stops says why it ends with this wave, once that is back in use; "": it doesn't.
	Stops string `json:"stops,omitempty"`
}

// Move takes a release on, or an operator's word on it.
type Move struct {
	ID    string `json:"id"`
	Wave  int    `json:"wave"` // that it is in, and the phase: if it isn't any more, a phase is not over, nor does it fail
	Phase Phase  `json:"phase"`
	Word  string `json:"word,omitempty"` // "pause", "resume", "abort", "fail"; "": the phase is over
	Why   string `json:"why,omitempty"`
}

// begin takes up a release, if none goes on.
func (s *State) begin(r *Release) {
	if s.Release != nil && (s.Release.Ended == "" || s.Release.ID == r.ID) {
		return
	}
	s.Release = &Progress{Release: *r}
}

func (s *State) move(m *Move) {
	if s.Release == nil || s.Release.ID != m.ID || s.Release.Ended != "" {
		return
	}
	p := *s.Release // those who were given the state keep theirs
	s.Release = &p
	switch m.Word {
	case "pause", "resume":
		p.Paused = m.Word == "pause"
	case "abort":
		p.stop(m)
	case "fail": // of the phase that it names, once
		switch {
		case m.Wave != p.Wave || m.Phase != p.Phase:
		case p.Phase < Giving:
			p.stop(m)
		default: // nor can it be given back: that is a person's
			p.Ended = m.Word + ": " + m.Why
		}
	case "":
		if m.Wave != p.Wave || m.Phase != p.Phase || p.Paused && p.Phase != Giving {
			return
		}
		if p.Phase++; p.Phase == phases {
			p.Wave, p.Phase = p.Wave+1, Taking
		}
		if p.Wave == len(p.Waves) {
			if p.Ended = "done"; p.Stops != "" {
				p.Ended = p.Stops
			}
		}
	}
}

// stop has the present wave given back, and the release end with it.
func (p *Progress) stop(m *Move) {
	p.Stops, p.Paused = m.Word+": "+m.Why, false
	p.Waves = slices.Clone(p.Waves[:p.Wave+1])
	p.Phase = max(p.Phase, Giving)
}

// Length is how long a phase lasts from when it began; 0 where it ends with a version in force.
func (p *Progress) Length() time.Duration {
	switch p.Phase {
	case Draining:
		return p.Drain
	case Away:
		return p.Away
	case Warming:
		return p.Warm
	}
	return 0
}

// ID of the publish by which a phase takes effect: whoever publishes it, and however often, it is one version.
func (p *Progress) PublishID() string {
	return fmt.Sprintf("release/%s/%d/%s", p.Release.ID, p.Wave, map[Phase]string{Taking: "out", Giving: "in"}[p.Phase])
}
