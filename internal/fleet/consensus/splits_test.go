package consensus

import (
	"fmt"
	"runtime"
	"testing"
	"testing/cryptotest"
	"time"
)

// Well-known network partitions, while versions that contradict each other are published. No two nodes act on versions
// that contradict each other, and after the partition all voters have one history and all nodes act on its last version.
func TestNamedSplits(t *testing.T) {
	const length = 12 * time.Second
	leader := func(s *fleetSim) *simNode {
		for _, id := range s.voters {
			if v := s.nodes[id-1].voter; v.Leader() == v.ID {
				return s.nodes[id-1]
			}
		}
		return s.nodes[0]
	}
	cut := func(s *fleetSim, n *simNode, from, to time.Duration) {
		s.schedule(from, func() { n.disconnectedUntil = s.now + to - from })
	}
	for name, split := range map[string]struct {
		voters int
		begin  func(s *fleetSim) // begins a partition that lasts for length
	}{
		"half and half of four": {4, func(s *fleetSim) {
			for _, n := range s.nodes[:2] {
				cut(s, n, 0, length) // the other two voters have no majority either
			}
		}},
		"the old leader in a minority": {5, func(s *fleetSim) { cut(s, leader(s), 0, length) }},
		"a link that flaps every 200 ms": {3, func(s *fleetSim) {
			for at := time.Duration(0); at < length; at += 400 * time.Millisecond {
				cut(s, leader(s), at, at+200*time.Millisecond)
			}
		}},
		"the leader hears nobody": {3, func(s *fleetSim) { leader(s).inboundCutUntil = s.now + length }},
		"each voter alone in turn": {3, func(s *fleetSim) {
			for i, id := range s.voters {
				from := time.Duration(i) * length / 3
				cut(s, s.nodes[id-1], from, from+length/3)
			}
		}},
		"healed while a version is taken": {5, func(s *fleetSim) {
			for _, n := range s.nodes[:2] {
				cut(s, n, 0, length/2)
			}
			s.schedule(length/2-50*time.Millisecond, func() { s.publish("at the heal", true) })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			seeds := uint64(15)
			if testing.Short() || raceEnabled {
				seeds = 4
			}
			versions := 0
			for seed := range seeds {
				cryptotest.SetGlobalRandom(t, seed)
				s := newSim(t, seed, split.voters, 3, noGuard)
				s.runUntil(3 * time.Second)
				s.publish("first", false)
				s.runUntil(s.now + time.Second)
				split.begin(s)
				for i, end := 0, s.now+length; s.now < end; i++ {
					s.publish(fmt.Sprint("v", i), i%2 == 0)
					s.runUntil(s.now + 300*time.Millisecond)
				}
				s.runUntil(s.now + 8*time.Second)
				s.checkHealed()
				if len(s.violations) > 0 {
					t.Fatalf("seed %d: %d violations, first: %s", seed, len(s.violations), s.violations[0])
				}
				versions += s.versions
			}
			if versions < int(seeds) {
				t.Errorf("%d versions in %d seeds together; want at least as many versions as seeds", versions, seeds)
			}
			t.Logf("%d versions", versions)
		})
	}
}

// An hour of changes, two per second: the memory and the log entries that voters and nodes retain do not grow with the
// number of changes.
func TestMemoryOverAnHourOfChanges(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("skipped in short mode and under the race detector")
	}
	cryptotest.SetGlobalRandom(t, 39)
	s := newSim(t, 39, 3, 2, noGuard)
	s.runUntil(3 * time.Second)
	retained := func() (entries int, heap uint64) {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC() // the second collection frees what other tests left in sync.Pools
		runtime.ReadMemStats(&m)
		for _, n := range s.nodes {
			entries += len(n.disk.Entries)
		}
		return entries, m.HeapAlloc
	}
	publishChanges := func(from, to int) {
		for i := from; i < to; i++ {
			s.publish(fmt.Sprint("c", i), false)
			s.runUntil(s.now + 500*time.Millisecond)
			delete(s.acked, fmt.Sprint("c", i-1000)) // records of the simulation, not of the fleet
			s.ownerAnswers = nil                     // also a record of the simulation, not of the fleet
		}
	}
	publishChanges(0, 1800) // after a quarter of an hour, all limits are reached
	clear(s.pendingAt)
	entries, before := retained()
	publishChanges(1800, 7200)
	clear(s.pendingAt)
	now, after := retained()
	state := s.nodes[0].voter.State()
	if state.LastNumber < 6000 || len(state.History) > MaxHistory {
		t.Fatalf("%d versions, %d in the history; want at least 6000, and no more than MaxHistory in the history",
			state.LastNumber, len(state.History))
	}
	if now > entries+3*(compactionInterval+compactionRetained) || after > before+before/4 {
		t.Errorf("%d entries and %d KiB after a quarter of an hour, %d and %d KiB after an hour; want no growth",
			entries, before>>10, now, after>>10)
	}
	t.Logf("%d versions: %d entries and %d KiB after a quarter of an hour, %d entries and %d KiB after an hour",
		state.LastNumber, entries, before>>10, now, after>>10)
}
