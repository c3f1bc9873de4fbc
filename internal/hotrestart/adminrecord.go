package hotrestart

import (
	"errors"
	"fmt"
	"os"

	"yokestall/internal/adminstate"
)

// The sizes of a copy of the administrative record. The record has two copies, which are files with the
// same content, so that damage to one of them loses no entry.
const (
	maxRecordBytes        = 1 << 20   // maximum size of a copy
	compactThresholdBytes = 128 << 10 // Compact leaves a smaller copy as it is
)

// recordNames are the names of the files with the two copies of the record.
var recordNames = [2]string{"record-a", "record-b"}

// readRecord returns the entries that at least one copy of the record has. damage is an error for the
// copies that could not be read completely; a missing copy is not damage.
func (f *Folder) readRecord() (entries []recordEntry, damage error) {
	var copies [2][]recordEntry
	for i, name := range recordNames {
		data, err := readLimited(f.path(name), maxRecordBytes)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err == nil {
			copies[i], err = parseRecord(data, f.nodeIdentity)
		}
		if err != nil {
			damage = errors.Join(damage, fmt.Errorf("%s: %w", name, err))
		}
	}
	return mergeCopies(copies[0], copies[1]), damage
}

// readRecordLogged reads the record, and logs damage and missing entries.
func (f *Folder) readRecordLogged() []recordEntry {
	entries, damage := f.readRecord()
	if damage != nil {
		f.log.Warn("administrative record damaged", "err", damage)
	}
	if len(entries) > 0 && hasGap(entries, entries[len(entries)-1].seq) {
		f.log.Error("administrative record incomplete in both copies, check which servers are out of service")
	}
	return entries
}

// takeUndelivered returns those changes of the entries that were neither passed to the AdminState nor returned
// by Join yet, and advances deliveredSeq past them. The caller holds f.mu, or f is not shared yet.
func (f *Folder) takeUndelivered(entries []recordEntry) []adminstate.Change {
	var changes []adminstate.Change
	for _, e := range entries {
		if e.seq > f.deliveredSeq {
			changes = append(changes, e.change)
			f.deliveredSeq = e.seq
		}
	}
	return changes
}

// appendToRecord appends an entry to both copies of the record. entries and damage are the results of
// readRecord; a copy that differs from the entries is first replaced. After an error of an append,
// appendToRecord removes the entry from both copies again. The caller holds the folder's lock.
func (f *Folder) appendToRecord(entries []recordEntry, damage error, e recordEntry) error {
	record := formatRecord(f.nodeIdentity, entries)
	if err := f.repairCopies(record, damage); err != nil {
		return err
	}
	line := appendEntry(nil, e)
	if len(record)+len(line) > maxRecordBytes {
		return fmt.Errorf("the record would exceed its maximum of %d bytes", maxRecordBytes)
	}
	for _, name := range recordNames {
		if err := f.appendLine(f.path(name), line); err != nil {
			f.truncateCopies(int64(len(record)))
			return err
		}
	}
	return nil
}

// repairCopies replaces the copies that differ from the record: all copies if there is damage, otherwise
// those that are missing or have another size.
func (f *Folder) repairCopies(record []byte, damage error) error {
	for _, name := range recordNames {
		info, err := os.Stat(f.path(name))
		if damage == nil && err == nil && info.Size() == int64(len(record)) {
			continue
		}
		if err := replaceFile(f.path(name), record); err != nil {
			return err
		}
	}
	return nil
}

// truncateCopies truncates both copies of the record to a size in bytes. Errors are ignored.
func (f *Folder) truncateCopies(size int64) {
	for _, name := range recordNames {
		os.Truncate(f.path(name), size)
	}
}

// minimalEntries returns the smallest list of entries that leads to the present state. The last one has the
// sequence number of the last delivered entry, so that a process that has applied the record up to that
// entry does not apply the new entries again.
func (f *Folder) minimalEntries(state AdminState) []recordEntry {
	changes := state.MinimalChanges()
	entries := make([]recordEntry, len(changes))
	for i, c := range changes {
		entries[i] = recordEntry{f.deliveredSeq - uint64(len(changes)-1-i), c}
	}
	return entries
}

// Compact replaces a record of at least compactThresholdBytes by the smallest list of entries that leads to
// the same state. It does nothing while another process of the node is alive, since that process could be
// reading the record, or while the folder is locked.
func (f *Folder) Compact(state AdminState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peers, err := f.Peers(); err != nil || len(peers) > 0 || f.presenceFile == nil {
		return err
	}
	info, err := os.Stat(f.path(recordNames[0]))
	if err != nil || info.Size() < compactThresholdBytes || tryLock(f.lockFile) != nil {
		return nil
	}
	defer f.releaseLock()
	entries, _ := f.readRecord()
	if err := f.applyUndelivered(entries, state); err != nil {
		return err
	}
	record := formatRecord(f.nodeIdentity, f.minimalEntries(state))
	for _, name := range recordNames {
		if err := replaceFile(f.path(name), record); err != nil {
			return err
		}
	}
	return nil
}
