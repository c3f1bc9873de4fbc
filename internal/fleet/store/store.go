package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

// lockTimeout is how long Open waits for another process to release its lock on the file.
const lockTimeout = 300 * time.Millisecond

// The names of buckets and keys in the file.
var (
	bucketMeta     = []byte("meta")
	bucketLog      = []byte("log")
	bucketContent  = []byte("content")
	keyIdentity    = []byte("identity")
	keyHardState   = []byte("hard")
	keySnapshot    = []byte("snapshot")
	keyLastVersion = []byte("last")
)

// Store is an open store. Its methods are safe for concurrent use. After a failed write nothing is written any more,
// since it is unknown what the disk has then.
type Store struct {
	path string
	db   *bbolt.DB

	mu     sync.Mutex // guards failed and size, and is held during each write transaction
	failed error      // of the first write that failed; nil: none has
	size   int64      // bytes of content
}

// Open opens the store of a folder and creates it if there is none. It fails while another process has the store open.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "agree.db")
	db, err := open(path)
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &Store{path: path, db: db}
	err = s.update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketLog, bucketContent} {
			b, err := tx.CreateBucketIfNotExists(name)
			if err != nil {
				return err
			}
			if !bytes.Equal(name, bucketContent) {
				continue
			}
			addSize := func(_, content []byte) error { s.size += int64(len(content)); return nil }
			if err := b.ForEach(addSize); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// recoverDamage returns a function to be deferred that turns into an error what the library does on a damaged file: it
// panics, or faults past the end of a truncated mapping.
func recoverDamage(err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if r := recover(); r != nil {
			*err = fmt.Errorf("is damaged: %v", r)
		}
	}
}

// open opens the database file, and returns an error where the library panics.
func open(path string) (db *bbolt.DB, err error) {
	defer recoverDamage(&err)()
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
}

// Close closes the store. No other method may be called afterwards.
func (s *Store) Close() error { return s.db.Close() }

// update runs a write transaction, unless an earlier one failed.
func (s *Store) update(do func(*bbolt.Tx) error) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	var refused *refusedError
	if err = s.try(s.db.Update, do); err != nil && !errors.As(err, &refused) {
		s.failed = fmt.Errorf("%s: nothing is written after a failure: %w", s.path, err)
		return s.failed
	}
	return err
}

// try runs a transaction and turns panics into errors.
func (s *Store) try(run func(func(*bbolt.Tx) error) error, do func(*bbolt.Tx) error) (err error) {
	defer recoverDamage(&err)()
	return run(do)
}

// view runs a read transaction.
func (s *Store) view(do func(*bbolt.Tx) error) error {
	if err := s.try(s.db.View, do); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// refusedError is why a transaction was refused, rather than failed.
type refusedError struct{ text string }

func (r *refusedError) Error() string { return r.text }
