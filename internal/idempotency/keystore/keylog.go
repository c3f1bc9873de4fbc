// Package keystore keeps on a disk which keys have started and how they finished, so that after a
// crash a key that had started and not finished is known as one that may have run, and is not
// taken for new.
//
// The file is a head of eight bytes and then records, each with its length, a CRC-32C and its
// content. What callers hand in while a write is under way goes out together with the next one
// (group commit), followed by one fsync; Started returns once its record is durable, so the loss
// window of starts is none. Finishes are not waited for: one that is lost makes its key one that
// may have run, which errs to the safe side.
//
// After an error of a write or an fsync nothing more is claimed: the log is broken for good, and
// each later Started gives the error. A record that is not whole at the end of the file is a torn
// write and is cut off; one with whole records behind it is damage, and Open refuses the file. A
// flaw in the very last record can't be told from a torn write.
package keystore

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"yokestall/internal/idempotency"
)

// The bounds of the file.
const (
	MaxName     = 64 << 10 // bytes of a key
	magic       = "ykkeys01"
	frame       = 8              // length and checksum of a record
	fixed       = 1 + 8 + 4 + 16 // kind, end of the window, tenant, print
	compactFrom = 1 << 20        // bytes from which the file is written anew,
	compactPart = 4              // once it is so many times what lives in it
	queued      = 4096           // records that may wait for the disk before their callers do
)

var (
	// ErrDamaged tells that whole records lie behind one that can't be read.
	ErrDamaged = errors.New("keylog: damaged in its middle")
	// ErrLocked tells that another process has the log open.
	ErrLocked = errors.New("keylog: in use by another process")
	// ErrClosed tells that the log takes nothing more.
	ErrClosed = errors.New("keylog: closed")
)

var table = crc32.MakeTable(crc32.Castagnoli)

type kind byte

const (
	started kind = iota + 1
	answered
	refused
	lost
)

// Known is what the log says of a key at its opening.
type Known struct {
	Key      idempotency.Key
	Print    idempotency.Print
	Until    time.Time // the end of its window
	Answered bool      // else it may have run
}

// File is what a log needs of its file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Log is an open log. It is for concurrent use.
type Log struct {
	path string
	wrap func(File) File
	lock *os.File
	todo chan record
	done chan struct{}

	mu     sync.RWMutex // guards closed against sends on todo
	closed bool

	// The writer's goroutine alone has the following.
	file File
	size int64
	live map[idempotency.Key]record // bounded by the store whose keys these are
	kept int64                      // bytes of the records in live
	err  error
}

type record struct {
	kind  kind
	key   idempotency.Key
	print idempotency.Print
	until time.Time
	said  chan<- error // nil: nobody waits
}

func (r *record) size() int64 { return frame + fixed + int64(len(r.key.Name)) }

// append writes the record's frame and content.
func (r *record) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(fixed+len(r.key.Name)))
	sum := len(b)
	b = append(b, 0, 0, 0, 0, byte(r.kind))
	b = binary.BigEndian.AppendUint64(b, uint64(r.until.UnixNano()))
	b = binary.BigEndian.AppendUint32(b, uint32(r.key.Tenant))
	b = append(b, r.print[:]...)
	b = append(b, r.key.Name...)
	binary.BigEndian.PutUint32(b[sum:], crc32.Checksum(b[sum+4:], table))
	return b
}

// parse reads a record from the beginning of b; false: none that is whole lies there.
func parse(b []byte) (r record, ok bool) {
	if len(b) < frame+fixed {
		return r, false
	}
	n := int64(binary.BigEndian.Uint32(b))
	if n < fixed || n > fixed+MaxName || int64(len(b)) < frame+n {
		return r, false
	}
	body := b[frame : frame+n]
	if crc32.Checksum(body, table) != binary.BigEndian.Uint32(b[4:]) || body[0] < byte(started) || body[0] > byte(lost) {
		return r, false
	}
	r.kind = kind(body[0])
	r.until = time.Unix(0, int64(binary.BigEndian.Uint64(body[1:])))
	r.key.Tenant = int(binary.BigEndian.Uint32(body[9:]))
	copy(r.print[:], body[13:])
	r.key.Name = string(body[fixed:])
	return r, true
}

// Open opens the log, made anew where there is none, and gives what it knows of keys whose windows
// are not over. wrap, if not nil, stands between the log and its file.
func Open(path string, now time.Time, wrap func(File) File) (*Log, []Known, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("keylog: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	if wrap == nil {
		wrap = func(f File) File { return f }
	}
	l := &Log{path: path, wrap: wrap, lock: lock, todo: make(chan record, queued), done: make(chan struct{}), live: map[idempotency.Key]record{}}
	if err := l.load(now); err != nil {
		lock.Close()
		return nil, nil, err
	}
	var known []Known
	for _, r := range l.live {
		known = append(known, Known{Key: r.key, Print: r.print, Until: r.until, Answered: r.kind == answered})
	}
	go l.write()
	return l, known, nil
}

// load reads the file and writes what lives in it anew.
func (l *Log) load(now time.Time) error {
	text, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("keylog: %w", err)
	}
	if len(text) >= len(magic) && string(text[:len(magic)]) != magic {
		return fmt.Errorf("keylog: %s is no log of keys", l.path)
	}
	at := min(len(magic), len(text))
	for at < len(text) {
		r, ok := parse(text[at:])
		if !ok {
			break
		}
		at += int(r.size())
		l.book(r)
	}
	for behind := at + 1; behind < len(text); behind++ {
		if _, ok := parse(text[behind:]); ok {
			return fmt.Errorf("%w: %s: byte %d", ErrDamaged, l.path, at)
		}
	}
	return l.compact(now)
}

// book follows a record in what lives.
func (l *Log) book(r record) {
	if old, known := l.live[r.key]; known {
		l.kept -= old.size()
		delete(l.live, r.key)
		if r.kind != started {
			r.print, r.until = old.print, old.until
		}
	} else if r.kind != started {
		return // its window is over
	}
	if r.kind != refused {
		r.said = nil
		l.live[r.key] = r
		l.kept += r.size()
	}
}

// compact writes what lives into a new file and puts that in the place of the old one, whole.
func (l *Log) compact(now time.Time) error {
	name := l.path + ".new"
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("keylog: %w", err)
	}
	file := l.wrap(f)
	w := bufio.NewWriter(file)
	w.WriteString(magic) // errors stay until Flush
	size := int64(len(magic))
	for key, r := range l.live {
		if !now.Before(r.until) {
			l.kept -= r.size()
			delete(l.live, key)
			continue
		}
		s := r
		s.kind = started
		b := s.append(nil)
		if r.kind != started {
			b = r.append(b)
		}
		w.Write(b)
		size += int64(len(b))
	}
	err = w.Flush()
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(name, l.path)
	}
	if err == nil {
		err = syncFolder(filepath.Dir(l.path))
	}
	if err != nil {
		file.Close()
		return fmt.Errorf("keylog: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size = file, size
	return nil
}

// syncFolder makes a rename in a folder durable.
func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Started returns nil once it is durable that the key has started; with an error it must not run.
func (l *Log) Started(key idempotency.Key, print idempotency.Print, until time.Time) error {
	if len(key.Name) > MaxName {
		return fmt.Errorf("keylog: a key of %d bytes; %d at most", len(key.Name), MaxName)
	}
	said := make(chan error, 1)
	if !l.post(record{kind: started, key: key, print: print, until: until, said: said}) {
		return ErrClosed
	}
	return <-said
}

// Finished notes how a key that has started ended.
func (l *Log) Finished(key idempotency.Key, how idempotency.End) {
	kinds := [...]kind{idempotency.Refused: refused, idempotency.Answered: answered, idempotency.Lost: lost}
	l.post(record{kind: kinds[how], key: key})
}

func (l *Log) post(r record) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return false
	}
	l.todo <- r
	return true
}

// Close writes what was handed in and closes the log. It gives the error that broke the log, if one did.
func (l *Log) Close() error {
	l.mu.Lock()
	closed := l.closed
	if l.closed = true; !closed {
		close(l.todo)
	}
	l.mu.Unlock()
	<-l.done
	return l.err
}

// write is the writer: all that waits goes out at once, then one fsync, then those who wait are told.
func (l *Log) write() {
	defer close(l.done)
	defer l.lock.Close()
	defer func() { l.file.Close() }()
	var batch []record
	var out []byte
	for r := range l.todo {
		batch, out = append(batch[:0], r), out[:0]
	more:
		for len(batch) < queued {
			select {
			case r, open := <-l.todo:
				if !open {
					break more
				}
				batch = append(batch, r)
			default:
				break more
			}
		}
		for i := range batch {
			out = batch[i].append(out)
		}
		if l.err == nil {
			l.err = l.commit(out)
		}
		if l.err == nil {
			for _, r := range batch {
				l.book(r)
			}
			if l.size > compactFrom && l.size > compactPart*l.kept {
				l.err = l.compact(time.Now())
			}
		}
		for _, r := range batch {
			if r.said != nil {
				r.said <- l.err
			}
		}
	}
}

func (l *Log) commit(out []byte) error {
	n, err := l.file.Write(out)
	l.size += int64(n)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("keylog: %w", err)
	}
	return nil
}
