package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// settledChange is a change of a fixture whose stamps have settled, and what the next poll accepts and reads.
type settledChange struct {
	name    string
	prepare func(f *fixture) // changes the files before their stamps settle; nil: no change
	change  func(f *fixture)
	want    string // ports of the endpoints after the change
	reads   int    // number of files and folders that the poll reads
}

// fileChanges returns changes of regular files.
func fileChanges() []settledChange {
	return []settledChange{
		{
			name:   "in place",
			change: func(f *fixture) { f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 5)) },
			want:   "1 2 3 5", reads: 1,
		},
		{
			name:    "in place, with the size and the time of before",
			prepare: func(f *fixture) { f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 4)) },
			change: func(f *fixture) {
				before, err := os.Stat(f.roomsFile())
				must(f.t, err)
				f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 5))
				must(f.t, os.Chtimes(f.roomsFile(), before.ModTime(), before.ModTime()))
			},
			want: "1 2 3 5", reads: 1,
		},
		{
			name: "renamed over, with the size and the time of before",
			change: func(f *fixture) {
				before, err := os.Stat(f.roomsFile())
				must(f.t, err)
				next := f.roomsFile() + ".new"
				f.writeFile(next, clusterText("", 1, 2, 3, 5))
				must(f.t, os.Chtimes(next, before.ModTime(), before.ModTime()), os.Rename(next, f.roomsFile()))
			},
			want: "1 2 3 5", reads: 2, // the file and the folder
		},
		{
			name:   "a file comes",
			change: func(f *fixture) { f.writeSealed(f.dir+"/b.toml", clusterText("", 9)) },
			want:   "1 2 3 4", reads: 2,
		},
		{
			name:   "the program's file",
			change: func(f *fixture) { f.writeSealed(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1)) },
			want:   "1 2 3 4", reads: 1,
		},
		{
			name:    "a file goes",
			prepare: func(f *fixture) { f.writeFile(f.roomsFile(), clusterText("no_servers = \"on purpose\"\n")) },
			change:  func(f *fixture) { must(f.t, os.Remove(f.roomsFile())) },
			want:    "none", reads: 1,
		},
	}
}

// folderChanges returns changes of symbolic links and of folders.
func folderChanges() []settledChange {
	return []settledChange{
		{
			name: "a link is swapped",
			prepare: func(f *fixture) {
				f.writeFile(f.dir+"/.one", clusterText("", 1, 2, 3, 4))
				f.writeFile(f.dir+"/.two", clusterText("", 1, 2, 3, 5))
				must(f.t, os.Remove(f.roomsFile()), os.Symlink(".one", f.roomsFile()))
			},
			change: func(f *fixture) {
				must(f.t, os.Symlink(".two", f.roomsFile()+".new"), os.Rename(f.roomsFile()+".new", f.roomsFile()))
			},
			want: "1 2 3 5", reads: 2,
		},
		{
			name: "the folder that a link leads through",
			prepare: func(f *fixture) {
				for i, name := range []string{"..one", "..two"} {
					must(f.t, os.Mkdir(filepath.Join(f.dir, name), 0o755))
					f.writeFile(filepath.Join(f.dir, name, "rooms.toml"), clusterText("", 1, 2, 3, 4+i))
				}
				must(f.t, os.Remove(f.roomsFile()))
				must(f.t, os.Symlink("..one", f.dir+"/..data"), os.Symlink("..data/rooms.toml", f.roomsFile()))
			},
			change: func(f *fixture) {
				must(f.t, os.Symlink("..two", f.dir+"/..new"), os.Rename(f.dir+"/..new", f.dir+"/..data"))
			},
			want: "1 2 3 5", reads: 2,
		},
		{
			name: "the folder is a link",
			prepare: func(f *fixture) {
				must(f.t, os.Rename(f.dir, f.dir+"-1"), os.Mkdir(f.dir+"-2", 0o755), os.Symlink("clusters-1", f.dir))
				f.writeFile(f.dir+"-2/rooms.toml", clusterText("", 1, 2, 3, 5))
			},
			change: func(f *fixture) {
				must(f.t, os.Symlink("clusters-2", f.dir+"-3"), os.Rename(f.dir+"-3", f.dir))
			},
			want: "1 2 3 5", reads: 2,
		},
		{
			name: "the folder is replaced",
			prepare: func(f *fixture) {
				must(f.t, os.Mkdir(f.dir+"-2", 0o755))
				f.writeSealed(f.dir+"-2/rooms.toml", clusterText("", 1, 2, 3, 5))
			},
			change: func(f *fixture) {
				must(f.t, os.Rename(f.dir, f.dir+"-1"), os.Rename(f.dir+"-2", f.dir))
			},
			want: "1 2 3 5", reads: 2,
		},
	}
}

// After the stamps have settled, the next poll detects each kind of change by stamps alone, and reads only the files and
// folders that changed.
func TestChangesAtRest(t *testing.T) {
	for _, tc := range append(fileChanges(), folderChanges()...) {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			if tc.prepare != nil {
				tc.prepare(f)
			}
			r := watchManually(f)
			awaitClockTick(t)
			tc.change(f)
			reads := r.w.reader.reads
			s := r.poll()
			if s == nil {
				t.Fatalf("the poll returned no version after the change; log:\n%s", f.logs.String())
			}
			if got := ports(s); got != tc.want {
				t.Errorf("endpoints with ports %q, want %q", got, tc.want)
			}
			if n := r.w.reader.reads - reads; n != tc.reads {
				t.Errorf("the poll read %d files and folders, want %d", n, tc.reads)
			}
			r.settle()
			if r.poll() != nil {
				t.Error("a second poll returned the version again, want nil")
			}
		})
	}
}

// A write that leaves the stamp unchanged, even after the stamp has settled, is found at the next full read.
func TestFullRead(t *testing.T) {
	f := newFixture(t)
	r := watchManually(f)
	frozen := map[string]stamp{}
	for _, u := range r.w.reader.scanned {
		frozen[u.name] = u.stamp
	}
	r.w.reader.stat = func(name string) stamp { return frozen[name] }
	f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 5))
	if r.poll() != nil {
		t.Fatal("a poll with unchanged stamps returned a version, so that the test does not freeze the stamps")
	}
	r.now = r.now.Add(fullReadInterval)
	if s := r.w.poll(true); s == nil || ports(s) != "1 2 3 5" {
		t.Error("the poll after fullReadInterval did not return the version with the write")
	}
}

// While no file changes, polls read and parse nothing, whether the files are accepted or rejected. Each poll costs one stat
// for each file and folder.
func TestQuietPolls(t *testing.T) {
	for name, damage := range map[string]func(f *fixture){
		"in force":              func(*fixture) {},
		"refused":               func(f *fixture) { f.writeFile(f.roomsFile(), clusterText("", 1)) },
		"a cluster file is bad": func(f *fixture) { f.writeFile(f.roomsFile(), "x") },
		"the program's is bad":  func(f *fixture) { f.writeFile(f.path, "x") },
		"a link leads nowhere":  func(f *fixture) { must(f.t, os.Remove(f.roomsFile()), os.Symlink("none", f.roomsFile())) },
		"another is too long": func(f *fixture) {
			f.writeFile(f.dir+"/a.toml", "")
			must(f.t, os.Truncate(f.dir+"/a.toml", 100<<20))
		},
		"the same bytes are there": func(f *fixture) { f.replaceFile(f.roomsFile(), clusterText("", 1, 2, 3, 4)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for i := range 10 {
				f.writeFile(filepath.Join(f.dir, fmt.Sprintf("c%d.toml", i)), clusterText("", 100+i))
			}
			r := watchManually(f)
			awaitClockTick(t)
			damage(f)
			r.settle()
			reads, parses, stats := r.w.reader.reads, r.w.parser.parses(), r.stats
			for range 1000 {
				if r.poll() != nil {
					t.Fatal("a poll returned a version though no file had changed")
				}
			}
			if n := r.w.reader.reads - reads; n != 0 {
				t.Errorf("%d reads in 1000 polls, want 0", n)
			}
			if n := r.w.parser.parses() - parses; n != 0 {
				t.Errorf("%d parses in 1000 polls, want 0", n)
			}
			if n := r.stats - stats; n > 1000*14 { // the program's file, the folder and at most 12 cluster files
				t.Errorf("%d stats in 1000 polls, want at most 14000", n)
			}
			n := strings.Count(f.logs.String(), filesRejected)
			accepted := name == "in force" || name == "the same bytes are there"
			if n > 1 || (n == 0) != accepted {
				t.Errorf("%d log lines for rejected files, want none for accepted files and one otherwise; log:\n%s", n, f.logs.String())
			}
		})
	}
}

// After a change of one file only that file is parsed, and the other clusters are the same values as before. When the change
// is reverted, nothing is parsed.
func TestOneIsParsed(t *testing.T) {
	f := newFixture(t)
	for i := range 10 {
		f.writeFile(filepath.Join(f.dir, fmt.Sprintf("c%d.toml", i)), clusterText("", 100+i))
	}
	r := watchManually(f)
	first := r.w.current
	change := func(name, text string, parses int) *Configuration {
		t.Helper()
		awaitClockTick(t)
		before := r.w.parser.parses()
		f.writeSealed(name, text)
		s := r.poll()
		if n := r.w.parser.parses() - before; n != parses {
			t.Errorf("the poll parsed %d files, want %d", n, parses)
		}
		return s
	}
	s := change(f.roomsFile(), clusterText("", 1, 2, 3, 5), 1)
	if s == nil || s.Program != first.Program {
		t.Fatal("a changed cluster file is not accepted, or the version has another program")
	}
	for name, c := range first.Version.Clusters {
		if (s.Version.Clusters[name] == c) == (name == "rooms") {
			t.Errorf("cluster %s: is the same value as before: %v, want the opposite", name, name == "rooms")
		}
	}
	if change(f.roomsFile(), "x", 1) != nil {
		t.Fatal("an invalid cluster file is accepted")
	}
	if change(f.roomsFile(), clusterText("", 1, 2, 3, 5), 0) != nil {
		t.Fatal("the files of the current version are accepted as a new version")
	}
	s = change(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1), 1)
	rooms := r.w.current.Version.Clusters["rooms"]
	if s == nil || s.Program == first.Program || s.Version.Clusters["rooms"] != rooms {
		t.Error("a changed class is not accepted, or the version has the former program or another cluster")
	}
	clusters, programs := &r.w.parser.clusters, &r.w.parser.programs
	cached := len(clusters.current) + len(clusters.last) + len(programs.current) + len(programs.last)
	if cached > 2*12 {
		t.Errorf("%d parsed files are cached, want at most 24", cached)
	}
}

// A change of a cluster's transport makes a new version even if its endpoints stay the same.
func TestTransportChanges(t *testing.T) {
	f := newFixture(t)
	r := watchManually(f)
	awaitClockTick(t)
	f.replaceFile(f.roomsFile(), clusterText("protocol = \"http2\"\n", 1, 2, 3, 4))
	if s := r.poll(); s == nil || !s.Version.Clusters["rooms"].Transport.HTTP2 {
		t.Error("the version after the change of the protocol does not use HTTP/2")
	}
}
