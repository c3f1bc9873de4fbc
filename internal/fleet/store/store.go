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

// Store is an open store. Its methods are safe for concurrent use. After a failed write it is unknown what the file
// contains, so all later writes fail with the same error.
type Store struct {
	path string
	db   *bbolt.DB

	mu     sync.Mutex // guards failed and size, and is held during each write transaction
	failed error      // the error of the first failed write; nil: no write has failed
	size   int64      // total size of the content, in bytes
}

// Open opens the store in a folder, and creates the folder and the store if they don't exist. Open fails while another
// process has the store open.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "agree.db")
	db, err := open(path)
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has the store open", path)
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

// recoverDamage returns a function that, when deferred, stores a panic as an error in err. With a damaged file, bbolt
// panics or reads past the end of the mapped file; SetPanicOnFault turns the memory fault of such a read into a panic.
func recoverDamage(err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if r := recover(); r != nil {
			*err = fmt.Errorf("the file is damaged: %v", r)
		}
	}
}

// open opens the database file, and returns an error if bbolt panics.
func open(path string) (db *bbolt.DB, err error) {
	defer recoverDamage(&err)()
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
}

// Close closes the store. No other method may be called afterwards.
func (s *Store) Close() error { return s.db.Close() }

// update runs a write transaction. After a failed transaction, update runs no further ones and returns the error of
// the failed one. A transaction that returned a refusedError has not failed.
func (s *Store) update(do func(*bbolt.Tx) error) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	var refused *refusedError
	if err = s.runTransaction(s.db.Update, do); err != nil && !errors.As(err, &refused) {
		s.failed = fmt.Errorf("%s: a write failed, no more writes until the node is restarted: %w", s.path, err)
		return s.failed
	}
	return err
}

// runTransaction runs a transaction and returns a panic of bbolt as an error.
func (s *Store) runTransaction(run func(func(*bbolt.Tx) error) error, do func(*bbolt.Tx) error) (err error) {
	defer recoverDamage(&err)()
	return run(do)
}

// view runs a read transaction.
func (s *Store) view(do func(*bbolt.Tx) error) error {
	if err := s.runTransaction(s.db.View, do); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// refusedError is the error of a write transaction that refused its input before it wrote anything. Later writes are
// still allowed.
type refusedError struct{ text string }

func (r *refusedError) Error() string { return r.text }
