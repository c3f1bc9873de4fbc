package files

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// A read is valid while the stamp is unchanged, until fullReadInterval has passed. It is not valid if it was less than
// stampSettleTime after the stamp was first seen, since a later write may have left the stamp unchanged.
func TestStampUpToDate(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	s := stamp{device: 1, inode: 2, mode: syscall.S_IFREG | 0o644, size: 3, modified: 4, changed: 5}
	settled := readState{stamp: s, firstSeen: start, lastRead: start.Add(stampSettleTime)}
	at := settled.lastRead.Add(time.Second)
	other := func(change func(s *stamp)) stamp {
		s := s
		change(&s)
		return s
	}
	for _, tc := range []struct {
		name  string
		h     readState
		now   stamp
		at    time.Time
		fresh bool
	}{
		{"at rest", settled, s, at, true},
		{"never read", readState{}, s, at, false},
		{"never read and does not exist", readState{}, stamp{}, at, false},
		{"read when the stamp was first seen", readState{s, start, start}, s, at, false},
		{"read just before the stamp settled", readState{s, start, start.Add(stampSettleTime - 1)}, s, at, false},
		{"another device", settled, other(func(s *stamp) { s.device++ }), at, false},
		{"another inode", settled, other(func(s *stamp) { s.inode++ }), at, false},
		{"another kind", settled, other(func(s *stamp) { s.mode = syscall.S_IFDIR }), at, false},
		{"another size", settled, other(func(s *stamp) { s.size++ }), at, false},
		{"modified", settled, other(func(s *stamp) { s.modified++ }), at, false},
		{"an older modification", settled, other(func(s *stamp) { s.modified = -1 }), at, false},
		{"changed with its modification restored", settled, other(func(s *stamp) { s.changed++ }), at, false},
		{"removed", settled, stamp{errno: syscall.ENOENT}, at, false},
		{"just before the full read", settled, s, settled.lastRead.Add(fullReadInterval - 1), true},
		{"at the full read", settled, s, settled.lastRead.Add(fullReadInterval), false},
	} {
		if tc.h.upToDate(tc.now, tc.at) != tc.fresh {
			t.Errorf("%s: upToDate returned %v, want the opposite", tc.name, !tc.fresh)
		}
	}
	h := settled
	if h.recordRead(s, at); h.firstSeen != start || !h.upToDate(s, at) {
		t.Errorf("after a second read with the same stamp: %+v, want the former firstSeen and up to date", h)
	}
	h.recordRead(other(func(s *stamp) { s.changed++ }), at)
	if h.firstSeen != at || h.upToDate(h.stamp, at.Add(stampSettleTime)) {
		t.Errorf("after a read with another stamp: %+v, want a new firstSeen and not up to date", h)
	}
}

// While versions are rejected, records of files that no longer exist must not accumulate: above maxRecords records, a
// rejected scan removes those that it did not use.
func TestRecordsAreBounded(t *testing.T) {
	r := newReader("x")
	for i := range maxRecords + 1 {
		r.records[fmt.Sprint(i)] = &record{key: fmt.Sprint(i)}
	}
	r.scanned = []*record{r.records["7"]}
	r.finishScan(false)
	if len(r.records) != 1 || r.records["7"] == nil {
		t.Errorf("%d records are left, want only that of the scanned file", len(r.records))
	}
}
