package consensus

import "testing"

// An update advances a release only once, whichever node proposes it and however often. A failure puts the current wave
// back and then ends the release; if that fails too, the release ends at once.
func TestReleaseMoves(t *testing.T) {
	s := &State{}
	r := &Release{ID: "r", Cluster: "c", Waves: [][]string{{"a"}, {"b"}, {"c"}}}
	s.startRelease(r)
	s.startRelease(&Release{ID: "other", Cluster: "c", Waves: [][]string{{"a"}}})
	at := func(wave int, phase WavePhase, ended string) {
		t.Helper()
		if p := s.Release; p.Release.ID != "r" || p.Wave != wave || p.Phase != phase || p.Result != ended {
			t.Fatalf("release is %+v; want wave %d, phase %v, result %q", p, wave, phase, ended)
		}
	}
	at(0, TakingOut, "")
	for phase := range phaseCount { // each update three times
		for range 3 {
			s.updateRelease(&ReleaseUpdate{ID: "r", Wave: 0, Phase: phase})
		}
	}
	at(1, TakingOut, "")
	s.updateRelease(&ReleaseUpdate{ID: "r", Action: "pause"})
	s.updateRelease(&ReleaseUpdate{ID: "r", Wave: 1, Phase: TakingOut})
	at(1, TakingOut, "")
	s.updateRelease(&ReleaseUpdate{ID: "r", Action: "resume"})
	s.updateRelease(&ReleaseUpdate{ID: "r", Wave: 1, Phase: TakingOut})
	at(1, Draining, "")
	for range 3 { // repeated failures, and late failures of other phases, change nothing
		s.updateRelease(&ReleaseUpdate{ID: "r", Wave: 1, Phase: Draining, Action: "fail", Reason: "x"})
		s.updateRelease(&ReleaseUpdate{ID: "r", Wave: 0, Phase: PuttingBack, Action: "fail", Reason: "y"})
	}
	at(1, PuttingBack, "")
	before := *s.Release
	s.updateRelease(&ReleaseUpdate{ID: "r", Wave: 1, Phase: PuttingBack})
	s.updateRelease(&ReleaseUpdate{ID: "r", Wave: 1, Phase: Warming})
	at(2, TakingOut, "fail: x")
	s.Release = &before
	s.updateRelease(&ReleaseUpdate{ID: "r", Wave: 1, Phase: PuttingBack, Action: "fail", Reason: "z"})
	at(1, PuttingBack, "fail: z")
	s.updateRelease(&ReleaseUpdate{ID: "r", Action: "abort"})
	at(1, PuttingBack, "fail: z")
}
