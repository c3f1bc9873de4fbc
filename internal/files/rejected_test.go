package files

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Files that are incomplete or invalid are rejected, which is logged once with the place, and leave the last good
// version in force; check gives the same verdict.
func TestRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *folder)
		want   string
	}{
		"half a file":   {func(f *folder) { f.put(f.rooms(), clusterText("", 1, 2)[:60]) }, "is not whole"},
		"empty":         {func(f *folder) { f.put(f.rooms(), "") }, "rooms.toml:1: is not whole"},
		"no servers":    {func(f *folder) { f.put(f.rooms(), clusterText("")) }, "names no servers"},
		"too many gone": {func(f *folder) { f.put(f.rooms(), clusterText("", 1)) }, "3 of 4 servers would go at once"},
		"a folder": {func(f *folder) {
			os.Remove(f.rooms())
			os.Mkdir(f.rooms(), 0o755)
		}, "rooms.toml: is a folder"},
		"a dangling link": {func(f *folder) {
			os.Remove(f.rooms())
			os.Symlink("nowhere", f.rooms())
		}, "points to a file that is not there"},
		"unreadable to anybody": {func(f *folder) {
			os.Remove(f.rooms())
			os.Symlink("rooms.toml", f.rooms())
		}, "too many levels of symbolic links"},
		"a pipe": {func(f *folder) {
			os.Remove(f.rooms())
			syscall.Mkfifo(f.rooms(), 0o644)
		}, "is no regular file"},
		"100 MB": {func(f *folder) {
			os.Truncate(f.rooms(), 100<<20)
		}, "104857600 bytes; 16777216 at most"},
		"another file is bad": {func(f *folder) {
			f.put(filepath.Join(f.dir, "b.toml"), "x")
			f.put(f.rooms(), clusterText("", 1, 2, 3))
		}, "b.toml:1: is not whole"},
		"the program's file": {func(f *folder) {
			f.put(f.path, strings.Replace(program, "read", "raed", 1))
		}, "is no [[class]]"},
		"no folder": {func(f *folder) {
			os.RemoveAll(f.dir)
		}, "cluster files: open"},
	} {
		t.Run(name, func(t *testing.T) { checkRejected(t, c.change, c.want, name == "too many gone") })
	}
}

// checkRejected checks that a change is rejected with a text in the log, and that a good change after it is accepted.
// loadable reports that the files are good except as a change.
func checkRejected(t *testing.T, change func(f *folder), want string, loadable bool) {
	f := newFolder(t)
	f.watch()
	change(f)
	f.logged(want)
	f.polls(5)
	if n := strings.Count(f.logs.String(), want); n != 1 {
		t.Errorf("logged %d times:\n%s", n, f.logs.String())
	}
	if len(f.got) > 0 {
		t.Error("a version is taken")
	}
	if _, err := Load(f.path); !loadable && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("check says %v", err)
	}
	os.RemoveAll(f.rooms())
	os.Remove(filepath.Join(f.dir, "b.toml"))
	os.Mkdir(f.dir, 0o755)
	f.put(f.path, program)
	f.put(f.rooms(), clusterText("", 1, 2, 3, 9))
	f.want("1 2 3 9")
}

// Open and Load reject files that are invalid or missing.
func TestOpenRefuses(t *testing.T) {
	f := newFolder(t)
	f.put(f.rooms(), "")
	if _, _, err := Open(f.path, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("opened on half a file")
	}
	if _, err := Load(filepath.Join(f.dir, "none.toml")); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("error %v", err)
	}
}
