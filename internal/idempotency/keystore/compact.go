package keystore

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// load reads the file, if it exists, and compacts it.
func (l *Log) load(now time.Time) error {
	data, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("keystore: reading the log: %w", err)
	}
	if len(data) >= len(magic) && string(data[:len(magic)]) != magic {
		return fmt.Errorf("%w: %s", ErrNotLog, l.path)
	}
	end := min(len(magic), len(data))
	for end < len(data) {
		r, ok := decode(data[end:])
		if !ok {
			break
		}
		end += int(r.size())
		l.apply(r)
	}
	if hasRecord(data, end+1) {
		return fmt.Errorf("%w: %s: unreadable record at byte %d", ErrDamaged, l.path, end)
	}
	return l.compact(now)
}

// hasRecord reports whether a complete record begins anywhere in data at or after the offset from.
func hasRecord(data []byte, from int) bool {
	for ; from < len(data); from++ {
		if _, ok := decode(data[from:]); ok {
			return true
		}
	}
	return false
}

// compact replaces the file by one that holds only the live records that have not expired. The new file is complete and
// durable before it replaces the old one.
func (l *Log) compact(now time.Time) error {
	l.removeExpired(now)
	newPath := l.path + ".new"
	f, err := os.OpenFile(newPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("keystore: creating the compacted log: %w", err)
	}
	file := l.wrap(f)
	size, err := l.writeLive(file)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(newPath, l.path)
	}
	if err == nil {
		err = syncDir(filepath.Dir(l.path))
	}
	if err != nil {
		file.Close()
		return fmt.Errorf("keystore: writing the compacted log: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size = file, size
	return nil
}

// removeExpired removes the live records of keys whose windows have ended.
func (l *Log) removeExpired(now time.Time) {
	for key, r := range l.live {
		if !now.Before(r.expiresAt) {
			l.liveBytes -= r.size()
			delete(l.live, key)
		}
	}
}

// writeLive writes the magic number and the live records to a file, and returns the file's size in bytes. For a key whose
// request has completed it writes the record of the start and then that of the completion.
func (l *Log) writeLive(file File) (int64, error) {
	w := bufio.NewWriter(file)
	w.WriteString(magic) // Flush returns the error of any earlier write
	size := int64(len(magic))
	for _, r := range l.live {
		start := r
		start.kind = started
		encoded := start.append(nil)
		if r.kind != started {
			encoded = r.append(encoded)
		}
		w.Write(encoded)
		size += int64(len(encoded))
	}
	return size, w.Flush()
}

// syncDir calls fsync on a directory, which makes a rename in it durable.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
