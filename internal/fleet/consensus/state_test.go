package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/cryptotest"
	"time"
)

func manifest(id string, base uint64, contradicts bool, parts int) *Manifest {
	m := &Manifest{ID: id, Base: base, Contradicts: contradicts}
	for i := range parts {
		m.Parts = append(m.Parts, Part{Name: fmt.Sprint("f", i), Hash: fmt.Sprintf("%064d", i), Size: 1})
	}
	return m
}

// The log is what a plain list of versions says, over drawn entries in any order, late and repeated ones among them.
func TestLogAgainstAList(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(39, seed))
		s := &State{}
		var list []string // ids, by number from 1
		activeVersion, pendingVersion, epoch := uint64(0), uint64(0), uint64(0)
		epochVersions := 0
		ackedBy := map[uint64]bool{}
		for i := range uint64(300) {
			var e Entry
			switch rng.IntN(5) {
			case 0, 1:
				id := fmt.Sprint("v", rng.IntN(400))
				m := manifest(id, activeVersion-min(activeVersion, uint64(rng.IntN(5)/4)), rng.IntN(2) == 0, 1)
				e.Propose = m
				if pendingVersion == 0 && m.Base == activeVersion && !slices.Contains(list, id) {
					list = append(list, id)
					if n := uint64(len(list)); activeVersion != 0 && (m.Contradicts || epochVersions >= maxVersionsPerEpoch) {
						pendingVersion, ackedBy = n, map[uint64]bool{}
					} else {
						activeVersion = n
						epochVersions++
					}
				}
			case 2, 3:
				ack := &EpochAck{Epoch: epoch + uint64(rng.IntN(3)), VoterID: uint64(1 + rng.IntN(3))}
				e.EpochAck = ack
				if pendingVersion != 0 && ack.Epoch == epoch+1 {
					if ackedBy[ack.VoterID] = true; len(ackedBy) == 2 {
						activeVersion, pendingVersion, epoch, epochVersions = pendingVersion, 0, epoch+1, 1
					}
				}
			case 4:
				if rng.IntN(4) > 0 {
					continue
				}
				refusal := &Refusal{Number: uint64(rng.IntN(len(list) + 2)), Node: "n", Reason: "no"}
				e.Refusal = refusal
				if pendingVersion != 0 && refusal.Number == pendingVersion {
					pendingVersion, epoch = 0, epoch+1
				}
			}
			if err := s.Apply(i+1, e.Marshal(), 3); err != nil {
				t.Fatal(err)
			}
			if s.ActiveVersion != activeVersion || s.PendingVersion != pendingVersion || s.Epoch != epoch ||
				s.LastNumber != uint64(len(list)) || len(s.EpochVersions) != epochVersions {
				t.Fatalf("seed %d, entry %d: %+v; want %d in force, %d waits, epoch %d, %d alive", seed, i, s.LogStatus(),
					activeVersion, pendingVersion, epoch, epochVersions)
			}
			for n, id := range list {
				if m := s.Version(uint64(n + 1)); m == nil || m.ID != id {
					t.Fatalf("version %d is %+v, not %s", n+1, m, id)
				}
			}
		}
	}
}

// The history stays within its bounds, in versions and in files, and never loses what somebody may act on.
func TestHistoryBounds(t *testing.T) {
	s := &State{}
	for i := range uint64(3 * MaxHistory) {
		parts := 1
		if i > 2*MaxHistory {
			parts = MaxFiles
		}
		s.addVersion(manifest(fmt.Sprint(i), s.ActiveVersion, i%3 == 0, parts))
		if s.PendingVersion != 0 {
			s.acknowledgeEpoch(&EpochAck{Epoch: s.Epoch + 1, VoterID: 1}, 1)
		}
		total := 0
		for _, m := range s.History {
			total += len(m.Parts)
		}
		if len(s.History) > MaxHistory || total > maxHistoryParts+(maxVersionsPerEpoch+1)*MaxFiles ||
			s.Version(s.ActiveVersion) == nil {
			t.Fatalf("%d versions of %d files, %d in force", len(s.History), total, s.ActiveVersion)
		}
		for _, n := range s.EpochVersions {
			if s.Version(n) == nil {
				t.Fatalf("version %d may be acted on and is forgotten", n)
			}
		}
	}
}

// A voter that was away while the log was begun anew catches up by a snapshot, and grants no lease on what it knew
// before.
func TestCatchUp(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1)
	s := newSim(t, 1, 3, 1, noGuard)
	s.runUntil(2 * time.Second)
	n := s.nodes[2]
	n.down = true
	for i := range compactionInterval + 2*compactionRetained {
		s.publish(fmt.Sprint("v", i), false)
		s.runUntil(s.now + 100*time.Millisecond)
	}
	if first := s.nodes[0].disk.Snapshot.GetMetadata().GetIndex(); first < compactionInterval/2 {
		t.Fatalf("the log was not begun anew: %d", first)
	}
	s.start(n)
	s.runUntil(s.now + 10*time.Second)
	s.checkHealed()
	if len(s.violations) > 0 || s.versions < compactionInterval {
		t.Errorf("%d versions: %v", s.versions, s.violations)
	}
}

// A thousand followers beside three voters: what a voter is asked grows with them and no faster, none hangs on one
// voter, and a version that contradicts is in force within the bound though one of them is cut off.
func TestThousandFollowers(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 2)
	followers := 1000
	if raceEnabled {
		followers = 100
	}
	s := newSim(t, 2, 3, followers, noGuard)
	s.runUntil(3 * time.Second)
	s.publish("first", false)
	s.runUntil(s.now + 2*time.Second)
	s.nodes[followers/2].disconnectedUntil = s.now + time.Minute
	s.publish("second", true)
	s.runUntil(s.now + 3*time.Second)
	bound := s.leaseConfig.ActivationBound()
	if s.versions != 2 || s.longestActivation == 0 || s.longestActivation > bound ||
		s.longestActivation < s.leaseConfig.HolderTerm()/2 {
		t.Errorf("%d versions, in force after %v, and the bound is %v", s.versions, s.longestActivation, bound)
	}
	onSecond := 0
	for _, n := range s.nodes {
		if a := s.activeVersions(n); a.Version == 2 && a.PendingVersion == 0 {
			onSecond++
		}
	}
	if onSecond != len(s.nodes)-1 || len(s.violations) > 0 {
		t.Errorf("%d of %d act on it; %v", onSecond, len(s.nodes), s.violations)
	}
	for _, id := range s.voters {
		if granted := len(s.nodes[id-1].voter.leases.holders); granted < followers || granted > MaxHolders {
			t.Errorf("voter %d has %d leases out", id, granted)
		}
	}
}

// A voter grants so many leases and no more; those that are over make room.
func TestLeaseTableIsFull(t *testing.T) {
	table := NewLeaseTable(0, simLeaseConfig)
	s := &State{}
	requestLease := func(now time.Duration, i int) error {
		_, err := table.Grant(now, 1, LeaseRequest{Node: fmt.Sprint(i), Incarnation: "a"}, s)
		return err
	}
	for i := range MaxHolders {
		if err := requestLease(0, i); err != nil {
			t.Fatal(err)
		}
	}
	if err := requestLease(time.Second, MaxHolders); err != ErrTooManyLeases {
		t.Errorf("one more: %v", err)
	}
	if err := requestLease(time.Second, 7); err != nil {
		t.Errorf("one that has a lease: %v", err)
	}
	if err := requestLease(simLeaseConfig.GranterTerm()+time.Millisecond, MaxHolders); err != nil || len(table.holders) != 2 {
		t.Errorf("once they are over: %v, %d", err, len(table.holders))
	}
}

// What can't be an entry is an error, and one that is read is written back the same.
func FuzzEntry(f *testing.F) {
	f.Add([]byte(`{"propose":{"id":"a","parts":[{"name":"x","hash":"` + fmt.Sprintf("%064d", 1) + `","size":3}]}}`))
	f.Add([]byte(`{"clear":{"epoch":1,"voter":2}}`))
	f.Add([]byte(`{"refuse":{"number":1,"node":"n","why":"w"}}`))
	f.Add([]byte(`{"clear":{},"refuse":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := ParseEntry(data)
		if err != nil {
			return
		}
		again, err := ParseEntry(e.Marshal())
		if err != nil || string(again.Marshal()) != string(e.Marshal()) {
			t.Fatalf("%s: %v", e.Marshal(), err)
		}
		s := &State{Index: 1}
		if err := s.Apply(2, data, 3); err != nil || len(s.History) > 1 {
			t.Fatalf("%+v, %v", s, err)
		}
	})
}
