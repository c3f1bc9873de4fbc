package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// What was read stands for as long as the stamp stays and shows each later write; near its first sight it doesn't.
func TestStampUpToDate(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	s := stamp{device: 1, inode: 2, mode: syscall.S_IFREG | 0o644, size: 3, modified: 4, changed: 5}
	settled := history{stamp: s, firstSeen: start, lastRead: start.Add(stampSettleTime)}
	at := settled.lastRead.Add(time.Second)
	other := func(change func(s *stamp)) stamp {
		s := s
		change(&s)
		return s
	}
	for _, tc := range []struct {
		name  string
		h     history
		now   stamp
		at    time.Time
		fresh bool
	}{
		{"at rest", settled, s, at, true},
		{"never read", history{}, s, at, false},
		{"never read and not there", history{}, stamp{}, at, false},
		{"read as it was seen first", history{s, start, start}, s, at, false},
		{"read just before it settled", history{s, start, start.Add(stampSettleTime - 1)}, s, at, false},
		{"another device", settled, other(func(s *stamp) { s.device++ }), at, false},
		{"another file", settled, other(func(s *stamp) { s.inode++ }), at, false},
		{"another kind", settled, other(func(s *stamp) { s.mode = syscall.S_IFDIR }), at, false},
		{"longer", settled, other(func(s *stamp) { s.size++ }), at, false},
		{"modified", settled, other(func(s *stamp) { s.modified++ }), at, false},
		{"an older modification", settled, other(func(s *stamp) { s.modified = -1 }), at, false},
		{"changed with its modification restored", settled, other(func(s *stamp) { s.changed++ }), at, false},
		{"gone", settled, stamp{fault: syscall.ENOENT}, at, false},
		{"just before the full read", settled, s, settled.lastRead.Add(fullReadInterval - 1), true},
		{"at the full read", settled, s, settled.lastRead.Add(fullReadInterval), false},
	} {
		if tc.h.upToDate(tc.now, tc.at) != tc.fresh {
			t.Errorf("%s: fresh is %v", tc.name, !tc.fresh)
		}
	}
	h := settled
	if h.recordRead(s, at); h.firstSeen != start || !h.upToDate(s, at) {
		t.Errorf("read again with the same stamp: %+v", h)
	}
	if h.recordRead(other(func(s *stamp) { s.changed++ }), at); h.firstSeen != at || h.upToDate(h.stamp, at.Add(stampSettleTime)) {
		t.Errorf("read with another stamp: %+v", h)
	}
}

// resting is a watched folder that a test polls by itself, with a clock of its own.
type resting struct {
	*folder
	w     *Watcher
	now   time.Time
	stats int
}

// rest watches a folder until its stamps have settled.
func rest(f *folder) *resting {
	f.t.Helper()
	r := &resting{folder: f, now: time.Now()}
	var err error
	if r.w, _, err = Open(f.path, f.logs.Logger()); err != nil {
		f.t.Fatal(err)
	}
	r.w.reader.clock = func() time.Time { return r.now }
	r.w.reader.stat = func(name string) stamp {
		r.stats++
		return readStamp(name)
	}
	r.settle()
	return r
}

// settle has what stands in the folder read long enough after it was seen first.
func (r *resting) settle() {
	r.t.Helper()
	for range 2 {
		r.now = r.now.Add(stampSettleTime)
		r.w.poll(true)
	}
	if !r.w.reader.unchanged() {
		r.t.Fatal("the folder does not come to rest")
	}
}

func (r *resting) poll() *Snapshot {
	r.now = r.now.Add(time.Second)
	return r.w.poll(true)
}

// tick waits until the file system's clock has gone on, so that what is changed from now on has another stamp.
func tick(t testing.TB) {
	t.Helper()
	probe := filepath.Join(t.TempDir(), "probe")
	touch := func() time.Time {
		if err := os.WriteFile(probe, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(probe)
		if err != nil {
			t.Fatal(err)
		}
		return info.ModTime()
	}
	first := touch()
	next := touch()
	for next.Equal(first) {
		next = touch()
	}
}

func must(t testing.TB, errs ...error) {
	t.Helper()
	for _, err := range errs {
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Each way in which files can change is seen at the next poll by stamps alone, long after they came to rest, and only
// what changed is read.
func TestChangesAtRest(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare, change func(f *folder)
		want            string
		reads           int
	}{
		"in place": {nil, func(f *folder) { f.put(f.rooms(), clusterText("", 1, 2, 3, 5)) }, "1 2 3 5", 1},
		"in place, with the size and the time of before": {nil, func(f *folder) {
			before, err := os.Stat(f.rooms())
			must(f.t, err)
			f.put(f.rooms(), clusterText("", 1, 2, 3, 5))
			must(f.t, os.Chtimes(f.rooms(), before.ModTime(), before.ModTime()))
		}, "1 2 3 5", 1},
		"renamed over, with the size and the time of before": {nil, func(f *folder) {
			before, err := os.Stat(f.rooms())
			must(f.t, err)
			f.put(f.rooms()+".new", clusterText("", 1, 2, 3, 5))
			must(f.t, os.Chtimes(f.rooms()+".new", before.ModTime(), before.ModTime()), os.Rename(f.rooms()+".new", f.rooms()))
		}, "1 2 3 5", 2}, // and the folder
		"a link is swapped": {
			func(f *folder) {
				f.put(f.dir+"/.one", clusterText("", 1, 2, 3, 4))
				f.put(f.dir+"/.two", clusterText("", 1, 2, 3, 5))
				must(f.t, os.Remove(f.rooms()), os.Symlink(".one", f.rooms()))
			},
			func(f *folder) {
				must(f.t, os.Symlink(".two", f.rooms()+".new"), os.Rename(f.rooms()+".new", f.rooms()))
			}, "1 2 3 5", 2},
		"the folder that a link leads through": {
			func(f *folder) {
				for i, name := range []string{"..one", "..two"} {
					must(f.t, os.Mkdir(filepath.Join(f.dir, name), 0o755))
					f.put(filepath.Join(f.dir, name, "rooms.toml"), clusterText("", 1, 2, 3, 4+i))
				}
				must(f.t, os.Remove(f.rooms()), os.Symlink("..one", f.dir+"/..data"), os.Symlink("..data/rooms.toml", f.rooms()))
			},
			func(f *folder) {
				must(f.t, os.Symlink("..two", f.dir+"/..new"), os.Rename(f.dir+"/..new", f.dir+"/..data"))
			}, "1 2 3 5", 2},
		"the folder is a link": {
			func(f *folder) {
				must(f.t, os.Rename(f.dir, f.dir+"-1"), os.Mkdir(f.dir+"-2", 0o755), os.Symlink("clusters-1", f.dir))
				f.put(f.dir+"-2/rooms.toml", clusterText("", 1, 2, 3, 5))
			},
			func(f *folder) { must(f.t, os.Symlink("clusters-2", f.dir+"-3"), os.Rename(f.dir+"-3", f.dir)) }, "1 2 3 5", 2},
		"the folder is replaced": {
			func(f *folder) {
				must(f.t, os.Mkdir(f.dir+"-2", 0o755))
				f.put(f.dir+"-2/rooms.toml", clusterText("", 1, 2, 3, 5))
			},
			func(f *folder) { must(f.t, os.Rename(f.dir, f.dir+"-1"), os.Rename(f.dir+"-2", f.dir)) }, "1 2 3 5", 2},
		"a file comes":       {nil, func(f *folder) { f.put(f.dir+"/b.toml", clusterText("", 9)) }, "1 2 3 4", 2},
		"the program's file": {nil, func(f *folder) { f.put(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1)) }, "1 2 3 4", 1},
		"a file goes": {
			func(f *folder) { f.put(f.rooms(), clusterText("no_servers = \"on purpose\"\n")) },
			func(f *folder) { must(f.t, os.Remove(f.rooms())) }, "none", 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFolder(t)
			if tc.prepare != nil {
				tc.prepare(f)
			}
			r := rest(f)
			tick(t)
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

// A write that leaves the stamp as it was is seen as long as the stamp is young, also where it makes whole what was
// torn.
func TestWritesInOneTick(t *testing.T) {
	f := newFolder(t)
	r := rest(f)
	tick(t)
	whole := clusterText("", 1, 2, 3, 5)
	f.put(f.rooms(), whole[:len(whole)/2])
	frozen := readStamp(f.rooms())
	r.w.reader.stat = func(name string) stamp {
		if name == f.rooms() {
			return frozen
		}
		return readStamp(name)
	}
	if r.poll() != nil || r.w.verdict.err == nil {
		t.Fatal("half a file is taken")
	}
	f.put(f.rooms(), whole)
	if s := r.poll(); s == nil || ports(s) != "1 2 3 5" {
		t.Fatal("the whole file is not seen")
	}
	if log := f.logs.String(); strings.Contains(log, filesRejected) {
		t.Errorf("a file that was being written is logged:\n%s", log)
	}
	f.put(f.rooms(), clusterText("", 1, 2, 3, 6))
	if s := r.poll(); s == nil || ports(s) != "1 2 3 6" { // read at the end of settle
		t.Fatal("the second write is not seen")
	}
}

// Writes without any stamp are seen at the next full read.
func TestFullRead(t *testing.T) {
	f := newFolder(t)
	r := rest(f)
	frozen := map[string]stamp{}
	for _, u := range r.w.reader.scanned {
		frozen[u.name] = u.stamp
	}
	r.w.reader.stat = func(name string) stamp { return frozen[name] }
	f.put(f.rooms(), clusterText("", 1, 2, 3, 5))
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
	for name, damage := range map[string]func(f *folder){
		"in force":                 func(*folder) {},
		"refused":                  func(f *folder) { f.put(f.rooms(), clusterText("", 1)) },
		"a cluster file is bad":    func(f *folder) { f.put(f.rooms(), "x") },
		"the program's is bad":     func(f *folder) { f.put(f.path, "x") },
		"a link leads nowhere":     func(f *folder) { must(f.t, os.Remove(f.rooms()), os.Symlink("none", f.rooms())) },
		"another is too long":      func(f *folder) { f.put(f.dir+"/a.toml", ""); must(f.t, os.Truncate(f.dir+"/a.toml", 100<<20)) },
		"the same bytes are there": func(f *folder) { f.swap(f.rooms(), clusterText("", 1, 2, 3, 4)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFolder(t)
			for i := range 10 {
				f.put(filepath.Join(f.dir, fmt.Sprintf("c%d.toml", i)), clusterText("", 100+i))
			}
			r := rest(f)
			tick(t)
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
			if n, want := strings.Count(f.logs.String(), filesRejected), 1; n > want || (n == 0) != (name == "in force" || name == "the same bytes are there") {
				t.Errorf("logged %d times:\n%s", n, f.logs.String())
			}
		})
	}
}

// A change of one file parses that one, and the other clusters are the same ones; so they are when it is taken back.
func TestOneIsParsed(t *testing.T) {
	f := newFolder(t)
	for i := range 10 {
		f.put(filepath.Join(f.dir, fmt.Sprintf("c%d.toml", i)), clusterText("", 100+i))
	}
	r := rest(f)
	first := r.w.current
	change := func(name, text string, parses int) *Snapshot {
		t.Helper()
		tick(t)
		before := r.w.parser.parses()
		f.put(name, text)
		s := r.poll()
		if n := r.w.parser.parses() - before; n != parses {
			t.Errorf("%d files are parsed, want %d", n, parses)
		}
		return s
	}
	s := change(f.rooms(), clusterText("", 1, 2, 3, 5), 1)
	if s == nil || s.Program != first.Program {
		t.Fatal("not taken, or with another program")
	}
	for name, c := range first.Version.Clusters {
		if (s.Version.Clusters[name] == c) == (name == "rooms") {
			t.Errorf("%s: the same: %v", name, name == "rooms")
		}
	}
	if change(f.rooms(), "x", 1) != nil {
		t.Fatal("taken")
	}
	if change(f.rooms(), clusterText("", 1, 2, 3, 5), 0) != nil {
		t.Fatal("taken again")
	}
	if s := change(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1), 1); s == nil || s.Program == first.Program || s.Version.Clusters["rooms"] != r.w.current.Version.Clusters["rooms"] {
		t.Error("a class's change is not taken, or with other clusters")
	}
	held := len(r.w.parser.clusters.current) + len(r.w.parser.clusters.last) + len(r.w.parser.programs.current) + len(r.w.parser.programs.last)
	if held > 2*12 {
		t.Errorf("%d parsed files are held", held)
	}
}

// How servers are spoken to is taken as well where the servers stay.
func TestTransportChanges(t *testing.T) {
	f := newFolder(t)
	r := rest(f)
	tick(t)
	f.put(f.rooms(), clusterText("protocol = \"http2\"\n", 1, 2, 3, 4))
	if s := r.poll(); s == nil || !s.Version.Clusters["rooms"].Transport.HTTP2 {
		t.Error("the former protocol stays")
	}
}

// A file that changes while others are read starts the look again: no version is of two times.
func TestChangeWhileReading(t *testing.T) {
	f := newFolder(t)
	other := filepath.Join(f.dir, "z.toml")
	f.put(other, clusterText("", 50))
	r := rest(f)
	tick(t)
	f.put(other, clusterText("", 51))
	looked := 0
	r.w.reader.stat = func(name string) stamp {
		if name == other {
			if looked++; looked == 2 { // rooms.toml was looked at before
				f.put(f.rooms(), clusterText("", 1, 2, 3, 5))
			}
		}
		return readStamp(name)
	}
	s := r.poll()
	if s == nil || ports(s) != "1 2 3 5" || s.Version.Clusters["z"].Endpoints[0].ID != "s-51" {
		t.Errorf("taken: %+v", s)
	}
}

// A file that is read again, since what it held was not to be parsed, has to hold the same still.
func TestChangeBeforeParsing(t *testing.T) {
	f := newFolder(t)
	r := rest(f)
	tick(t)
	f.put(f.rooms(), "x")
	r.settle()
	tick(t)
	f.put(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1))
	looked := 0
	r.w.reader.stat = func(name string) stamp {
		s := readStamp(name)
		if name == f.rooms() {
			if looked++; looked == 2 { // after it was seen to stand still at the end of the scan
				f.put(f.rooms(), clusterText("", 1, 2, 3, 5))
			}
		}
		return s
	}
	if s := r.poll(); s != nil {
		t.Error("content is taken for what was there before")
	}
	if s := r.poll(); s == nil || ports(s) != "1 2 3 5" {
		t.Error("the new content is not taken")
	}
	if r.settle(); r.poll() != nil {
		t.Error("it is taken twice")
	}
}

// Files in xDS form at rest are not read, and are read all together where one changes.
func TestXDSAtRest(t *testing.T) {
	f := newFolder(t)
	folder := filepath.Join(filepath.Dir(f.path), "xds")
	must(t, os.Mkdir(folder, 0o755))
	f.put(f.path, strings.Replace(program, "[[class]]", "[xds]\nfolder = \"xds\"\nclass = \"read\"\n[[class]]", 1))
	list := func(name string, port int) {
		f.put(filepath.Join(folder, name+".yaml"), fmt.Sprintf("\"@type\": type.googleapis.com/envoy.config.cluster.v3.Cluster\nname: %s\ntype: STATIC\nload_assignment:\n"+
			"  endpoints:\n  - lb_endpoints:\n    - endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: %d}}}\n...\n", name, port))
	}
	list("suites", 1)
	list("villas", 2)
	r := rest(f)
	suites := r.w.current.Version.Clusters["suites"]
	reads, parses := r.w.reader.reads, r.w.parser.parses()
	for range 100 {
		r.poll()
	}
	if r.w.reader.reads != reads || r.w.parser.parses() != parses {
		t.Error("files at rest are read or parsed")
	}
	tick(t)
	f.put(f.rooms(), clusterText("", 1, 2, 3, 5))
	if s := r.poll(); s == nil || s.Version.Clusters["suites"] != suites || r.w.parser.parses() != parses+1 {
		t.Error("a cluster file's change reads those in xDS form")
	}
	tick(t)
	list("villas", 3)
	if s := r.poll(); s == nil || s.Version.Clusters["villas"].Endpoints[0].Address != "127.0.0.1:3" || s.Version.Clusters["suites"] != suites {
		t.Errorf("a change in xDS form: %+v", s)
	}
}

// Files that come and go while a fault stands are not remembered for ever.
func TestRecordsAreBounded(t *testing.T) {
	r := newReader("x")
	for i := range maxRecords + 1 {
		r.records[fmt.Sprint(i)] = &record{key: fmt.Sprint(i)}
	}
	r.scanned = []*record{r.records["7"]}
	r.finishScan(false)
	if len(r.records) != 1 || r.records["7"] == nil {
		t.Errorf("%d are remembered", len(r.records))
	}
}
