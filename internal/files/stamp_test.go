package files

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// What was read stands for as long as the stamp stays and shows each later write; near its first sight it doesn't.
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
		{"never read and not there", readState{}, stamp{}, at, false},
		{"read as it was seen first", readState{s, start, start}, s, at, false},
		{"read just before it settled", readState{s, start, start.Add(stampSettleTime - 1)}, s, at, false},
		{"another device", settled, other(func(s *stamp) { s.device++ }), at, false},
		{"another file", settled, other(func(s *stamp) { s.inode++ }), at, false},
		{"another kind", settled, other(func(s *stamp) { s.mode = syscall.S_IFDIR }), at, false},
		{"longer", settled, other(func(s *stamp) { s.size++ }), at, false},
		{"modified", settled, other(func(s *stamp) { s.modified++ }), at, false},
		{"an older modification", settled, other(func(s *stamp) { s.modified = -1 }), at, false},
		{"changed with its modification restored", settled, other(func(s *stamp) { s.changed++ }), at, false},
		{"gone", settled, stamp{errno: syscall.ENOENT}, at, false},
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
	h.recordRead(other(func(s *stamp) { s.changed++ }), at)
	if h.firstSeen != at || h.upToDate(h.stamp, at.Add(stampSettleTime)) {
		t.Errorf("read with another stamp: %+v", h)
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
