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
	// ErrDamaged means that complete records follow an unreadable one in the file.
	ErrDamaged = errors.New("keystore: log is damaged, complete records follow an unreadable one")
	// ErrLocked means that the log is open already, usually in another process.
	ErrLocked = errors.New("keystore: log is in use by another process")
	// ErrClosed means that the log was closed before the call.
	ErrClosed = errors.New("keystore: log is closed")
	// ErrNotLog means that the file does not begin with the magic number of a log.
	ErrNotLog = errors.New("keystore: file is not a log of idempotency keys")
)

// KnownKey is a key that was in the log when it was opened and whose deduplication window had not ended.
type KnownKey struct {
	Key         idempotency.Key
	Fingerprint idempotency.Fingerprint
	ExpiresAt   time.Time // end of the deduplication window
	Answered    bool      // the request was answered; false means that it may have run
}

// File is the set of methods that a log uses to write its file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// maxQueuedRecords is the capacity of the queue and the limit of a batch. RecordStart and RecordCompletion block while the
// queue is full.
const maxQueuedRecords = 4096

// Log is an open log of idempotency keys. Create it with Open. A Log is safe for concurrent use.
type Log struct {
	path  string
	wrap  func(File) File
	lock  *os.File // the lock file, exclusively locked while the log is open
	queue chan record
	done  chan struct{} // closed when the writer's goroutine has ended

	mu     sync.RWMutex // guards closed, and prevents sends on the closed queue
	closed bool

	// The fields below are used only by Open and then by the writer's goroutine.
	file      File
	size      int64                      // of file, in bytes
	live      map[idempotency.Key]record // latest record of each key; compaction removes expired keys
	liveBytes int64                      // total size of the records in live
	err       error                      // first error of a write, an fsync or a compaction; Close reads it after done
}

// Open opens the log at path, or creates it if the file does not exist, and returns the keys whose windows have not ended.
// It replaces the file by one that holds only these keys. If wrap is not nil, the log writes each file through the File
// that wrap returns for it. The error wraps ErrLocked, ErrDamaged, ErrNotLog or an error of the file system.
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
		queue: make(chan record, maxQueuedRecords), done: make(chan struct{}), live: map[idempotency.Key]record{},
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
	go l.runWriter()
	return l, known, nil
}

// acquireLock locks the log at path by a lock file next to it. The lock is held until the returned file is closed.
func acquireLock(path string) (*os.File, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("keystore: opening the lock file of the log: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	return lock, nil
}

// RecordStart records that the request under the key has started. It returns nil once the record is durable. If it returns
// an error, the request must not run.
func (l *Log) RecordStart(key idempotency.Key, fingerprint idempotency.Fingerprint, expiresAt time.Time) error {
	if len(key.Name) > MaxKeyBytes {
		return fmt.Errorf("keystore: idempotency key has %d bytes, the maximum is %d", len(key.Name), MaxKeyBytes)
	}
	durable := make(chan error, 1)
	r := record{kind: started, key: key, fingerprint: fingerprint, expiresAt: expiresAt, durable: durable}
	if !l.enqueue(r) {
		return ErrClosed
	}
	return <-durable
}

// RecordCompletion records how a request ended whose start was recorded under the key. It does not wait until the record
// is durable.
func (l *Log) RecordCompletion(key idempotency.Key, how idempotency.Completion) {
	l.enqueue(record{kind: kindOf(how), key: key})
}

// enqueue adds a record to the writer's queue. It reports false if the log is closed.
func (l *Log) enqueue(r record) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return false
	}
	l.queue <- r
	return true
}

// Close writes the queued records and closes the log. It returns the error that made the log fail, or nil. It may be called
// repeatedly.
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
