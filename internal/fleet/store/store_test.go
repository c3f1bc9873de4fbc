package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"

	"yokestall/internal/fleet/consensus"
)

func entry(index, term uint64, text string) *pb.Entry {
	return &pb.Entry{Index: &index, Term: &term, Data: []byte(text)}
}

func hardState(term, commit uint64) *pb.HardState { return &pb.HardState{Term: &term, Commit: &commit} }

var testIdentity = VoterIdentity{Fleet: "f", Name: "a", ID: 1, Voters: []uint64{1, 2, 3}}

// initStore returns an open store that is initialized for testIdentity.
func initStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Init(testIdentity); err != nil {
		t.Fatal(err)
	}
	return s
}

// Over random saves, compactions and reopenings, the store returns the same entries as a slice that models the log.
func TestAgainstAList(t *testing.T) {
	dir := t.TempDir()
	s := initStore(t, dir)
	rng := rand.New(rand.NewPCG(41, 1))
	var list []string
	first, term := uint64(2), uint64(1)
	for i := range 120 {
		switch rng.IntN(6) {
		case 0: // a new leader's entries replace the end of the log
			term++
			list = list[:rng.IntN(len(list)+1)]
		case 1:
			if n := len(list); n > 4 {
				at := first + uint64(n/2)
				data := []byte("{}")
				snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: &at, Term: &term,
					ConfState: &pb.ConfState{Voters: testIdentity.Voters}}}
				if err := s.CompactTo(snap); err != nil {
					t.Fatal(err)
				}
				list = list[at-first+1:]
				first = at + 1
			}
		case 2:
			s.Close()
			var err error
			if s, err = Open(dir); err != nil {
				t.Fatal(err)
			}
		}
		w := consensus.ReadyWork{HardState: hardState(term, first-1)}
		for range 1 + rng.IntN(3) {
			text := fmt.Sprint(i, rng.IntN(100))
			w.Entries = append(w.Entries, entry(first+uint64(len(list)), term, text))
			list = append(list, text)
		}
		if err := s.Save(w); err != nil {
			t.Fatal(err)
		}
		id, disk, err := s.Voter()
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, e := range disk.Entries {
			got = append(got, string(e.Data))
		}
		if !slices.Equal(got, list) || disk.HardState.GetTerm() != term || id.Name != testIdentity.Name {
			t.Fatalf("got entries %v, want %v; or the hard state or the identity differs", got, list)
		}
	}
	s.Close()
}

func TestInitAndLocks(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Voter(); !errors.Is(err, ErrNotInitialized) {
		t.Errorf("Voter of an empty store: got error %v, want ErrNotInitialized", err)
	}
	if err := s.Init(testIdentity); err != nil {
		t.Fatal(err)
	}
	if err := s.Init(testIdentity); err == nil {
		t.Error("a second Init succeeded, want an error")
	}
	if err := s.Put([]byte("after a refusal")); err != nil {
		t.Errorf("Put after a refused Init: got error %v, want none", err)
	}
	if _, err := Open(dir); err == nil {
		t.Error("a second Open of an open store succeeded, want an error")
	}
	if m, err := s.LastVersion(); m != nil || err != nil {
		t.Errorf("before a version is saved: got last version %v, error %v; want none", m, err)
	}
	if err := s.SaveLastVersion(&consensus.Manifest{Number: 7}); err != nil {
		t.Fatal(err)
	}
	if m, err := s.LastVersion(); err != nil || m.Number != 7 {
		t.Errorf("got last version %v, error %v; want number 7 and no error", m, err)
	}
	s.Close()
}

// Content can be read by its hash; Sweep deletes the content that is not retained, Get doesn't return damaged content,
// and Put refuses content beyond MaxContent.
func TestContent(t *testing.T) {
	s := initStore(t, t.TempDir())
	defer s.Close()
	a, b := []byte("a"), bytes.Repeat([]byte("b"), 1<<20)
	for _, data := range [][]byte{a, b, a} {
		if err := s.Put(data); err != nil {
			t.Fatal(err)
		}
	}
	if s.size != int64(len(a)+len(b)) {
		t.Errorf("got a size of %d bytes, want that of a and b, each counted once", s.size)
	}
	if err := s.Sweep(map[string]int{ContentHash(a): 1}); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Get(ContentHash(b)); got != nil || err != nil || s.size != 1 {
		t.Errorf("content b after Sweep: got %d bytes, error %v, store size %d; want 0 bytes, no error, size 1", len(got), err, s.size)
	}
	s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketContent).Put([]byte(ContentHash(a)), []byte("x")) })
	if got, err := s.Get(ContentHash(a)); got != nil || err != nil {
		t.Errorf("damaged content: got %q, error %v; want neither", got, err)
	}
	s.size = MaxContent
	if err := s.Put([]byte("more")); err == nil {
		t.Error("Put beyond MaxContent succeeded, want an error")
	}
}

// A store whose file was truncated at a random length, or in which a random bit was flipped, can't be opened or read, or
// returns entries as they were saved.
func TestDamagedFile(t *testing.T) {
	dir := t.TempDir()
	s := initStore(t, dir)
	for i := range uint64(6) {
		if err := s.Save(consensus.ReadyWork{HardState: hardState(1, 1),
			Entries: []*pb.Entry{entry(2+i, 1, fmt.Sprint("text ", i))}}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	intact, err := os.ReadFile(filepath.Join(dir, "agree.db"))
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, data []byte) (ok bool) {
		other := t.TempDir()
		if err := os.WriteFile(filepath.Join(other, "agree.db"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(other)
		if err != nil {
			return false
		}
		defer s.Close()
		_, disk, err := s.Voter()
		if err != nil {
			return false
		}
		for i, e := range disk.Entries {
			if string(e.Data) != fmt.Sprint("text ", i) || e.GetIndex() != uint64(2+i) {
				t.Fatalf("file %s: entry %d is %q, which was never saved at that index", what, e.GetIndex(), e.Data)
			}
		}
		return len(disk.Entries) == 6
	}
	if !check("intact", intact) {
		t.Fatal("the intact file was not read with all 6 entries")
	}
	// The race detector enables pointer checks (checkptr) that end the process where bbolt reads a damaged file; without
	// them Open or Voter returns an error.
	if raceEnabled {
		t.Skip("damaged files are tested only without the race detector")
	}
	rng := rand.New(rand.NewPCG(41, 2))
	for range 600 {
		at := rng.IntN(len(intact))
		check(fmt.Sprint("truncated at byte ", at), intact[:at])
		flipped := bytes.Clone(intact)
		flipped[at] ^= 1 << rng.IntN(8)
		check(fmt.Sprint("with a bit flipped in byte ", at), flipped)
	}
}

// After a failed write, later writes fail with the error of the failed one.
func TestNothingAfterAFailure(t *testing.T) {
	s := initStore(t, t.TempDir())
	errWrite := errors.New("no space left")
	if err := s.update(func(*bbolt.Tx) error { return errWrite }); !errors.Is(err, errWrite) {
		t.Fatal(err)
	}
	if err := s.Save(consensus.ReadyWork{HardState: hardState(2, 1)}); !errors.Is(err, errWrite) {
		t.Errorf("Save after a failed write: got error %v, want that of the failed write", err)
	}
	s.Close()
}
