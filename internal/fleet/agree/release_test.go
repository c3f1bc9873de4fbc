package agree

import "testing"

// A release's steps count once, whoever says them and however often; a failure gives back what is out, and ends where that fails too.
func TestReleaseMoves(t *testing.T) {
	s := &State{}
	r := &Release{ID: "r", Cluster: "c", Waves: [][]string{{"a"}, {"b"}, {"c"}}}
	s.begin(r)
	s.begin(&Release{ID: "other", Cluster: "c", Waves: [][]string{{"a"}}})
	at := func(wave int, phase Phase, ended string) {
		t.Helper()
		if p := s.Release; p.Release.ID != "r" || p.Wave != wave || p.Phase != phase || p.Ended != ended {
			t.Fatalf("%+v; want wave %d, %v, %q", p, wave, phase, ended)
		}
	}
	at(0, Taking, "")
	for phase := range phases { // each said three times
		for range 3 {
			s.move(&Move{ID: "r", Wave: 0, Phase: phase})
		}
	}
	at(1, Taking, "")
	s.move(&Move{ID: "r", Word: "pause"})
	s.move(&Move{ID: "r", Wave: 1, Phase: Taking})
	at(1, Taking, "")
	s.move(&Move{ID: "r", Word: "resume"})
	s.move(&Move{ID: "r", Wave: 1, Phase: Taking})
	at(1, Draining, "")
	for range 3 { // late failures of other phases change nothing
		s.move(&Move{ID: "r", Wave: 1, Phase: Draining, Word: "fail", Why: "x"})
		s.move(&Move{ID: "r", Wave: 0, Phase: Giving, Word: "fail", Why: "y"})
	}
	at(1, Giving, "")
	before := *s.Release
	s.move(&Move{ID: "r", Wave: 1, Phase: Giving})
	s.move(&Move{ID: "r", Wave: 1, Phase: Warming})
	at(2, Taking, "fail: x")
	s.Release = &before
	s.move(&Move{ID: "r", Wave: 1, Phase: Giving, Word: "fail", Why: "z"})
	at(1, Giving, "fail: z")
	s.move(&Move{ID: "r", Word: "abort"})
	at(1, Giving, "fail: z")
}
