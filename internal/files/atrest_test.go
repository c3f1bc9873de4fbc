package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// settledChange is a change of a folder at rest and what one poll takes and reads after it.
type settledChange struct {
	name    string
	prepare func(f *fixture) // before the folder comes to rest; nil: nothing
	change  func(f *fixture)
	want    string // ports of the servers
	reads   int    // files and folders
}

// fileChanges returns changes of files that are no links.
func fileChanges() []settledChange {
	return []settledChange{
		{
			name:   "in place",
			change: func(f *fixture) { f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 5)) },
			want:   "1 2 3 5", reads: 1,
		},
		{
			name: "in place, with the size and the time of before",
			change: func(f *fixture) {
				before, err := os.Stat(f.roomsFile())
				must(f.t, err)
				f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 5))
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
			want: "1 2 3 5", reads: 2, // and the folder
		},
		{
			name:   "a file comes",
			change: func(f *fixture) { f.writeFile(f.dir+"/b.toml", clusterText("", 9)) },
			want:   "1 2 3 4", reads: 2,
		},
		{
			name:   "the program's file",
			change: func(f *fixture) { f.writeFile(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1)) },
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

// folderChanges returns changes of links and of folders.
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
				f.writeFile(f.dir+"-2/rooms.toml", clusterText("", 1, 2, 3, 5))
			},
			change: func(f *fixture) {
				must(f.t, os.Rename(f.dir, f.dir+"-1"), os.Rename(f.dir+"-2", f.dir))
			},
			want: "1 2 3 5", reads: 2,
		},
	}
}

// Each way in which files can change is seen at the next poll by stamps alone, long after they came to rest, and only
// what changed is read.
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
				t.Fatalf("nothing is seen:\n%s", f.logs.String())
			}
			if got := ports(s); got != tc.want {
				t.Errorf("servers %q, want %q", got, tc.want)
			}
			if n := r.w.reader.reads - reads; n != tc.reads {
				t.Errorf("%d files and folders are read, want %d", n, tc.reads)
			}
			r.settle()
			if r.poll() != nil {
				t.Error("it is taken twice")
			}
		})
	}
}

// Writes without any stamp are seen at the next full read.
func TestFullRead(t *testing.T) {
	f := newFixture(t)
	r := watchManually(f)
	frozen := map[string]stamp{}
	for _, u := range r.w.reader.scanned {
		frozen[u.name] = u.stamp
	}
	r.w.reader.stat = func(name string) stamp { return frozen[name] }
	f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 5))
	if r.poll() != nil {
		t.Fatal("seen with the stamp of before: the test freezes nothing")
	}
	r.now = r.now.Add(fullReadInterval)
	if s := r.w.poll(true); s == nil || ports(s) != "1 2 3 5" {
		t.Error("it is never seen")
	}
}

// A thousand polls at rest read and parse nothing, whether the files are in force or refused, and cost a stat for
// each file and folder.
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
					t.Fatal("a version is taken")
				}
			}
			if n := r.w.reader.reads - reads; n != 0 {
				t.Errorf("%d reads", n)
			}
			if n := r.w.parser.parses() - parses; n != 0 {
				t.Errorf("%d parses", n)
			}
			if n := r.stats - stats; n > 1000*14 { // the program's file, the folder, 12 of clusters
				t.Errorf("%d stats", n)
			}
			n := strings.Count(f.logs.String(), filesRejected)
			accepted := name == "in force" || name == "the same bytes are there"
			if n > 1 || (n == 0) != accepted {
				t.Errorf("logged %d times:\n%s", n, f.logs.String())
			}
		})
	}
}

// A change of one file parses that one, and the other clusters are the same ones; so they are when it is taken back.
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
		f.writeFile(name, text)
		s := r.poll()
		if n := r.w.parser.parses() - before; n != parses {
			t.Errorf("%d files are parsed, want %d", n, parses)
		}
		return s
	}
	s := change(f.roomsFile(), clusterText("", 1, 2, 3, 5), 1)
	if s == nil || s.Program != first.Program {
		t.Fatal("not taken, or with another program")
	}
	for name, c := range first.Version.Clusters {
		if (s.Version.Clusters[name] == c) == (name == "rooms") {
			t.Errorf("%s: the same: %v", name, name == "rooms")
		}
	}
	if change(f.roomsFile(), "x", 1) != nil {
		t.Fatal("taken")
	}
	if change(f.roomsFile(), clusterText("", 1, 2, 3, 5), 0) != nil {
		t.Fatal("taken again")
	}
	s = change(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1), 1)
	rooms := r.w.current.Version.Clusters["rooms"]
	if s == nil || s.Program == first.Program || s.Version.Clusters["rooms"] != rooms {
		t.Error("a class's change is not taken, or with other clusters")
	}
	clusters, programs := &r.w.parser.clusters, &r.w.parser.programs
	cached := len(clusters.current) + len(clusters.last) + len(programs.current) + len(programs.last)
	if cached > 2*12 {
		t.Errorf("%d parsed files are cached", cached)
	}
}

// How servers are spoken to is taken as well where the servers stay.
func TestTransportChanges(t *testing.T) {
	f := newFixture(t)
	r := watchManually(f)
	awaitClockTick(t)
	f.writeFile(f.roomsFile(), clusterText("protocol = \"http2\"\n", 1, 2, 3, 4))
	if s := r.poll(); s == nil || !s.Version.Clusters["rooms"].Transport.HTTP2 {
		t.Error("the former protocol stays")
	}
}
