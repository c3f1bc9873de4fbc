package lab

import (
	"fmt"
	"math"
	"testing"

	"yokestall/internal/fleetsim"
)

// At several numbers of nodes and loads, no server is overloaded while it warms up after a restart of the whole fleet, and
// the service is close to the oracle's. A resized day has the load that was asked for, and its fault affects all servers.
func TestSizes(t *testing.T) {
	e, _ := readExperiment(t, "cold-fleet.toml")
	e.Day.Length /= 2
	for _, tc := range []struct {
		nodes int
		load  float64
		least float64 // minimum share of the oracle's service
	}{{1, 0.24, 0.95}, {10, 0.48, 0.93}, {30, 0.8, 0.9}, {100, 0.24, 0.93}} {
		t.Run(fmt.Sprintf("%d nodes, load %v", tc.nodes, tc.load), func(t *testing.T) {
			t.Parallel()
			resized, err := e.AtSize(Size{Nodes: tc.nodes, Servers: 20, Load: tc.load})
			if err != nil {
				t.Fatal(err)
			}
			if l := resized.Load(); math.Abs(l-tc.load) > 1e-9 || resized.Day.Faults[0].Last != 19 {
				t.Fatalf("resized day: got load %v and last faulty server %d, want %v and 19", l, resized.Day.Faults[0].Last, tc.load)
			}
			program, err := Run(resized, "program", fleetsim.NewBalancer, 2)
			if err != nil {
				t.Fatal(err)
			}
			oracle, err := Run(resized, "oracle", fleetsim.NewOracle, 2)
			if err != nil {
				t.Fatal(err)
			}
			violations := append(program.Violations(), oracle.Violations()...)
			if len(violations) > 0 || program.Service() < tc.least*oracle.Service() {
				t.Errorf("got service %.4f and violations %v, want at least %v of the oracle's service %.4f and no violations",
					program.Service(), violations, tc.least, oracle.Service())
			}
		})
	}
	if _, err := e.AtSize(Size{Nodes: MaxNodes + 1}); err == nil {
		t.Errorf("got no error for %d nodes", MaxNodes+1)
	}
}
