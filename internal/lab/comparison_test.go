package lab

import (
	"testing"

	"yokestall/internal/fleetsim"
)

// Compare finds a significant difference between the program and random selection, and none between two equal runs.
func TestCompare(t *testing.T) {
	e, _ := readExperiment(t, "one-slow.toml")
	e.Day.Length /= 5
	run := func(makeDecider fleetsim.DeciderFactory, seed uint64) *Outcome {
		e.Seed = seed
		o, err := Run(e, "", makeDecider, 8)
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	e.Day.Faults[0].From = 0
	program, random := run(fleetsim.NewBalancer, 1), run(fleetsim.Baselines["random"], 1)
	if d := Compare(random, program); !d.Significant() || d.Mean < 0 {
		t.Errorf("program over random: got %v, want a significant gain", d)
	}
	if d := Compare(program, run(fleetsim.NewBalancer, 1)); d.Significant() {
		t.Errorf("program over itself: got %v, want no significant difference", d)
	}
}
