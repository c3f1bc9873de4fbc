package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokestall/internal/config"
)

// wholenessCase is a change of the file of the cluster rooms to the endpoints 1, 2, 3 and 5, without a checksum.
type wholenessCase struct {
	name   string
	change func(f *fixture, path, text string)
	reason string // why the file is not known to be complete; "": it is accepted
}

func wholenessCases() []wholenessCase {
	inPlace := func(f *fixture, path, text string) { f.writeFile(path, text) }
	return []wholenessCase{
		{"renamed", (*fixture).replaceFile, ""},
		{"renamed, with another mode then", func(f *fixture, path, text string) {
			f.replaceFile(path, text)
			must(f.t, os.Chmod(path, 0o600))
		}, ""},
		{"written, and renamed to its name again", func(f *fixture, path, text string) {
			f.writeFile(path, text)
			must(f.t, os.Rename(path, path+".new"), os.Rename(path+".new", path))
		}, ""},
		{"in place", inPlace, reasonWritten},
		{"removed and created", func(f *fixture, path, text string) {
			must(f.t, os.Remove(path))
			f.writeFile(path, text)
		}, reasonWritten},
		{"created, with another mode and time then", func(f *fixture, path, text string) {
			must(f.t, os.Remove(path))
			f.writeFile(path, text)
			must(f.t, os.Chmod(path, 0o600), os.Chtimes(path, time.Now(), time.Now().Add(-time.Hour)))
		}, reasonWritten},
		{"linked to its name", func(f *fixture, path, text string) {
			f.writeFile(path+".new", text)
			must(f.t, os.Remove(path), os.Link(path+".new", path), os.Remove(path+".new"))
		}, reasonWritten},
		{"renamed, with a hard link", func(f *fixture, path, text string) {
			must(f.t, os.MkdirAll(f.dir+"-links", 0o755))
			f.writeFile(path+".new", text)
			must(f.t, os.Link(path+".new", filepath.Join(f.dir+"-links", "a")), os.Rename(path+".new", path))
		}, reasonHardLinks},
		{"by a hard link that goes", func(f *fixture, path, text string) {
			must(f.t, os.MkdirAll(f.dir+"-links", 0o755))
			link := filepath.Join(f.dir+"-links", "a")
			must(f.t, os.Link(path, link))
			f.writeFile(link, text)
			must(f.t, os.Remove(link))
		}, reasonUnseen},
		{"renamed as it was, then by a hard link that goes", func(f *fixture, path, text string) {
			f.replaceFile(path, clusterText("", 1, 2, 3, 4))
			f.poll()
			must(f.t, os.MkdirAll(f.dir+"-links", 0o755))
			link := filepath.Join(f.dir+"-links", "a")
			must(f.t, os.Link(path, link))
			f.writeFile(link, text)
			must(f.t, os.Remove(link))
		}, reasonWritten},
		{"renamed, then in place", func(f *fixture, path, text string) {
			f.replaceFile(path, clusterText("", 1, 2, 3, 6))
			f.writeFile(path, text)
		}, reasonWritten},
		{"renamed while its writer goes on", func(f *fixture, path, text string) {
			file, err := os.Create(path + ".new")
			must(f.t, err)
			f.t.Cleanup(func() { file.Close() })
			_, err = file.WriteString(text)
			must(f.t, err, os.Rename(path+".new", path))
		}, reasonOpen},
		{"truncated by its path", func(f *fixture, path, text string) {
			f.replaceFile(path, text+"# more\n")
			must(f.t, os.Truncate(path, int64(len(text))))
		}, reasonWritten},
	}
}

// Without a checksum, only a file that came to its place in one step, and was not written since, is taken. The log names the file,
// the reason and the remedy once, the status counts the file, and the remedy puts it in force. Guards against a writer that stops at
// a byte where the file is valid (review/8).
func TestWhatIsKnownToBeWhole(t *testing.T) {
	for _, tc := range wholenessCases() {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			r := watchManually(f)
			f.poll = func() { r.poll() }
			awaitClockTick(t)
			tc.change(f, f.roomsFile(), clusterText("", 1, 2, 3, 5))
			s := r.poll()
			if tc.reason == "" {
				if s == nil || ports(s) != "1 2 3 5" {
					t.Fatalf("the file is not accepted: %v", r.w.verdict.err)
				}
				return
			}
			if s != nil {
				t.Fatalf("a version with the ports %q is accepted", ports(s))
			}
			for range 3 {
				if r.poll() != nil {
					t.Fatal("the file is accepted after a while")
				}
			}
			log := f.logs.String()
			wanted := fmt.Sprintf("file=%s reason=%q remedy=\"if it is complete, `yokestall seal %s` puts it in force\"", f.roomsFile(), tc.reason, f.roomsFile())
			if strings.Count(log, fileUnverified) != 1 || !strings.Contains(log, wanted) {
				t.Errorf("want one line with %s; log:\n%s", wanted, log)
			}
			if got := r.w.Status(); got != (Status{Version: 1, Rejected: true, UnverifiedFiles: 1}) {
				t.Errorf("status %+v, want one unverified file", got)
			}
			if tc.reason == reasonOpen {
				return // its writer goes on
			}
			must(t, Seal(f.roomsFile()))
			if s := r.poll(); s == nil || ports(s) != "1 2 3 5" || r.w.Status() != (Status{Version: 2}) {
				t.Errorf("after the remedy the poll returned %v, status %+v; want the version", s, r.w.Status())
			}
		})
	}
}

// A reference that leads to another file counts like a rename: a swapped link, or another folder in the program's file. A file
// that is changed behind it does not.
func TestNewReferences(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(f *fixture, text string)
		want   bool
	}{
		"link to a file": {func(f *fixture, text string) {
			f.writeFile(f.dir+"/.two", text)
			must(f.t, os.Symlink(".two", f.roomsFile()+".new"), os.Rename(f.roomsFile()+".new", f.roomsFile()))
		}, true},
		"link, then its file is written": {func(f *fixture, text string) {
			f.writeFile(f.dir+"/.two", clusterText("", 1, 2, 3, 6))
			must(f.t, os.Symlink(".two", f.roomsFile()+".new"), os.Rename(f.roomsFile()+".new", f.roomsFile()))
			awaitClockTick(f.t)
			f.writeFile(f.dir+"/.two", text)
		}, false},
		"link, then its file is written unnoticed by the clock": {func(f *fixture, text string) {
			f.writeFile(f.dir+"/.two", clusterText("", 1, 2, 3, 6))
			must(f.t, os.Symlink(".two", f.roomsFile()+".new"), os.Rename(f.roomsFile()+".new", f.roomsFile()))
			f.writeFile(f.dir+"/.two", text)
		}, false},
		"link to the same file again": {func(f *fixture, text string) {
			f.writeFile(f.dir+"/.one", text)
			must(f.t, os.Symlink(".one", f.roomsFile()+".new"), os.Rename(f.roomsFile()+".new", f.roomsFile()))
		}, false},
		"another folder in the program's file": {func(f *fixture, text string) {
			must(f.t, os.Mkdir(f.dir+"-2", 0o755))
			f.writeFile(f.dir+"-2/rooms.toml", text)
			f.replaceFile(f.path, strings.Replace(program, `"clusters"`, `"clusters-2"`, 1))
		}, true},
		"another folder, then its file is written": {func(f *fixture, text string) {
			must(f.t, os.Mkdir(f.dir+"-2", 0o755))
			f.replaceFile(f.path, strings.Replace(program, `"clusters"`, `"clusters-2"`, 1))
			awaitClockTick(f.t)
			f.writeFile(f.dir+"-2/rooms.toml", text)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			must(t, os.Rename(f.roomsFile(), f.dir+"/.one"), os.Symlink(".one", f.roomsFile()))
			r := watchManually(f)
			awaitClockTick(t)
			tc.change(f, clusterText("", 1, 2, 3, 5))
			s := r.poll()
			if got := s != nil && ports(s) == "1 2 3 5"; got != tc.want {
				t.Errorf("the change is accepted: %v, want %v; verdict: %v", got, tc.want, r.w.verdict.err)
			}
			if r.poll() != nil {
				t.Error("a second poll returned a version")
			}
		})
	}
}

// A file behind a swapped link that is written after the swap is not taken for one that was there before, also if the attributes of
// the program's file, which names its folder, change after that.
func TestChangeOfAttributesIsNoReference(t *testing.T) {
	f := newFixture(t)
	root := filepath.Dir(f.path)
	for _, folder := range []string{"v1", "v2"} {
		must(t, os.MkdirAll(filepath.Join(root, folder, "clusters"), 0o755))
		f.writeFile(filepath.Join(root, folder, "yokestall.toml"), program)
		f.writeFile(filepath.Join(root, folder, "clusters", "rooms.toml"), clusterText("", 1, 2, 3, 4))
	}
	must(t, os.Symlink("v1", filepath.Join(root, "current")))
	f.path = filepath.Join(root, "current", "yokestall.toml")
	r := watchManually(f)
	must(t, os.Symlink("v2", filepath.Join(root, "next")), os.Rename(filepath.Join(root, "next"), filepath.Join(root, "current")))
	awaitClockTick(t)
	f.writeFile(filepath.Join(root, "v2", "clusters", "rooms.toml"), clusterText("", 1, 2, 3, 5))
	awaitClockTick(t)
	must(t, os.Chmod(f.path, 0o600))
	if s := r.poll(); s != nil {
		t.Errorf("a version with the ports %q is accepted, want none", ports(s))
	}
}

// A program that starts, or a command that reads once, waits for a process that has a file without a checksum open for writing,
// and then fails, or reads the complete file if the process is done. With a checksum it is not concerned.
func TestStartWhileAFileIsWritten(t *testing.T) {
	f := newFixture(t)
	whole := clusterText("", 1, 2, 3, 5)
	file, err := os.Create(f.roomsFile())
	must(t, err)
	_, err = file.WriteString(clusterText("", 1, 2, 3, 4))
	must(t, err)
	if _, err := Load(f.path); err == nil || !strings.Contains(err.Error(), reasonOpen) {
		t.Errorf("Load of a file that is open for writing: error %v, want that", err)
	}
	if _, err := Bundle(f.path); err == nil || !strings.Contains(err.Error(), reasonOpen) {
		t.Errorf("Bundle of a file that is open for writing: error %v, want that", err)
	}
	if _, err := Check(f.roomsFile()); err == nil || !strings.Contains(err.Error(), reasonOpen) {
		t.Errorf("Check of a file that is open for writing: error %v, want that", err)
	}
	time.AfterFunc(2*writerPollInterval, func() {
		file.WriteAt([]byte(whole), 0)
		file.Close()
	})
	if s, err := Load(f.path); err != nil || ports(s) != "1 2 3 5" {
		t.Errorf("Load: %v, error %v; want the whole file", s, err)
	}
	f.writeSealed(f.roomsFile(), whole)
	writer, err := os.OpenFile(f.roomsFile(), os.O_WRONLY, 0)
	must(t, err)
	defer writer.Close()
	if _, err := Check(f.roomsFile()); err != nil {
		t.Errorf("Check of a file with a checksum that is open for writing: %v", err)
	}
}

// Seal does not seal what its writer has not ended, also if an earlier version's checksum stands in the file.
func TestSealWaitsForTheWriter(t *testing.T) {
	f := newFixture(t)
	f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 4))
	writer, err := os.OpenFile(f.roomsFile(), os.O_WRONLY|os.O_APPEND, 0)
	must(t, err)
	defer writer.Close()
	before, err := os.ReadFile(f.roomsFile())
	must(t, err)
	if err := Seal(f.roomsFile()); err == nil || !strings.Contains(err.Error(), reasonOpen) {
		t.Errorf("Seal of a file that is open for writing: error %v, want that", err)
	}
	if after, err := os.ReadFile(f.roomsFile()); err != nil || string(after) != string(before) {
		t.Errorf("the file is %q, error %v; want it as it was", after, err)
	}
}

// A start and the commands that read once take no part of a file with a checksum, at whatever byte its writer stopped.
func TestStartTakesNoPart(t *testing.T) {
	f := newFixture(t)
	for _, path := range []string{f.path, f.roomsFile()} {
		text, err := os.ReadFile(path)
		must(t, err)
		sealed := config.AddChecksum(text)
		for n := range sealed {
			f.writeFile(path, string(sealed[:n]))
			if _, err := Load(f.path); err == nil {
				t.Errorf("Load takes the first %d of %d bytes of %s", n, len(sealed), path)
			}
			if _, err := Bundle(f.path); err == nil {
				t.Errorf("Bundle takes the first %d of %d bytes of %s", n, len(sealed), path)
			}
			if _, err := Check(path); err == nil {
				t.Errorf("Check takes the first %d of %d bytes of %s", n, len(sealed), path)
			}
		}
		f.writeFile(path, string(sealed))
	}
	if _, err := Load(f.path); err != nil {
		t.Error(err)
	}
}

// A JSON file that is created in place is taken once the file beside it has its checksum.
func TestChecksumBesideJSON(t *testing.T) {
	f := newFixture(t)
	folder := filepath.Join(filepath.Dir(f.path), "xds")
	must(t, os.Mkdir(folder, 0o755))
	withoutRoutes, _, _ := strings.Cut(program, "[[host]]")
	f.writeFile(f.path, withXDSFolder(withoutRoutes))
	routes := func(cluster string) string {
		return `{"@type": "type.googleapis.com/envoy.config.route.v3.RouteConfiguration", "name": "main", "virtual_hosts":
			[{"name": "v", "domains": ["*"], "routes": [{"match": {"prefix": "/"}, "route": {"cluster": "` + cluster + `"}}]}]}`
	}
	file := filepath.Join(folder, "routes.json")
	f.writeFile(file, routes("rooms"))
	r := watchManually(f)
	f.writeFile(file, routes("suites"))
	if r.poll() != nil {
		t.Error("a JSON file that was written in place is accepted")
	}
	must(t, Seal(file))
	if s := r.poll(); s == nil || s.Program.Table.Clusters()[0] != "suites" {
		t.Errorf("after the checksum file came the poll returned %v, want the new routes; verdict: %v", s, r.w.verdict.err)
	}
	f.writeFile(file, routes("villas"))
	if r.poll() != nil || Seal(file) != nil {
		t.Error("a JSON file is accepted that is not that of its checksum, or can't be sealed anew")
	}
	if s := r.poll(); s == nil || s.Program.Table.Clusters()[0] != "villas" {
		t.Errorf("after the second checksum the poll returned %v, want the new routes; verdict: %v", s, r.w.verdict.err)
	}
}
