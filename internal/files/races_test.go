package files

import (
	"path/filepath"
	"strings"
	"testing"
)

// A write that leaves the stamp as it was is seen while the stamp is young, also where it completes a file that was
// incomplete.
func TestWritesInOneTick(t *testing.T) {
	f := newFixture(t)
	r := watchManually(f)
	awaitClockTick(t)
	complete := clusterText("", 1, 2, 3, 5)
	f.writeFile(f.roomsFile(), complete[:len(complete)/2])
	frozen := readStamp(f.roomsFile())
	r.w.reader.stat = func(name string) stamp {
		if name == f.roomsFile() {
			return frozen
		}
		return readStamp(name)
	}
	if r.poll() != nil || r.w.verdict.err == nil {
		t.Fatal("half a file is taken")
	}
	f.writeFile(f.roomsFile(), complete)
	if s := r.poll(); s == nil || ports(s) != "1 2 3 5" {
		t.Fatal("the complete file is not seen")
	}
	if log := f.logs.String(); strings.Contains(log, filesRejected) {
		t.Errorf("a file that was being written is logged:\n%s", log)
	}
	f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 6))
	if s := r.poll(); s == nil || ports(s) != "1 2 3 6" { // read at the end of settle
		t.Fatal("the second write is not seen")
	}
}

// A file that changes while others are read starts the scan again: no version is of two times.
func TestChangeWhileReading(t *testing.T) {
	f := newFixture(t)
	other := filepath.Join(f.dir, "z.toml")
	f.writeFile(other, clusterText("", 50))
	r := watchManually(f)
	awaitClockTick(t)
	f.writeFile(other, clusterText("", 51))
	reads := 0
	r.w.reader.stat = func(name string) stamp {
		if name == other {
			if reads++; reads == 2 { // rooms.toml was looked at before
				f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 5))
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
	f := newFixture(t)
	r := watchManually(f)
	awaitClockTick(t)
	f.writeFile(f.roomsFile(), "x")
	r.settle()
	awaitClockTick(t)
	f.writeFile(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1))
	reads := 0
	r.w.reader.stat = func(name string) stamp {
		s := readStamp(name)
		if name == f.roomsFile() {
			if reads++; reads == 2 { // after it was seen to stand still at the end of the scan
				f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 5))
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
