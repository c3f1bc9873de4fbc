package lab

import (
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"yokestall/internal/fleetsim"
)

// Every day of the library holds what it states.
func TestLibrary(t *testing.T) {
	files, err := filepath.Glob("../../deploy/lab/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d days, %v", len(files), err)
	}
	for _, path := range files {
		if strings.HasPrefix(filepath.Base(path), "scale-") {
			continue // a plan of internal/lab/scale, whose tests read all of them
		}
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			e, _ := readExperiment(t, filepath.Base(path))
			o, err := Run(e, "program", fleetsim.Program, 1)
			if err != nil {
				t.Fatal(err)
			}
			if faults := e.Failures(o); len(faults) > 0 {
				t.Errorf("%v", faults)
			}
		})
	}
}

// The same seeds give the same digest on one core and on all, and another seed another one.
func TestDeterminism(t *testing.T) {
	e, _ := readExperiment(t, "half-gone.toml")
	digest := func(seed uint64) string {
		e.Seed = seed
		o, err := Run(e, "program", fleetsim.Program, 2)
		if err != nil {
			t.Fatal(err)
		}
		return o.Digest()
	}
	all := digest(1)
	before := runtime.GOMAXPROCS(1)
	one := digest(1)
	runtime.GOMAXPROCS(before)
	if all != one || digest(5) == all {
		t.Errorf("%s on all cores, %s on one", all, one)
	}
}

// The check on cold servers bites: round robin pushes some over where the program does not.
func TestRoundRobinPushesOver(t *testing.T) {
	e, _ := readExperiment(t, "cold-fleet.toml")
	for i := range e.Day.Classes {
		e.Day.Classes[i].Rate *= 3
	}
	e.Day.Length /= 3
	for name, makeDecider := range map[string]fleetsim.MakeDecider{
		"program":     fleetsim.Program,
		"round robin": fleetsim.Peers["round robin"],
	} {
		o, err := Run(e, name, makeDecider, 1)
		if err != nil {
			t.Fatal(err)
		}
		if overloaded := o.Seeds[0].Fallen; (overloaded > 0) != (name != "program") {
			t.Errorf("%s: %d were overloaded", name, overloaded)
		}
	}
}

// Nodes that lost power with their servers and start with what they knew are better off than blind ones where
// the fleet is the same, and hardly worse off where all of it was replaced by smaller machines. Nobody is
// pushed over either way.
func TestKnowledgeThroughAPowerLoss(t *testing.T) {
	for day, least := range map[string]float64{"power-nodes-too.toml": 0.005, "power-smaller.toml": -0.01} {
		t.Run(day, func(t *testing.T) {
			t.Parallel()
			e, _ := readExperiment(t, day)
			service := map[bool]float64{}
			for _, knows := range []bool{false, true} {
				e.Day.Troubles = slices.Clone(e.Day.Troubles)
				for i := range e.Day.Troubles {
					e.Day.Troubles[i].Knows = knows && e.Day.Troubles[i].Nodes
				}
				o, err := Run(e, "program", fleetsim.Program, 4)
				if err != nil {
					t.Fatal(err)
				}
				if broken := o.Violations(); len(broken) > 0 {
					t.Errorf("knows %v: %v", knows, broken)
				}
				service[knows] = o.Service()
			}
			if gain := service[true] - service[false]; gain < least {
				t.Errorf("service %.4f with knowledge and %.4f without: %+.4f, at least %+.4f is wanted",
					service[true], service[false], gain, least)
			}
		})
	}
}

func BenchmarkPlay(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, _ := readExperiment(b, "calm.toml")
			e.Day.Servers, e.Day.Length = n, e.Day.Length/30
			events := int64(0)
			for b.Loop() {
				o, err := Run(e, "program", fleetsim.Program, 1)
				if err != nil {
					b.Fatal(err)
				}
				events += o.Seeds[0].Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
