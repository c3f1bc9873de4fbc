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

// One copy of the record is cut, or has a bit flipped, at each byte: a process joins with all changes.
// With both copies damaged alike it joins.
func TestDamagedRecord(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	for _, id := range []string{"s1", "s2"} {
		if err := a.call(adminstate.Detach, id); err != nil {
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
		t.Fatalf("the copies differ: %q and %q, %v", text, other, err)
	}
	for at := range text {
		for name, bad := range map[string][]byte{
			"cut": text[:at], "flipped": slices.Concat(text[:at], []byte{text[at] ^ 1<<(at%8)}, text[at+1:]),
		} {
			for copies := range 3 { // 2: in both copies
				for i := range paths {
					what := text
					if copies == i || copies == 2 {
						what = bad
					}
					if err := os.WriteFile(paths[i], what, 0o600); err != nil {
						t.Fatal(err)
					}
				}
				b := join(t, dir)
				if got := b.state.DetachedIDs(); copies < 2 && !slices.Equal(got, []string{"s1", "s2"}) {
					t.Fatalf("copy %d %s at byte %d: %v are detached", copies, name, at, got)
				}
				if err := b.call(adminstate.Detach, "s3"); err != nil {
					t.Fatalf("copy %d %s at byte %d: %v", copies, name, at, err)
				}
				b.kill()
				c := join(t, dir)
				if !c.state.Detached("s3") {
					t.Fatalf("copy %d %s at byte %d: lost after a commit", copies, name, at)
				}
				c.kill()
			}
		}
	}
}

// A change that can't be put on record fails with the cause, and is not in force anywhere.
func TestRecordCannotBeWritten(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	if err := a.call(adminstate.Detach, "s1"); err != nil {
		t.Fatal(err)
	}
	for fails := range 2 { // at which of the copies
		calls := 0
		a.append = func(path string, line []byte) error {
			if calls++; calls > fails {
				appendToFile(path, line[:len(line)/2])
				return syscall.ENOSPC
			}
			return appendToFile(path, line)
		}
		if err := a.call(adminstate.Detach, "s2"); !errors.Is(err, syscall.ENOSPC) || a.state.Detached("s2") {
			t.Fatalf("copy %d: %v; out %v", fails, err, a.state.Detached("s2"))
		}
		a.append = appendToFile
		b := join(t, dir)
		if got := b.state.DetachedIDs(); !slices.Equal(got, []string{"s1"}) {
			t.Errorf("copy %d: %v are detached", fails, got)
		}
		b.Close()
	}
	if err := a.call(adminstate.Detach, "s2"); err != nil {
		t.Errorf("once it can be written: %v", err)
	}
	// A folder that can't be made.
	blocked := t.TempDir()
	if err := os.WriteFile(filepath.Join(blocked, folderName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{"", blocked, filepath.Join(blocked, folderName, "x")} {
		if f, _, err := Join(dir, "n0", testutil.Log(t)); err == nil {
			f.Close()
			t.Errorf("joined in %q", dir)
		}
	}
}

// Compact bounds the record and preserves its state.
func TestCompact(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	var all []recordEntry
	for i := range 6000 {
		op := adminstate.Detach
		if i/5%2 == 1 {
			op = adminstate.Attach
		}
		change := adminstate.Change{Operation: op, InstanceID: fmt.Sprint("s", i%5), AtMs: int64(i + 2)}
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
		t.Fatalf("beside another process: %d bytes of %d, %v", size(), before, err)
	}
	b.Close()
	if err := a.Compact(a); err != nil || size() > before/10 {
		t.Fatalf("%d bytes of %d, %v", size(), before, err)
	}
	if err := a.call(adminstate.Detach, "s8"); err != nil {
		t.Fatal(err)
	}
	if got, want := join(t, dir).state.DetachedIDs(), a.state.DetachedIDs(); !slices.Equal(got, want) || len(got) == 0 {
		t.Errorf("%s are detached, want %s", got, want)
	}
}

func FuzzRecord(f *testing.F) {
	record := formatRecord("n0", []recordEntry{
		{1, adminstate.Change{Operation: adminstate.Detach, InstanceID: "s1", AtMs: 5}},
		{2, adminstate.Change{Operation: adminstate.LameDuck, AtMs: 6}},
	})
	f.Add(record)
	f.Add(record[:len(record)-3])
	f.Fuzz(func(t *testing.T, text []byte) {
		all, err := parseRecord(text, "n0")
		if err == nil && len(text) > 0 && string(formatRecord("n0", all)) != string(text) {
			t.Errorf("%q was read without an error as %+v", text, all)
		}
	})
}
