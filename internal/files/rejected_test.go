package files

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Incomplete or invalid files are rejected, and the last accepted version stays in force. The rejection is logged once with
// the place of the problem. Load rejects the files for the same reason.
func TestRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *fixture)
		want   string
	}{
		"half a file":   {func(f *fixture) { f.writeFile(f.roomsFile(), clusterText("", 1, 2)[:60]) }, "is not whole"},
		"empty":         {func(f *fixture) { f.writeFile(f.roomsFile(), "") }, "rooms.toml:1: is not whole"},
		"no servers":    {func(f *fixture) { f.writeFile(f.roomsFile(), clusterText("")) }, "names no servers"},
		"too many gone": {func(f *fixture) { f.writeFile(f.roomsFile(), clusterText("", 1)) }, "3 of 4 serving endpoints would be removed or drained at once"},
		"a folder": {func(f *fixture) {
			os.Remove(f.roomsFile())
			os.Mkdir(f.roomsFile(), 0o755)
		}, "rooms.toml: is a folder, not a regular file"},
		"a dangling link": {func(f *fixture) {
			os.Remove(f.roomsFile())
			os.Symlink("nowhere", f.roomsFile())
		}, "is a symbolic link to a file that does not exist"},
		"unreadable to anybody": {func(f *fixture) {
			os.Remove(f.roomsFile())
			os.Symlink("rooms.toml", f.roomsFile())
		}, "too many levels of symbolic links"},
		"a pipe": {func(f *fixture) {
			os.Remove(f.roomsFile())
			syscall.Mkfifo(f.roomsFile(), 0o644)
		}, "is not a regular file"},
		"100 MB": {func(f *fixture) {
			os.Truncate(f.roomsFile(), 100<<20)
		}, "has 104857600 bytes, and at most 16777216 are allowed"},
		"another file is bad": {func(f *fixture) {
			f.writeFile(filepath.Join(f.dir, "b.toml"), "x")
			f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3))
		}, "b.toml:1: is not whole"},
		"the program's file": {func(f *fixture) {
			f.writeFile(f.path, strings.Replace(program, "read", "raed", 1))
		}, "is no [[class]]"},
		"no folder": {func(f *fixture) {
			os.RemoveAll(f.dir)
		}, "cluster files: open"},
	} {
		t.Run(name, func(t *testing.T) { checkRejected(t, c.change, c.want, name == "too many gone") })
	}
}

// checkRejected checks that a change is rejected with the text want in the log, and that a valid change after it is
// accepted. loadable says that the files are valid as a first version, so that Load accepts them.
func checkRejected(t *testing.T, change func(f *fixture), want string, loadable bool) {
	f := newFixture(t)
	f.watch()
	change(f)
	f.awaitLog(want)
	f.awaitPolls(5)
	if n := strings.Count(f.logs.String(), want); n != 1 {
		t.Errorf("the rejection is logged %d times, want once; log:\n%s", n, f.logs.String())
	}
	if len(f.versions) > 0 {
		t.Error("a version with rejected files is accepted")
	}
	if _, err := Load(f.path); !loadable && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("Load returned error %v, want one with the logged text", err)
	}
	os.RemoveAll(f.roomsFile())
	os.Remove(filepath.Join(f.dir, "b.toml"))
	os.Mkdir(f.dir, 0o755)
	f.writeFile(f.path, program)
	f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 9))
	f.awaitPorts("1 2 3 9")
}

// Open rejects a first version that is invalid, and Load a program's file that is missing.
func TestOpenRefuses(t *testing.T) {
	f := newFixture(t)
	f.writeFile(f.roomsFile(), "")
	if _, _, err := Open(f.path, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("Open accepted an empty cluster file")
	}
	if _, err := Load(filepath.Join(f.dir, "none.toml")); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("Load of a missing file returned error %v, want one with its name", err)
	}
}
