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

// Every experiment in deploy/lab reaches its expected service without violations.
func TestLibrary(t *testing.T) {
	files, err := filepath.Glob("../../deploy/lab/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatalf("got %d experiment files and error %v, want at least 10 files", len(files), err)
	}
	for _, path := range files {
		if strings.HasPrefix(filepath.Base(path), "scale-") {
			continue // a plan of internal/lab/scale, whose tests read all of them
		}
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			e, _ := readExperiment(t, filepath.Base(path))
			o, err := Run(e, "program", fleetsim.NewBalancer, 1)
			if err != nil {
				t.Fatal(err)
			}
			if failures := e.Failures(o); len(failures) > 0 {
				t.Errorf("got failures %v, want none", failures)
			}
		})
	}
}

// The digest of a run does not depend on the number of cores, and differs between seeds.
func TestDeterminism(t *testing.T) {
	e, _ := readExperiment(t, "half-gone.toml")
	digest := func(seed uint64) string {
		e.Seed = seed
		o, err := Run(e, "program", fleetsim.NewBalancer, 2)
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
		t.Errorf("got digest %s on all cores and %s on one, want equal ones, and another one for another seed", all, one)
	}
}

// Round robin overloads servers that warm up where the program does not. This guards against a check for overloaded
// servers that never fires.
func TestRoundRobinPushesOver(t *testing.T) {
	e, _ := readExperiment(t, "cold-fleet.toml")
	for i := range e.Day.Classes {
		e.Day.Classes[i].Rate *= 3
	}
	e.Day.Length /= 3
	for name, makeDecider := range map[string]fleetsim.DeciderFactory{
		"program":     fleetsim.NewBalancer,
		"round robin": fleetsim.Baselines["round robin"],
	} {
		o, err := Run(e, name, makeDecider, 1)
		if err != nil {
			t.Fatal(err)
		}
		if overloaded := o.Seeds[0].OverloadedServers; (overloaded > 0) != (name != "program") {
			t.Errorf("%s: got %d overloaded servers, want none for the program and some for round robin", name, overloaded)
		}
	}
}

// After a power loss of nodes and servers, nodes that restore their snapshot earn more service than nodes that start
// without one if the servers are the same, and hardly less if all servers were replaced by smaller ones. In neither case
// is a rule violated.
func TestKnowledgeThroughAPowerLoss(t *testing.T) {
	for day, least := range map[string]float64{"power-nodes-too.toml": 0.005, "power-smaller.toml": -0.01} {
		t.Run(day, func(t *testing.T) {
			t.Parallel()
			e, _ := readExperiment(t, day)
			service := map[bool]float64{}
			for _, restore := range []bool{false, true} {
				e.Day.Faults = slices.Clone(e.Day.Faults)
				for i := range e.Day.Faults {
					e.Day.Faults[i].RestoreSnapshot = restore && e.Day.Faults[i].Nodes
				}
				o, err := Run(e, "program", fleetsim.NewBalancer, 4)
				if err != nil {
					t.Fatal(err)
				}
				if violations := o.Violations(); len(violations) > 0 {
					t.Errorf("snapshot restored %v: got violations %v, want none", restore, violations)
				}
				service[restore] = o.Service()
			}
			if gain := service[true] - service[false]; gain < least {
				t.Errorf("service %.4f with a restored snapshot and %.4f without: got a gain of %+.4f, want at least %+.4f",
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
				o, err := Run(e, "program", fleetsim.NewBalancer, 1)
				if err != nil {
					b.Fatal(err)
				}
				events += o.Seeds[0].Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
