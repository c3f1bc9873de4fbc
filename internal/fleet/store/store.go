// Package store keeps what a node of a fleet must know after a crash: a voter's log, and the content of versions. It is one
// file of an embedded database, whose transactions are there whole or not at all.
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

	"yokestall/internal/fleet/agree"
)

// MaxContent is how many bytes of content are kept; a version that leads beyond is turned away.
const MaxContent = 1 << 30

const lockWait = 300 * time.Millisecond // for another process to let go of the file

var (
	bucketMeta    = []byte("meta")
	bucketLog     = []byte("log")
	bucketContent = []byte("content")
	keyIdentity   = []byte("identity")
	keyHard       = []byte("hard")
	keySnapshot   = []byte("snapshot")
	keyLast       = []byte("last")
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// Identity is who the store belongs to, from its init on.
type Identity struct {
	Fleet  string   `json:"fleet"`
	Name   string   `json:"name"`
	ID     uint64   `json:"id"`
	Voters []uint64 `json:"voters"`
}

// Store is an open store. Its methods are safe for concurrent use. After a write that failed nothing is written any more: what the
// disk has then is not known.
type Store struct {
	path string
	db   *bbolt.DB

	mu     sync.Mutex
	failed error
	size   int64 // bytes of content
}

// ErrNotInit is that a store has no beginning: it was never made a voter's, or was lost.
var ErrNotInit = errors.New("the store was not made by `yokestall fleet init`")

// Open opens the store of a folder, made anew if there is none.
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

// guarded makes an error of what the library does at a file that was damaged: it panics, or reads past the end of
// a mapped file that was cut short.
func guarded(err *error) func() {
	was := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(was)
		if r := recover(); r != nil {
			*err = fmt.Errorf("is damaged: %v", r)
		}
	}
}

func open(path string) (db *bbolt.DB, err error) {
	defer guarded(&err)()
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait})
}

// Close closes it.
func (s *Store) Close() error { return s.db.Close() }

// update writes one transaction, unless one has failed.
func (s *Store) update(do func(*bbolt.Tx) error) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	var refused *refusal
	if err = s.try(s.db.Update, do); err != nil && !errors.As(err, &refused) {
		s.failed = fmt.Errorf("%s: nothing is written after a failure: %w", s.path, err)
		return s.failed
	}
	return err
}

// try runs a transaction.
func (s *Store) try(run func(func(*bbolt.Tx) error) error, do func(*bbolt.Tx) error) (err error) {
	defer guarded(&err)()
	return run(do)
}

func (s *Store) view(do func(*bbolt.Tx) error) error {
	if err := s.try(s.db.View, do); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// refusal is a transaction that was not wanted, rather than one that failed.
type refusal struct{ text string }

func (r *refusal) Error() string { return r.text }

// sealed puts a checksum before a value: the database has none for its pages.
func sealed(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli)), data...)
}

func opened(what string, value []byte) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != crc32.Checksum(value[4:], castagnoli) {
		return nil, fmt.Errorf("%s is damaged: its checksum doesn't fit", what)
	}
	return bytes.Clone(value[4:]), nil
}

// Init makes the store that of a voter of a new fleet; once.
func (s *Store) Init(id Identity) error {
	first := agree.First(id.Voters)
	return s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta.Get(keyIdentity) != nil {
			return &refusal{s.path + ": is a voter's already"}
		}
		text, err := json.Marshal(id)
		if err != nil {
			return err
		}
		if err := meta.Put(keyIdentity, sealed(text)); err != nil {
			return err
		}
		if err := putMessage(meta, keyHard, first.Hard); err != nil {
			return err
		}
		return putMessage(meta, keySnapshot, first.Snapshot)
	})
}

// Voter gives whose store it is, and the log.
func (s *Store) Voter() (id Identity, disk agree.Stored, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		value := meta.Get(keyIdentity)
		if value == nil {
			return ErrNotInit
		}
		text, err := opened("the identity", value)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &id); err != nil {
			return err
		}
		disk = agree.Stored{Hard: &pb.HardState{}, Snapshot: &pb.Snapshot{}}
		if err := getMessage(meta, keyHard, disk.Hard); err != nil {
			return err
		}
		if err := getMessage(meta, keySnapshot, disk.Snapshot); err != nil {
			return err
		}
		next := disk.Snapshot.GetMetadata().GetIndex() + 1
		c := tx.Bucket(bucketLog).Cursor()
		for k, v := c.Seek(key(next)); k != nil; k, v = c.Next() {
			data, err := opened(fmt.Sprintf("entry %d", next), v)
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
		if c := disk.Hard.GetCommit(); c >= next {
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
	return b.Put(name, sealed(data))
}

func getMessage(b *bbolt.Bucket, name []byte, to proto.Message) error {
	data, err := opened(string(name), b.Get(name))
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, to); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Save puts a voter's work on the disk, whole. When it returns nil, it is there.
func (s *Store) Save(w agree.Work) error {
	if w.Hard == nil && w.Snapshot == nil && len(w.Entries) == 0 {
		return nil
	}
	return s.update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if w.Snapshot != nil {
			if err := begin(meta, log, w.Snapshot, ^uint64(0)); err != nil {
				return err
			}
		}
		if w.Hard != nil {
			if err := putMessage(meta, keyHard, w.Hard); err != nil {
				return err
			}
		}
		for i, e := range w.Entries {
			if i == 0 { // what followed an entry that is replaced goes with it
				if err := cut(log, e.GetIndex(), ^uint64(0)); err != nil {
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

// Begin has the log begin with a snapshot: what it covers is forgotten.
func (s *Store) Begin(snap *pb.Snapshot) error {
	return s.update(func(tx *bbolt.Tx) error {
		return begin(tx.Bucket(bucketMeta), tx.Bucket(bucketLog), snap, snap.GetMetadata().GetIndex())
	})
}

func begin(meta, log *bbolt.Bucket, snap *pb.Snapshot, to uint64) error {
	if err := putMessage(meta, keySnapshot, snap); err != nil {
		return err
	}
	return cut(log, 0, to)
}

// cut removes the entries from one index to another.
func cut(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(key(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Hash is what content goes by.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Put keeps content, for good when it returns nil.
func (s *Store) Put(data []byte) error {
	name := []byte(Hash(data))
	added := int64(0)
	err := s.update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketContent)
		if b.Get(name) != nil {
			return nil
		}
		if s.size+int64(len(data)) > MaxContent {
			return &refusal{fmt.Sprintf("%s: over %d bytes of content", s.path, int64(MaxContent))}
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

// Get gives content; nil without an error: it is not there. Content that doesn't fit its hash any more is not there either, and
// comes again from another node.
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

// Sweep forgets content that is not among these hashes.
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

// SetLast keeps which version the node acted on last, whole: it is what it may act on alone after a start.
func (s *Store) SetLast(m *agree.Manifest) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyLast, sealed(text)) })
}

// Last gives it; nil: none.
func (s *Store) Last() (m *agree.Manifest, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		value := tx.Bucket(bucketMeta).Get(keyLast)
		if value == nil {
			return nil
		}
		text, err := opened("the last version", value)
		if err != nil {
			return err
		}
		m = &agree.Manifest{}
		return json.Unmarshal(text, m)
	})
	if err != nil {
		return nil, err
	}
	return m, nil
}
