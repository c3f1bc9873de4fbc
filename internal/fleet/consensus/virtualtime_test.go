package consensus

import (
	"flag"
	"strings"
	"testing"
	"testing/cryptotest"

	"github.com/anishathalye/porcupine"

	"yokestall/internal/fake/fleet"
)

var seedCount = flag.Int("seeds", 200, "number of seeds of TestFleetInVirtualTime")

// No two nodes act on versions that contradict, no version is lost, and there is one history, whatever befalls them.
func TestFleetInVirtualTime(t *testing.T) {
	seeds := *seedCount
	if testing.Short() || raceEnabled { // the whole number is played without the detector
		seeds = min(seeds, 8)
	}
	versions, changes, ownershipRevisions, reads := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		cryptotest.SetGlobalRandom(t, seed)
		s := runWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), noGuard)
		s.checkHealed()
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %d findings, first: %s", seed, len(s.violations), s.violations[0])
		}
		versions, changes = versions+s.versions, changes+s.changes
		ownershipRevisions, reads = ownershipRevisions+s.ownershipRevisions, reads+s.answeredReads
	}
	if versions < seeds || changes < 4*seeds || ownershipRevisions < 4*seeds || reads < 100*seeds {
		t.Errorf("%d versions, %d changes, %d ownership revisions, %d reads: too few to say anything", versions, changes,
			ownershipRevisions, reads)
	}
	t.Logf("%d seeds: %d versions, %d changes of a node's rules, no contradiction; "+
		"%d ownership revisions confirmed, never two owners; %d reads, none of a stale log",
		seeds, versions, changes, ownershipRevisions, reads)
}

// Each guard that is left out is found by the same runs.
func TestGuardsInVirtualTime(t *testing.T) {
	if raceEnabled {
		t.Skip("played without the race detector")
	}
	for _, omitted := range []guard{
		leaseCheck, leaseCheckAtUse, leaseExpiryWait, quietPeriod, clockDriftMargin, leaseFromRequest, confirmAfterApply,
		leaseQuorum, ownerLeaseCheck, ownershipEndWait, linearizableRead, readIncarnation,
	} {
		t.Run(string(omitted), func(t *testing.T) {
			for seed := range uint64(400) {
				cryptotest.SetGlobalRandom(t, seed)
				if s := runWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), omitted); len(s.violations) > 0 {
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Error("not found in 400 seeds")
		})
	}
}

// What owners answered, each asked and heard over a network that takes its time, has one order in which each owner
// follows the one before it by a higher token; with the owner's look at its lease taken out it has none. The checker
// knows nothing of the program.
func TestOwnersHaveOneOrder(t *testing.T) {
	if raceEnabled {
		t.Skip("played without the race detector")
	}
	seeds, answers := uint64(40), 0
	for seed := range seeds {
		cryptotest.SetGlobalRandom(t, seed)
		n, found := fleet.CheckOwnerOrder(runWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), noGuard).ownerAnswers)
		if len(found) > 0 {
			t.Fatalf("seed %d: %v", seed, found)
		}
		answers += n
	}
	if answers < 100*int(seeds) {
		t.Errorf("%d answers: too few to say anything", answers)
	}
	t.Logf("%d answers over %d seeds", answers, seeds)
	for seed := range uint64(400) {
		cryptotest.SetGlobalRandom(t, seed)
		s := runWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), ownerLeaseCheck)
		if _, found := fleet.CheckOwnerOrder(s.ownerAnswers); len(found) > 0 {
			if !strings.Contains(found[0].Rule, string(porcupine.Illegal)) {
				t.Fatalf("seed %d: %v", seed, found[0])
			}
			t.Logf("with the look taken out, seed %d: %v", seed, found[0])
			return
		}
	}
	t.Error("not found in 400 seeds with the look taken out")
}
