package hotrestart

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	snapshotPrefix   = "knowledge-"
	maxSnapshotBytes = 4 << 20
)

// WriteSnapshot leaves a snapshot for the successor with a number, in place of an earlier one.
func (f *Folder) WriteSnapshot(successor uint64, data []byte) error {
	if len(data) > maxSnapshotBytes {
		return fmt.Errorf("snapshot of %d bytes, maximum %d", len(data), maxSnapshotBytes)
	}
	return replaceFile(f.snapshotPath(successor), data)
}

// TakeSnapshot returns and removes the snapshot that a predecessor left for this process; nil if there
// is none yet.
func (f *Folder) TakeSnapshot() []byte {
	path := f.snapshotPath(f.self.Number)
	data, err := readLimited(path, maxSnapshotBytes)
	if err != nil {
		return nil
	}
	os.Remove(path)
	return data
}

func (f *Folder) snapshotPath(successor uint64) string {
	return f.path(snapshotPrefix + strconv.FormatUint(successor, 10))
}

// removeOrphanedSnapshots removes the snapshots for processes that are not live.
func (f *Folder) removeOrphanedSnapshots(names []string, live map[uint64]bool) {
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) {
			continue
		}
		if number, ok := numberedFile(name, snapshotPrefix); !ok || !live[number] {
			os.Remove(f.path(name))
		}
	}
}
