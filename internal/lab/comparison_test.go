package lab

import (
	"testing"

	"yokestall/internal/fleetsim"
)

// A comparison sees a difference that is there, and none where there is none.
func TestCompare(t *testing.T) {
	e, _ := readExperiment(t, "one-slow.toml")
	e.Day.Length /= 5
	run := func(with fleetsim.MakeDecider, seed uint64) *Outcome {
		e.Seed = seed
		o, err := Run(e, "", with, 8)
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	e.Day.Troubles[0].From = 0
	program, random := run(fleetsim.Program, 1), run(fleetsim.Peers["random"], 1)
	if d := Compare(random, program); !d.Significant() || d.Mean < 0 {
		t.Errorf("program over random: %v", d)
	}
	if d := Compare(program, run(fleetsim.Program, 1)); d.Significant() {
		t.Errorf("over itself: %v", d)
	}
}
