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

func hard(term, commit uint64) *pb.HardState { return &pb.HardState{Term: &term, Commit: &commit} }

var me = Identity{Fleet: "f", Name: "a", ID: 1, Voters: []uint64{1, 2, 3}}

func made(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Init(me); err != nil {
		t.Fatal(err)
	}
	return s
}

// The store holds what a plain list holds, over drawn writes and starts.
func TestAgainstAList(t *testing.T) {
	dir := t.TempDir()
	s := made(t, dir)
	rng := rand.New(rand.NewPCG(41, 1))
	var list []string
	first, term := uint64(2), uint64(1)
	for i := range 120 {
		switch rng.IntN(6) {
		case 0: // a new leader's entries replace some
			term++
			list = list[:rng.IntN(len(list)+1)]
		case 1:
			if n := len(list); n > 4 {
				at := first + uint64(n/2)
				data := []byte("{}")
				snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: &at, Term: &term,
					ConfState: &pb.ConfState{Voters: me.Voters}}}
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
		w := consensus.ReadyWork{HardState: hard(term, first-1)}
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
		if !slices.Equal(got, list) || disk.HardState.GetTerm() != term || id.Name != me.Name {
			t.Fatalf("%v; want %v", got, list)
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
		t.Errorf("an empty store: %v", err)
	}
	if err := s.Init(me); err != nil {
		t.Fatal(err)
	}
	if err := s.Init(me); err == nil {
		t.Error("made twice")
	}
	if err := s.Put([]byte("after a refusal")); err != nil {
		t.Errorf("a refusal stops the store: %v", err)
	}
	if _, err := Open(dir); err == nil {
		t.Error("two have it open")
	}
	if m, err := s.LastVersion(); m != nil || err != nil {
		t.Errorf("%v, %v", m, err)
	}
	if err := s.SaveLastVersion(&consensus.Manifest{Number: 7}); err != nil {
		t.Fatal(err)
	}
	if m, err := s.LastVersion(); err != nil || m.Number != 7 {
		t.Errorf("%v, %v", m, err)
	}
	s.Close()
}

// Content is there by its hash, or not at all; what nobody refers to goes.
func TestContent(t *testing.T) {
	s := made(t, t.TempDir())
	defer s.Close()
	a, b := []byte("a"), bytes.Repeat([]byte("b"), 1<<20)
	for _, data := range [][]byte{a, b, a} {
		if err := s.Put(data); err != nil {
			t.Fatal(err)
		}
	}
	if s.size != int64(len(a)+len(b)) {
		t.Errorf("%d bytes", s.size)
	}
	if err := s.Sweep(map[string]int{Hash(a): 1}); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Get(Hash(b)); got != nil || err != nil || s.size != 1 {
		t.Errorf("%d bytes left of b, %v; %d", len(got), err, s.size)
	}
	s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketContent).Put([]byte(Hash(a)), []byte("x")) })
	if got, err := s.Get(Hash(a)); got != nil || err != nil {
		t.Errorf("damaged content: %q, %v", got, err)
	}
	s.size = MaxContent
	if err := s.Put([]byte("more")); err == nil {
		t.Error("over the limit")
	}
}

// A file that was cut at any length, or in which any bit flipped, is refused or holds whole entries: never other ones.
func TestDamagedFile(t *testing.T) {
	dir := t.TempDir()
	s := made(t, dir)
	for i := range uint64(6) {
		if err := s.Save(consensus.ReadyWork{HardState: hard(1, 1),
			Entries: []*pb.Entry{entry(2+i, 1, fmt.Sprint("text ", i))}}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	whole, err := os.ReadFile(filepath.Join(dir, "agree.db"))
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
				t.Fatalf("%s: entry %d is %q", what, e.GetIndex(), e.Data)
			}
		}
		return len(disk.Entries) == 6
	}
	if !check("whole", whole) {
		t.Fatal("the whole file is not taken")
	}
	if raced { // the checks of pointers that come with the detector end the process at what is an error without them
		t.Skip("played without the race detector")
	}
	rng := rand.New(rand.NewPCG(41, 2))
	for range 600 {
		at := rng.IntN(len(whole))
		check(fmt.Sprint("cut at ", at), whole[:at])
		flipped := bytes.Clone(whole)
		flipped[at] ^= 1 << rng.IntN(8)
		check(fmt.Sprint("flipped at ", at), flipped)
	}
}

// After a write that failed nothing is claimed any more.
func TestNothingAfterAFailure(t *testing.T) {
	s := made(t, t.TempDir())
	boom := errors.New("no space left")
	if err := s.update(func(*bbolt.Tx) error { return boom }); !errors.Is(err, boom) {
		t.Fatal(err)
	}
	if err := s.Save(consensus.ReadyWork{HardState: hard(2, 1)}); !errors.Is(err, boom) {
		t.Errorf("written after a failure: %v", err)
	}
	s.Close()
}
