package ownership

import "testing"

// Under random faults, the sum of what all nodes may use at one moment never exceeds the budget, and released shares are
// granted to other nodes.
func TestSharesNeverExceedTheBudget(t *testing.T) {
	granted, largest := 0.0, 0.0
	seeds := 1000
	if raceEnabled {
		seeds = 50
	}
	for seed := range uint64(seeds) {
		s := runWithFaults(seed, noGuard)
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		granted, largest = granted+s.granted, max(largest, s.largestShare)
	}
	if granted < float64(seeds)/10 || largest < 3 {
		t.Errorf("%.1f budgets granted, at most %.1f times a node's own share used: too little to test the protocol",
			granted, largest)
	}
	t.Logf("%d seeds: %.0f budgets were granted, up to %.1f times a node's own share", seeds, granted, largest)
}

// The same runs find a violation for each guard that is omitted, which shows that they would find a fault in it.
func TestGuards(t *testing.T) {
	if raceEnabled {
		t.Skip("skipped under the race detector: takes too long")
	}
	for _, omitted := range []guard{
		deductBeforeReply, releaseFromEcho, grantFromRequest, clockDriftMargin, duplicateCheck, releaseBeforeStarts,
	} {
		t.Run(string(omitted), func(t *testing.T) {
			for seed := range uint64(2000) {
				if s := runWithFaults(seed, omitted); s.violation != "" {
					t.Logf("seed %d: %s", seed, s.violation)
					return
				}
			}
			t.Error("no violation found in 2000 seeds")
		})
	}
}
