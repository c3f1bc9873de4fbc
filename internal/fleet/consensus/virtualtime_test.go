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

// Under random faults, no two nodes act on versions that contradict each other, no version is lost, no task has two
// owners, and all voters end with the same history.
func TestFleetInVirtualTime(t *testing.T) {
	seeds := *seedCount
	if testing.Short() || raceEnabled { // the full number of seeds takes too long with the race detector
		seeds = min(seeds, 8)
	}
	versions, changes, ownershipRevisions, reads := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		cryptotest.SetGlobalRandom(t, seed)
		s := runWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), noGuard)
		s.checkHealed()
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(s.violations), s.violations[0])
		}
		versions, changes = versions+s.versions, changes+s.changes
		ownershipRevisions, reads = ownershipRevisions+s.ownershipRevisions, reads+s.answeredReads
	}
	if versions < seeds || changes < 4*seeds || ownershipRevisions < 4*seeds || reads < 100*seeds {
		t.Errorf("%d versions, %d changes of active versions, %d ownership revisions, %d reads: too few to test the protocol",
			versions, changes, ownershipRevisions, reads)
	}
	t.Logf("%d seeds: %d versions, %d changes of active versions, no contradiction; "+
		"%d ownership revisions confirmed, never two owners; %d reads, none stale",
		seeds, versions, changes, ownershipRevisions, reads)
}

// The same runs find a violation for each guard that is omitted, which shows that they would find a fault in it.
func TestGuardsInVirtualTime(t *testing.T) {
	if raceEnabled {
		t.Skip("skipped under the race detector: takes too long")
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
			t.Error("no violation found in 400 seeds")
		})
	}
}

// The answers of owners, asked over a network with delays, have a linear order in which each owner's token is higher
// than that of the owner before it. If owners don't check their leases, no such order exists. The checker (porcupine) is
// independent of the program.
func TestOwnersHaveOneOrder(t *testing.T) {
	if raceEnabled {
		t.Skip("skipped under the race detector: takes too long")
	}
	seeds, answers := uint64(40), 0
	for seed := range seeds {
		cryptotest.SetGlobalRandom(t, seed)
		n, found := fleet.CheckOwnerOrder(runWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), noGuard).ownerAnswers)
		if len(found) > 0 {
			t.Fatalf("seed %d: owners' answers have no order: %v", seed, found)
		}
		answers += n
	}
	if answers < 100*int(seeds) {
		t.Errorf("%d answers, want at least 100 for each seed", answers)
	}
	t.Logf("%d answers over %d seeds", answers, seeds)
	for seed := range uint64(400) {
		cryptotest.SetGlobalRandom(t, seed)
		s := runWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), ownerLeaseCheck)
		if _, found := fleet.CheckOwnerOrder(s.ownerAnswers); len(found) > 0 {
			if !strings.Contains(found[0].Rule, string(porcupine.Illegal)) {
				t.Fatalf("seed %d: finding %v, want one with the result illegal", seed, found[0])
			}
			t.Logf("without the owner's lease check, seed %d: %v", seed, found[0])
			return
		}
	}
	t.Error("no violation found in 400 seeds without the owner's lease check")
}
