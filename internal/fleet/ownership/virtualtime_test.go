package ownership

import "testing"

// The sum of what all nodes may use at one moment never exceeds the budget, and what is released is granted.
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
		t.Errorf("%.1f budgets granted, %.1f times a node's own share at most: too little to say anything",
			granted, largest)
	}
	t.Logf("%d seeds: %.0f budgets were granted, up to %.1f times a node's own share", seeds, granted, largest)
}

// Each guard that is left out is found by the same runs.
func TestGuards(t *testing.T) {
	if raceEnabled {
		t.Skip("played without the race detector")
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
			t.Error("not found in 2000 seeds")
		})
	}
}
