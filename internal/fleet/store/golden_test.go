package store

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil/golden"
)

const goldenStore = "testdata/golden/agree.db"

// goldenContent is the content in the golden store; goldenHash is the key of goldenContent.
const (
	goldenContent = "content-a"
	goldenHash    = "f245bf6913791c35ae6570bbb86958c35ac200bf95291ca841ef96d4b2cdf5f6"
)

// goldenIdentity returns the identity in the golden store.
func goldenIdentity() VoterIdentity {
	return VoterIdentity{Fleet: "fleet-a", Name: "voter-a", ID: 3, Voters: []uint64{3, 4, 5}}
}

// goldenWork returns the hard state and the entries in the golden store.
func goldenWork() consensus.ReadyWork {
	return consensus.ReadyWork{
		HardState: &pb.HardState{Term: new(uint64(7)), Vote: new(uint64(5)), Commit: new(uint64(2))},
		Entries: []*pb.Entry{
			{Term: new(uint64(6)), Index: new(uint64(2)), Data: []byte(`{"clear":{"epoch":21,"voter":4}}`)},
			{Term: new(uint64(7)), Index: new(uint64(3)), Data: []byte(`{"free":{"work":"task-b","asked":25,"voter":26}}`)},
		},
	}
}

// goldenVersion returns the last version in the golden store.
func goldenVersion() *consensus.Manifest {
	return &consensus.Manifest{
		Number: 11, Base: 10, ID: "id-a", Proposer: "node-a", Contradicts: true,
		Parts:   []consensus.Part{{Name: "a.toml", Hash: strings.Repeat("a1", 32), SizeBytes: 12}},
		Extends: true, OwnParts: 1, RefusalReason: "node-b: too large",
	}
}

// The starts in the golden store: goldenStart of the store's own voter, goldenOtherStart of another voter.
var (
	goldenStart      = VoterStart{Name: "voter-a", Count: 1, Nonce: "nonce-a"}
	goldenOtherStart = VoterStart{Name: "voter-b", Count: 9, Nonce: "nonce-b"}
)

// writeGoldenStore writes a store with the golden values into a folder.
func writeGoldenStore(t *testing.T, dir string) {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	_, startErr := s.NextStart("voter-a", "nonce-a")
	_, _, otherErr := s.RecordStart(goldenOtherStart)
	for _, err := range []error{
		startErr, otherErr, s.Init(goldenIdentity()), s.Save(goldenWork()), s.Put([]byte(goldenContent)), s.SaveLastVersion(goldenVersion()),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
}

// copyGoldenStore copies the golden store into a new folder, since opening a store writes to it.
func copyGoldenStore(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "agree.db"), golden.Read(t, goldenStore), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// storeValues returns all values of a store as they are on disk, by "bucket/key".
func storeValues(t *testing.T, dir string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, "agree.db"), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	values := map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error { values[string(bucket)+"/"+string(k)] = string(v); return nil })
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return values
}

func TestGoldenStoreOpens(t *testing.T) {
	for _, v := range []any{goldenIdentity(), goldenVersion(), goldenStart, goldenOtherStart} {
		golden.NonZero(t, v)
	}
	s, err := Open(copyGoldenStore(t))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	id, disk, err := s.Voter()
	if err != nil || !reflect.DeepEqual(id, goldenIdentity()) {
		t.Errorf("got identity %+v, error %v; want goldenIdentity and no error", id, err)
	}
	work := goldenWork()
	if !proto.Equal(disk.HardState, work.HardState) {
		t.Errorf("got hard state %v, want that of goldenWork", disk.HardState)
	}
	if want := consensus.InitialDiskState([]uint64{3, 4, 5}).Snapshot; !proto.Equal(disk.Snapshot, want) || disk.Snapshot.GetMetadata().GetIndex() != 1 {
		t.Errorf("got snapshot %v, want the initial one of voters 3, 4 and 5, with index 1", disk.Snapshot)
	}
	if len(disk.Entries) != 2 || !proto.Equal(disk.Entries[0], work.Entries[0]) || !proto.Equal(disk.Entries[1], work.Entries[1]) {
		t.Errorf("got entries %v, want those of goldenWork", disk.Entries)
	}
	if data, err := s.Get(goldenHash); err != nil || !bytes.Equal(data, []byte(goldenContent)) {
		t.Errorf("got content %q, error %v; want goldenContent and no error", data, err)
	}
	if m, err := s.LastVersion(); err != nil || !reflect.DeepEqual(m, goldenVersion()) {
		t.Errorf("got last version %+v, error %v; want goldenVersion and no error", m, err)
	}
	if ok, latest, err := s.RecordStart(VoterStart{Name: "voter-b", Count: 8, Nonce: "nonce-c"}); ok || latest != goldenOtherStart || err != nil {
		t.Errorf("recording an older start of voter-b: got latest start %+v, is latest %v, error %v; want goldenOtherStart, false, nil", latest, ok, err)
	}
	if next, err := s.NextStart("voter-a", "nonce-d"); err != nil || next != (VoterStart{Name: "voter-a", Count: 2, Nonce: "nonce-d"}) {
		t.Errorf("got next start %+v, error %v; want voter-a with count 2 and nonce nonce-d, no error", next, err)
	}
}

func TestGoldenStoreIsWrittenAgain(t *testing.T) {
	dir := t.TempDir()
	writeGoldenStore(t, dir)
	got, want := storeValues(t, dir), storeValues(t, copyGoldenStore(t))
	for k, v := range want {
		if got[k] != v {
			t.Errorf("value of %q: got %q, want %q", k, got[k], v)
		}
	}
	if len(got) != len(want) || len(want) != 9 {
		t.Errorf("got %d values written and %d in the golden store, want 9 in both", len(got), len(want))
	}
	if got["meta/life"][4:] != `{"name":"voter-a","count":1,"nonce":"nonce-a"}` {
		t.Errorf("got %q as the stored start of the store's own voter, want voter-a with count 1 and nonce-a as JSON", got["meta/life"])
	}
}
