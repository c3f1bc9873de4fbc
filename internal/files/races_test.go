package files

import (
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/config"
)

// A write that leaves the stamp unchanged is detected if it follows within stampSettleTime after the stamp was first seen,
// also if it completes a file that was incomplete.
func TestWritesInOneTick(t *testing.T) {
	f := newFixture(t)
	r := watchManually(f)
	awaitClockTick(t)
	complete := string(config.AddChecksum([]byte(clusterText("", 1, 2, 3, 5))))
	f.writeFile(f.roomsFile(), complete[:len(complete)/2])
	frozen := readStamp(f.roomsFile())
	r.w.reader.stat = func(name string) stamp {
		if name == f.roomsFile() {
			return frozen
		}
		return readStamp(name)
	}
	if r.poll() != nil || r.w.verdict.err == nil {
		t.Fatal("an incomplete file is accepted")
	}
	f.writeFile(f.roomsFile(), complete)
	if s := r.poll(); s == nil || ports(s) != "1 2 3 5" {
		t.Fatal("the poll after the write that completed the file did not return the version")
	}
	if log := f.logs.String(); strings.Contains(log, filesRejected) {
		t.Errorf("a file that was being written is logged as rejected; log:\n%s", log)
	}
	f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 6))
	if s := r.poll(); s == nil || ports(s) != "1 2 3 6" { // at stampSettleTime after the stamp was first seen
		t.Fatal("the poll after the second write did not return the version")
	}
}

// If a file changes while others are read, the scan starts over. Otherwise a version could mix files of two times.
func TestChangeWhileReading(t *testing.T) {
	f := newFixture(t)
	other := filepath.Join(f.dir, "z.toml")
	f.writeFile(other, clusterText("", 50))
	r := watchManually(f)
	awaitClockTick(t)
	f.writeSealed(other, clusterText("", 51))
	reads := 0
	r.w.reader.stat = func(name string) stamp {
		if name == other {
			if reads++; reads == 2 { // the scan has read rooms.toml before
				f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 5))
			}
		}
		return readStamp(name)
	}
	s := r.poll()
	if s == nil || ports(s) != "1 2 3 5" || s.Version.Clusters["z"].Endpoints[0].ID != "s-51" {
		t.Errorf("the poll returned %+v, want a version with both changes", s)
	}
}

// After a rejected version, the content of an invalid file is released and its parse error is not cached. A later check reads
// the file again and must find the content that the scan found. Otherwise a version could mix files of two times.
func TestChangeBeforeParsing(t *testing.T) {
	f := newFixture(t)
	r := watchManually(f)
	awaitClockTick(t)
	f.writeFile(f.roomsFile(), "x")
	r.settle()
	awaitClockTick(t)
	f.writeSealed(f.path, strings.Replace(program, `"1s"`, `"2s"`, 1))
	reads := 0
	r.w.reader.stat = func(name string) stamp {
		s := readStamp(name)
		if name == f.roomsFile() {
			if reads++; reads == 2 { // after the stat at the end of the scan, before the file is parsed
				f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 5))
			}
		}
		return s
	}
	if s := r.poll(); s != nil {
		t.Error("a version is accepted with content that was written after the scan")
	}
	if s := r.poll(); s == nil || ports(s) != "1 2 3 5" {
		t.Error("the poll after the change did not return the version with the new content")
	}
	if r.settle(); r.poll() != nil {
		t.Error("a second poll returned the version again, want nil")
	}
}
