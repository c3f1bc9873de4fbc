package keystore

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"yokestall/internal/idempotency"
)

var (
	// ErrDamaged says that complete records follow one that can't be read.
	ErrDamaged = errors.New("keystore: damaged in its middle")
	// ErrLocked says that another process has the log open.
	ErrLocked = errors.New("keystore: in use by another process")
	// ErrClosed says that the log was closed.
	ErrClosed = errors.New("keystore: closed")
	// ErrNotLog says that a file is not a log of keys.
	ErrNotLog = errors.New("keystore: not a log of keys")
)

// KnownKey is what the log says of a key at its opening.
type KnownKey struct {
	Key         idempotency.Key
	Fingerprint idempotency.Fingerprint
	ExpiresAt   time.Time // the end of its window
	Answered    bool      // else it may have run
}

// File is what a log needs of its file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// maxQueued is the number of records that may wait to be written before their callers wait.
const maxQueued = 4096

// Log is an open log. Create it with Open; it is safe for concurrent use.
type Log struct {
	path  string
	wrap  func(File) File
	lock  *os.File // exclusively locked while the log is open
	queue chan record
	done  chan struct{} // closed when the writer has ended

	mu     sync.RWMutex // guards closed, and orders sends on queue before its close
	closed bool

	// Of the writer's goroutine alone:
	file      File
	size      int64                      // of file, in bytes
	live      map[idempotency.Key]record // the last record of each key that is known; as many as the store has entries
	liveBytes int64                      // size of the records in live
	err       error                      // of the first write that failed; read by Close after done
}

// Open opens the log at a path, which it creates if there is none, and gives the keys whose windows have not
// ended. The log's file is replaced by one with these keys alone. wrap, if not nil, stands between the log and
// its file. The errors are ErrLocked, ErrDamaged, ErrNotLog, and those of the file system.
func Open(path string, now time.Time, wrap func(File) File) (*Log, []KnownKey, error) {
	lock, err := acquireLock(path)
	if err != nil {
		return nil, nil, err
	}
	if wrap == nil {
		wrap = func(f File) File { return f }
	}
	l := &Log{
		path: path, wrap: wrap, lock: lock,
		queue: make(chan record, maxQueued), done: make(chan struct{}), live: map[idempotency.Key]record{},
	}
	if err := l.load(now); err != nil {
		lock.Close()
		return nil, nil, err
	}
	var known []KnownKey
	for _, r := range l.live {
		known = append(known, KnownKey{
			Key: r.key, Fingerprint: r.fingerprint, ExpiresAt: r.expiresAt, Answered: r.kind == answered,
		})
	}
	go l.write()
	return l, known, nil
}

// acquireLock locks the log at a path, by a file beside it, until that file is closed.
func acquireLock(path string) (*os.File, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("keystore: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	return lock, nil
}

// RecordStart returns nil once it is durable that the request under the key has started. With an error the
// request must not run.
func (l *Log) RecordStart(key idempotency.Key, fingerprint idempotency.Fingerprint, expiresAt time.Time) error {
	if len(key.Name) > MaxKeyBytes {
		return fmt.Errorf("keystore: a key of %d bytes; %d at most", len(key.Name), MaxKeyBytes)
	}
	durable := make(chan error, 1)
	r := record{kind: started, key: key, fingerprint: fingerprint, expiresAt: expiresAt, durable: durable}
	if !l.enqueue(r) {
		return ErrClosed
	}
	return <-durable
}

// RecordCompletion records how the request under a key that has started ended. It does not wait until that is
// durable.
func (l *Log) RecordCompletion(key idempotency.Key, how idempotency.Completion) {
	l.enqueue(record{kind: kindOf(how), key: key})
}

// enqueue hands a record to the writer. It reports false if the log is closed.
func (l *Log) enqueue(r record) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return false
	}
	l.queue <- r
	return true
}

// Close writes the records that were handed in and closes the log. It gives the error that made the log fail, if
// one did.
func (l *Log) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
	return l.err
}
