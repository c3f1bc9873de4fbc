package hotrestart

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"yokestall/internal/adminstate"
	"yokestall/internal/testutil"
)

// The golden files were written before identifiers of this package were renamed. Processes of different
// versions share such files, so their format must not change.
const (
	goldenRecord   = "testdata/golden/record.txt"
	goldenPresence = "testdata/golden/presence.txt"
)

// goldenEntries returns the entries in the golden record: one for each operation.
func goldenEntries() []recordEntry {
	return []recordEntry{
		{seq: 3, change: adminstate.Change{Operation: adminstate.Detach, InstanceID: "server 1", RequestedAtMs: 1_700_000_000_101}},
		{seq: 4, change: adminstate.Change{Operation: adminstate.Attach, InstanceID: "s\u00e9rver\"2", RequestedAtMs: 1_700_000_000_202}},
		{seq: 5, change: adminstate.Change{Operation: adminstate.LameDuck, RequestedAtMs: 1_700_000_000_303}},
		{seq: 6, change: adminstate.Change{Operation: adminstate.Rejoin, RequestedAtMs: 1_700_000_000_404}},
	}
}

// goldenPresent returns the presence in the golden presence file.
func goldenPresent() Presence {
	return Presence{Number: 11, Phase: PhaseDraining, AppliedSeq: 12, Descriptors: 13, Successor: 14}
}

// golden reads a golden file.
func golden(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestGoldenRecordParses(t *testing.T) {
	got, err := parseRecord(golden(t, goldenRecord), "node-a")
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenEntries(); !slices.Equal(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestGoldenRecordFormats(t *testing.T) {
	if got, want := formatRecord("node-a", goldenEntries()), golden(t, goldenRecord); !bytes.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestGoldenPresenceParses(t *testing.T) {
	got, err := parsePresence(golden(t, goldenPresence))
	if want := goldenPresent(); err != nil || got != want {
		t.Errorf("got presence %+v, error %v; want %+v and no error", got, err, want)
	}
}

func TestGoldenPresenceEncodes(t *testing.T) {
	if got, want := goldenPresent().encode(), golden(t, goldenPresence); !bytes.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Presence files contain the numbers of the phases, so these must not change.
func TestGoldenPhases(t *testing.T) {
	if got := []ProcessPhase{PhaseStarting, PhaseServing, PhaseDraining}; !slices.Equal(got, []ProcessPhase{0, 1, 2}) {
		t.Errorf("got phases %d, want 0, 1, 2", got)
	}
}

func TestGoldenFileNames(t *testing.T) {
	got := []string{folderName, lockName, presencePrefix, snapshotPrefix, recordNames[0], recordNames[1], InheritedSocketEnv}
	want := []string{"yokestall", "lock", "process-", "knowledge-", "record-a", "record-b", "BALANCER_PASSED_SOCKET"}
	if !slices.Equal(got, want) {
		t.Errorf("got names %q, want %q", got, want)
	}
}

// A process reads the record, and creates its own files, under the names that other versions use.
func TestGoldenFolder(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "yokestall"), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"record-a", "record-b"} {
		if err := os.WriteFile(filepath.Join(dir, "yokestall", name), golden(t, goldenRecord), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f, changes, err := Join(dir, "node-a", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var want []adminstate.Change
	for _, e := range goldenEntries() {
		want = append(want, e.change)
	}
	if !slices.Equal(changes, want) {
		t.Errorf("got changes %+v, want %+v", changes, want)
	}
	if err := f.WriteSnapshot(7, []byte("snapshot")); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(filepath.Join(dir, "yokestall"))
	if err != nil {
		t.Fatal(err)
	}
	var names []string // sorted
	for _, file := range files {
		names = append(names, file.Name())
	}
	if want := []string{"knowledge-7", "lock", "process-1", "record-a", "record-b"}; !slices.Equal(names, want) {
		t.Errorf("got files %q, want %q", names, want)
	}
}
