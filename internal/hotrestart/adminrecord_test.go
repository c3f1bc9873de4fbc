package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"yokestall/internal/adminstate"
	"yokestall/internal/testutil"
)

// If one copy of the record is truncated, or has a bit flipped, at any byte, a process joins with all changes.
// If both copies are damaged in the same way, a process joins, perhaps without some of the changes. In both
// cases the next commit is kept.
func TestDamagedRecord(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	for _, id := range []string{"s1", "s2"} {
		if err := a.commitChange(adminstate.Detach, id); err != nil {
			t.Fatal(err)
		}
	}
	a.kill()
	var paths [2]string
	for i, name := range recordNames {
		paths[i] = filepath.Join(dir, folderName, name)
	}
	text, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	if other, err := os.ReadFile(paths[1]); err != nil || string(other) != string(text) {
		t.Fatalf("got copies %q and %q, error %v; want equal copies", text, other, err)
	}
	for at := range text {
		for name, bad := range map[string][]byte{
			"truncated": text[:at], "flipped": slices.Concat(text[:at], []byte{text[at] ^ 1<<(at%8)}, text[at+1:]),
		} {
			for copies := range 3 { // index of the damaged copy; 2: both copies are damaged
				for i := range paths {
					content := text
					if copies == i || copies == 2 {
						content = bad
					}
					if err := os.WriteFile(paths[i], content, 0o600); err != nil {
						t.Fatal(err)
					}
				}
				b := join(t, dir)
				if got := b.state.DetachedIDs(); copies < 2 && !slices.Equal(got, []string{"s1", "s2"}) {
					t.Fatalf("copy %d %s at byte %d: got %v detached, want s1 and s2", copies, name, at, got)
				}
				if err := b.commitChange(adminstate.Detach, "s3"); err != nil {
					t.Fatalf("copy %d %s at byte %d: commit: got error %v, want none", copies, name, at, err)
				}
				b.kill()
				c := join(t, dir)
				if !c.state.Detached("s3") {
					t.Fatalf("copy %d %s at byte %d: the next commit was lost", copies, name, at)
				}
				c.kill()
			}
		}
	}
}

// If a change can't be written to the record, Commit returns the cause, and the change is not in force in any
// process. Join fails if the folder can't be created.
func TestRecordCannotBeWritten(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	if err := a.commitChange(adminstate.Detach, "s1"); err != nil {
		t.Fatal(err)
	}
	for fails := range 2 { // index of the copy that can't be written
		calls := 0
		a.appendLine = func(path string, line []byte) error {
			if calls++; calls > fails {
				appendToFile(path, line[:len(line)/2])
				return syscall.ENOSPC
			}
			return appendToFile(path, line)
		}
		if err := a.commitChange(adminstate.Detach, "s2"); !errors.Is(err, syscall.ENOSPC) || a.state.Detached("s2") {
			t.Fatalf("copy %d can't be written: got error %v, s2 detached: %v; want ENOSPC and false", fails, err, a.state.Detached("s2"))
		}
		a.appendLine = appendToFile
		b := join(t, dir)
		if got := b.state.DetachedIDs(); !slices.Equal(got, []string{"s1"}) {
			t.Errorf("copy %d can't be written: got %v detached in another process, want s1", fails, got)
		}
		b.Close()
	}
	if err := a.commitChange(adminstate.Detach, "s2"); err != nil {
		t.Errorf("once the record can be written: got error %v, want none", err)
	}
	// A file in the place of the folder prevents its creation.
	blocked := t.TempDir()
	if err := os.WriteFile(filepath.Join(blocked, folderName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{"", blocked, filepath.Join(blocked, folderName, "x")} {
		if f, _, err := Join(dir, "n0", testutil.Log(t)); err == nil {
			f.Close()
			t.Errorf("Join below %q succeeded, want an error", dir)
		}
	}
}

// Compact shortens a long record and preserves the state that it leads to, but only without other processes.
func TestCompact(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	var all []recordEntry
	for i := range 6000 {
		op := adminstate.Detach
		if i/5%2 == 1 {
			op = adminstate.Attach
		}
		change := adminstate.Change{Operation: op, InstanceID: fmt.Sprint("s", i%5), RequestedAtMs: int64(i + 2)}
		all = append(all, recordEntry{uint64(i + 1), change})
	}
	path := filepath.Join(dir, folderName, recordNames[0])
	for _, name := range recordNames {
		if err := replaceFile(filepath.Join(dir, folderName, name), formatRecord("n0", all)); err != nil {
			t.Fatal(err)
		}
	}
	size := func() int {
		text, err := readLimited(path, maxRecordBytes)
		if err != nil {
			t.Fatal(err)
		}
		return len(text)
	}
	before := size()
	b := join(t, dir)
	if err := a.Compact(a); err != nil || size() != before {
		t.Fatalf("Compact beside another process: got %d bytes, want %d; error %v, want none", size(), before, err)
	}
	b.Close()
	if err := a.Compact(a); err != nil || size() > before/10 {
		t.Fatalf("Compact: got %d bytes, want at most a tenth of %d; error %v, want none", size(), before, err)
	}
	if err := a.commitChange(adminstate.Detach, "s8"); err != nil {
		t.Fatal(err)
	}
	if got, want := join(t, dir).state.DetachedIDs(), a.state.DetachedIDs(); !slices.Equal(got, want) || len(got) == 0 {
		t.Errorf("after Compact and a commit: got %s detached in a new process, want %s", got, want)
	}
}

func FuzzRecord(f *testing.F) {
	record := formatRecord("n0", []recordEntry{
		{1, adminstate.Change{Operation: adminstate.Detach, InstanceID: "s1", RequestedAtMs: 5}},
		{2, adminstate.Change{Operation: adminstate.LameDuck, RequestedAtMs: 6}},
	})
	f.Add(record)
	f.Add(record[:len(record)-3])
	f.Fuzz(func(t *testing.T, text []byte) {
		all, err := parseRecord(text, "n0")
		if err == nil && len(text) > 0 && string(formatRecord("n0", all)) != string(text) {
			t.Errorf("%q was parsed without an error as %+v, which is formatted differently", text, all)
		}
	})
}
