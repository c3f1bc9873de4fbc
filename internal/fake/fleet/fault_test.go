package fleet

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// RandomFaults draws the same script from the same seed and another script from another seed, and all faults are valid.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		script := RandomFaults(seed, 8, 5, 12, time.Minute)
		again, other := RandomFaults(seed, 8, 5, 12, time.Minute), RandomFaults(seed+1, 8, 5, 12, time.Minute)
		if !reflect.DeepEqual(script, again) || reflect.DeepEqual(script, other) {
			t.Fatalf("seed %d: got %v, then %v, and with the next seed %v; want the first two equal and the third different",
				seed, script, again, other)
		}
		for _, f := range script {
			if err := f.Check(5, 12, time.Minute); err != nil {
				t.Fatalf("seed %d: drew an invalid fault %v: %v", seed, f, err)
			}
		}
	}
}

// The error of an invalid fault begins with the key of the invalid value in experiment files.
func TestFaultCheck(t *testing.T) {
	for _, tc := range []struct {
		f    Fault
		want string
	}{
		{Fault{To: 1, Kind: "bend", Nodes: []int{0}}, "kind: "},
		{Fault{From: 2, To: 1, Kind: Pause, Nodes: []int{0}}, "to: "},
		{Fault{To: 1, Kind: Pause}, "nodes: "},
		{Fault{To: 1, Kind: Pause, Nodes: []int{5}}, "nodes: 5 is not among the 5"},
		{Fault{To: 1, Kind: Drop, Nodes: []int{0}, Servers: []int{-1}}, "servers: -1"},
		{Fault{To: 1, Kind: Pause, Nodes: []int{0}, Servers: []int{1}}, "servers: "},
		{Fault{To: 1, Kind: Delay, Nodes: []int{0}}, "by: "},
		{Fault{To: 1, Kind: Throttle, Nodes: []int{0}}, "rate: "},
	} {
		if err := tc.f.Check(5, 12, time.Minute); err == nil || !strings.HasPrefix(err.Error(), tc.want) {
			t.Errorf("%v: got error %v, want one that begins with %q", tc.f, err, tc.want)
		}
	}
}
