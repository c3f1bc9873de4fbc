package keystore

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// load reads the file and compacts it.
func (l *Log) load(now time.Time) error {
	text, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("keystore: %w", err)
	}
	if len(text) >= len(magic) && string(text[:len(magic)]) != magic {
		return fmt.Errorf("%w: %s", ErrNotLog, l.path)
	}
	end := min(len(magic), len(text))
	for end < len(text) {
		r, ok := decode(text[end:])
		if !ok {
			break
		}
		end += int(r.size())
		l.apply(r)
	}
	if hasRecord(text, end+1) {
		return fmt.Errorf("%w: %s: byte %d", ErrDamaged, l.path, end)
	}
	return l.compact(now)
}

// hasRecord reports whether a complete record begins anywhere in text from an offset on.
func hasRecord(text []byte, from int) bool {
	for ; from < len(text); from++ {
		if _, ok := decode(text[from:]); ok {
			return true
		}
	}
	return false
}

// compact replaces the file by one with the live records that have not expired. The new file is complete and
// durable before it takes the place of the old one.
func (l *Log) compact(now time.Time) error {
	l.removeExpired(now)
	next := l.path + ".new"
	f, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	file := l.wrap(f)
	size, err := l.writeLive(file)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(next, l.path)
	}
	if err == nil {
		err = syncDir(filepath.Dir(l.path))
	}
	if err != nil {
		file.Close()
		return fmt.Errorf("keystore: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size = file, size
	return nil
}

func (l *Log) removeExpired(now time.Time) {
	for key, r := range l.live {
		if !now.Before(r.expiresAt) {
			l.liveBytes -= r.size()
			delete(l.live, key)
		}
	}
}

// writeLive writes a file's head and the live records, a completed one after its start, and gives the size in
// bytes.
func (l *Log) writeLive(file File) (int64, error) {
	w := bufio.NewWriter(file)
	w.WriteString(magic) // Flush gives the error of any write
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

// syncDir makes a rename in a directory durable.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
