// Package store is the durable state of a node of a fleet: a voter's raft log and the content of versions. It is one
// bbolt file, whose transactions are atomic.
package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fleet/consensus"
)

// MaxContent is how many bytes of content a store holds at most. A version that needs more is refused.
const MaxContent = 1 << 30

const lockWait = 300 * time.Millisecond // for another process to let go of the file

var (
	bucketMeta     = []byte("meta")
	bucketLog      = []byte("log")
	bucketContent  = []byte("content")
	keyIdentity    = []byte("identity")
	keyHardState   = []byte("hard")
	keySnapshot    = []byte("snapshot")
	keyLastVersion = []byte("last")
	castagnoli     = crc32.MakeTable(crc32.Castagnoli)
)

// Identity says which voter a store belongs to. Init writes it once.
type Identity struct {
	Fleet  string   `json:"fleet"`
	Name   string   `json:"name"`
	ID     uint64   `json:"id"`
	Voters []uint64 `json:"voters"`
}

// Store is an open store. Its methods are safe for concurrent use. After a failed write nothing is written any more,
// since it is unknown what the disk has then.
type Store struct {
	path string
	db   *bbolt.DB

	mu     sync.Mutex
	failed error
	size   int64 // bytes of content
}

// ErrNotInitialized is returned for a store that Init was never called on, or that was lost.
var ErrNotInitialized = errors.New("the store was not made by `yokestall fleet init`")

// Open opens the store of a folder and creates it if there is none.
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
			if bytes.Equal(name, bucketContent) {
				if err := b.ForEach(func(_, v []byte) error { s.size += int64(len(v)); return nil }); err != nil {
					return err
				}
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

// recoverDamage turns into an error what the library does on a damaged file: it panics, or faults past the end of a
// truncated mapping.
func recoverDamage(err *error) func() {
	was := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(was)
		if r := recover(); r != nil {
			*err = fmt.Errorf("is damaged: %v", r)
		}
	}
}

func open(path string) (db *bbolt.DB, err error) {
	defer recoverDamage(&err)()
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait})
}

// Close closes it.
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

func (s *Store) view(do func(*bbolt.Tx) error) error {
	if err := s.try(s.db.View, do); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// refusedError is why a transaction was refused, rather than failed.
type refusedError struct{ text string }

func (r *refusedError) Error() string { return r.text }

// withChecksum prepends a checksum to a value, since the database has none for its pages.
func withChecksum(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli)), data...)
}

func verifyChecksum(what string, value []byte) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != crc32.Checksum(value[4:], castagnoli) {
		return nil, fmt.Errorf("%s is damaged: its checksum doesn't fit", what)
	}
	return bytes.Clone(value[4:]), nil
}

// Init makes the store that of a voter of a new fleet. It fails if the store belongs to a voter already.
func (s *Store) Init(id Identity) error {
	first := consensus.InitialDiskState(id.Voters)
	return s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta.Get(keyIdentity) != nil {
			return &refusedError{s.path + ": is a voter's already"}
		}
		text, err := json.Marshal(id)
		if err != nil {
			return err
		}
		if err := meta.Put(keyIdentity, withChecksum(text)); err != nil {
			return err
		}
		if err := putMessage(meta, keyHardState, first.HardState); err != nil {
			return err
		}
		return putMessage(meta, keySnapshot, first.Snapshot)
	})
}

// Voter returns whose store it is, and the voter's log.
func (s *Store) Voter() (id Identity, disk consensus.DiskState, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		value := meta.Get(keyIdentity)
		if value == nil {
			return ErrNotInitialized
		}
		text, err := verifyChecksum("the identity", value)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &id); err != nil {
			return err
		}
		disk = consensus.DiskState{HardState: &pb.HardState{}, Snapshot: &pb.Snapshot{}}
		if err := getMessage(meta, keyHardState, disk.HardState); err != nil {
			return err
		}
		if err := getMessage(meta, keySnapshot, disk.Snapshot); err != nil {
			return err
		}
		next := disk.Snapshot.GetMetadata().GetIndex() + 1
		c := tx.Bucket(bucketLog).Cursor()
		for k, v := c.Seek(key(next)); k != nil; k, v = c.Next() {
			data, err := verifyChecksum(fmt.Sprintf("entry %d", next), v)
			if err != nil {
				return err
			}
			e := &pb.Entry{}
			if err := proto.Unmarshal(data, e); err != nil {
				return fmt.Errorf("entry %d: %w", next, err)
			}
			if e.GetIndex() != next || len(k) != 8 || binary.BigEndian.Uint64(k) != next {
				return fmt.Errorf("entry %d is missing: the next one is %d", next, e.GetIndex())
			}
			disk.Entries = append(disk.Entries, e)
			next++
		}
		if c := disk.HardState.GetCommit(); c >= next {
			return fmt.Errorf("the log ends at %d, and %d had been committed", next-1, c)
		}
		return nil
	})
	return id, disk, err
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putMessage(b *bbolt.Bucket, name []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(name, withChecksum(data))
}

func getMessage(b *bbolt.Bucket, name []byte, to proto.Message) error {
	data, err := verifyChecksum(string(name), b.Get(name))
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, to); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Save makes a voter's work durable, atomically.
func (s *Store) Save(w consensus.ReadyWork) error {
	if w.HardState == nil && w.Snapshot == nil && len(w.Entries) == 0 {
		return nil
	}
	return s.update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if w.Snapshot != nil {
			if err := saveSnapshot(meta, log, w.Snapshot, ^uint64(0)); err != nil {
				return err
			}
		}
		if w.HardState != nil {
			if err := putMessage(meta, keyHardState, w.HardState); err != nil {
				return err
			}
		}
		for i, e := range w.Entries {
			if i == 0 { // what followed an entry that is replaced goes with it
				if err := deleteEntries(log, e.GetIndex(), ^uint64(0)); err != nil {
					return err
				}
			}
			if err := putMessage(log, key(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
}

// CompactTo replaces the log up to a snapshot by that snapshot.
func (s *Store) CompactTo(snap *pb.Snapshot) error {
	return s.update(func(tx *bbolt.Tx) error {
		return saveSnapshot(tx.Bucket(bucketMeta), tx.Bucket(bucketLog), snap, snap.GetMetadata().GetIndex())
	})
}

func saveSnapshot(meta, log *bbolt.Bucket, snap *pb.Snapshot, to uint64) error {
	if err := putMessage(meta, keySnapshot, snap); err != nil {
		return err
	}
	return deleteEntries(log, 0, to)
}

// deleteEntries deletes the entries from one index to another, both included.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(key(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Hash is the key of content: its SHA-256 in hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Put stores content. It is durable when Put returns nil.
func (s *Store) Put(data []byte) error {
	name := []byte(Hash(data))
	added := int64(0)
	err := s.update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketContent)
		if b.Get(name) != nil {
			return nil
		}
		if s.size+int64(len(data)) > MaxContent {
			return &refusedError{fmt.Sprintf("%s: over %d bytes of content", s.path, int64(MaxContent))}
		}
		added = int64(len(data))
		return b.Put(name, data)
	})
	if err == nil {
		s.mu.Lock()
		s.size += added
		s.mu.Unlock()
	}
	return err
}

// Get returns content; nil without an error if it isn't there. Content that no longer matches its hash is deleted,
// and has to be fetched from another node again.
func (s *Store) Get(hash string) (data []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		data = bytes.Clone(tx.Bucket(bucketContent).Get([]byte(hash)))
		return nil
	})
	if err == nil && data != nil && Hash(data) != hash {
		return nil, s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketContent).Delete([]byte(hash)) })
	}
	return data, err
}

// Sweep deletes content whose hash is not in the map.
func (s *Store) Sweep(keep map[string]int) error {
	size := int64(0)
	err := s.update(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketContent).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			if _, kept := keep[string(k)]; kept {
				size += int64(len(v))
			} else if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		s.mu.Lock()
		s.size = size
		s.mu.Unlock()
	}
	return err
}

// SaveLastVersion records the version that the node acted on last, for a start without a quorum.
func (s *Store) SaveLastVersion(m *consensus.Manifest) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyLastVersion, withChecksum(text)) })
}

// LastVersion returns the version that SaveLastVersion recorded; nil: none.
func (s *Store) LastVersion() (m *consensus.Manifest, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		value := tx.Bucket(bucketMeta).Get(keyLastVersion)
		if value == nil {
			return nil
		}
		text, err := verifyChecksum("the last version", value)
		if err != nil {
			return err
		}
		m = &consensus.Manifest{}
		return json.Unmarshal(text, m)
	})
	if err != nil {
		return nil, err
	}
	return m, nil
}
