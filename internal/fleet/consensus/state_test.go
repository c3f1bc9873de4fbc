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
		m.Parts = append(m.Parts, Part{Name: fmt.Sprint("f", i), Hash: fmt.Sprintf("%064d", i), SizeBytes: 1})
	}
	return m
}

// State agrees with a simple model, a list of version ids, over random entries, including late and repeated ones.
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
				t.Fatalf("seed %d, entry %d: %+v; want active version %d, pending version %d, epoch %d, %d versions in the epoch",
					seed, i, s.LogStatus(),
					activeVersion, pendingVersion, epoch, epochVersions)
			}
			for n, id := range list {
				if m := s.Version(uint64(n + 1)); m == nil || m.ID != id {
					t.Fatalf("version %d is %+v, want id %s", n+1, m, id)
				}
			}
		}
	}
}

// The history stays within its limits of versions and parts, and retains every version that a node may act on.
func TestHistoryBounds(t *testing.T) {
	s := &State{}
	for i := range uint64(3 * MaxHistory) {
		parts := 1
		if i > 2*MaxHistory {
			parts = MaxPartsPerVersion
		}
		s.addVersion(manifest(fmt.Sprint(i), s.ActiveVersion, i%3 == 0, parts))
		if s.PendingVersion != 0 {
			s.acknowledgeEpoch(&EpochAck{Epoch: s.Epoch + 1, VoterID: 1}, 1)
		}
		total := 0
		for _, m := range s.History {
			total += len(m.Parts)
		}
		if len(s.History) > MaxHistory || total > maxHistoryParts+(maxVersionsPerEpoch+1)*MaxPartsPerVersion ||
			s.Version(s.ActiveVersion) == nil {
			t.Fatalf("history of %d versions with %d parts exceeds its limits, or lacks the active version %d",
				len(s.History), total, s.ActiveVersion)
		}
		for _, n := range s.EpochVersions {
			if s.Version(n) == nil {
				t.Fatalf("version %d may be acted on and is missing from the history", n)
			}
		}
	}
}

// A voter that was down while the other voters compacted their logs catches up by a snapshot, and grants no lease by its
// outdated state.
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
		t.Fatalf("log not compacted: snapshot at index %d, want at least half of compactionInterval", first)
	}
	s.start(n)
	s.runUntil(s.now + 10*time.Second)
	s.checkHealed()
	if len(s.violations) > 0 || s.versions < compactionInterval {
		t.Errorf("%d versions, want at least compactionInterval; violations %v, want none", s.versions, s.violations)
	}
}

// With three voters and a thousand followers, every voter grants a lease to each follower, and a version that contradicts
// the active one becomes active within LeaseConfig.ActivationBound although one follower is disconnected.
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
		t.Errorf("%d versions, the longest activation took %v; want 2 versions, from half of HolderTerm to %v",
			s.versions, s.longestActivation, bound)
	}
	onSecond := 0
	for _, n := range s.nodes {
		if a := s.activeVersions(n); a.Version == 2 && a.PendingVersion == 0 {
			onSecond++
		}
	}
	if onSecond != len(s.nodes)-1 || len(s.violations) > 0 {
		t.Errorf("%d of %d nodes act on version 2, want all but one; violations %v, want none",
			onSecond, len(s.nodes), s.violations)
	}
	for _, id := range s.voters {
		if granted := len(s.nodes[id-1].voter.leases.holders); granted < followers || granted > MaxHolders {
			t.Errorf("voter %d has granted %d leases, want one for each follower and at most MaxHolders", id, granted)
		}
	}
}

// A voter grants leases to at most MaxHolders processes at once. Expired leases make room for others.
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
		t.Errorf("request past MaxHolders: error %v, want ErrTooManyLeases", err)
	}
	if err := requestLease(time.Second, 7); err != nil {
		t.Errorf("request of a process that has a lease: error %v, want none", err)
	}
	if err := requestLease(simLeaseConfig.GranterTerm()+time.Millisecond, MaxHolders); err != nil || len(table.holders) != 2 {
		t.Errorf("request after the leases expired: error %v, %d holders; want no error, 2 holders", err, len(table.holders))
	}
}

// ParseEntry returns an error for data that is no valid entry, and parsed entries survive encoding and parsing unchanged.
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
			t.Fatalf("entry %s doesn't survive encoding and parsing: %v", e.Marshal(), err)
		}
		s := &State{Index: 1}
		if err := s.Apply(2, data, 3); err != nil || len(s.History) > 1 {
			t.Fatalf("state after the entry: %+v, error %v; want at most one version and no error", s, err)
		}
	})
}
