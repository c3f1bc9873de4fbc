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

// WriteSnapshot writes a snapshot for the successor with this process number. It replaces an earlier
// snapshot for that successor.
func (f *Folder) WriteSnapshot(successor uint64, data []byte) error {
	if len(data) > maxSnapshotBytes {
		return fmt.Errorf("snapshot not written: it has %d bytes, maximum %d", len(data), maxSnapshotBytes)
	}
	return replaceFile(f.snapshotPath(successor), data)
}

// TakeSnapshot returns and removes the snapshot that a predecessor wrote for this process. It returns
// nil if there is no snapshot yet, or the snapshot can't be read.
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

// removeOrphanedSnapshots removes the snapshot files among names whose process is not live.
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
