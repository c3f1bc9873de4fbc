package lab

import (
	"fmt"
	"math"
	"testing"

	"yokestall/internal/fleetsim"
)

// At any number of nodes and at three loads, none of the servers that came back cold is pushed over, and
// service is near the oracle's. A day at another size keeps its load.
func TestSizes(t *testing.T) {
	e, _ := readExperiment(t, "cold-fleet.toml")
	e.Day.Length /= 2
	for _, tc := range []struct {
		nodes int
		load  float64
		least float64 // of the oracle's service
	}{{1, 0.24, 0.95}, {10, 0.48, 0.93}, {30, 0.8, 0.9}, {100, 0.24, 0.93}} {
		t.Run(fmt.Sprintf("%d nodes, load %v", tc.nodes, tc.load), func(t *testing.T) {
			t.Parallel()
			at, err := e.AtSize(Size{Nodes: tc.nodes, Servers: 20, Load: tc.load})
			if err != nil {
				t.Fatal(err)
			}
			if l := at.Load(); math.Abs(l-tc.load) > 1e-9 || at.Day.Troubles[0].Last != 19 {
				t.Fatalf("load %v, servers to %d fail", l, at.Day.Troubles[0].Last)
			}
			program, err := Run(at, "program", fleetsim.Program, 2)
			if err != nil {
				t.Fatal(err)
			}
			oracle, err := Run(at, "oracle", fleetsim.Oracle, 2)
			if err != nil {
				t.Fatal(err)
			}
			violations := append(program.Violations(), oracle.Violations()...)
			if len(violations) > 0 || program.Service() < tc.least*oracle.Service() {
				t.Errorf("service %.4f, the oracle's %.4f; %v", program.Service(), oracle.Service(), violations)
			}
		})
	}
	if _, err := e.AtSize(Size{Nodes: MaxNodes + 1}); err == nil {
		t.Error("too many nodes")
	}
}
