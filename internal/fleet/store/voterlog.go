package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fleet/consensus"
)

// VoterIdentity identifies the voter that a store belongs to. Store.Init writes the identity once.
type VoterIdentity struct {
	Fleet  string   `json:"fleet"`
	Name   string   `json:"name"`   // the voter's name
	ID     uint64   `json:"id"`     // the voter's id in the Raft log
	Voters []uint64 `json:"voters"` // ids of all voters of the fleet
}

// ErrNotInitialized is returned by Store.Voter for a store that belongs to no voter: Store.Init was never called on it,
// or the initialized store was lost and a new one created.
var ErrNotInitialized = errors.New("the store was not initialized by `yokestall fleet init`")

// Init initializes the store for a voter of a new fleet. Init fails if the store belongs to a voter already.
func (s *Store) Init(id VoterIdentity) error {
	initial := consensus.InitialDiskState(id.Voters)
	return s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta.Get(keyIdentity) != nil {
			return &refusedError{s.path + ": the store already belongs to a voter"}
		}
		text, err := json.Marshal(id)
		if err != nil {
			return err
		}
		if err := meta.Put(keyIdentity, withChecksum(text)); err != nil {
			return err
		}
		if err := putMessage(meta, keyHardState, initial.HardState); err != nil {
			return err
		}
		return putMessage(meta, keySnapshot, initial.Snapshot)
	})
}

// Voter returns the identity of the voter that the store belongs to, and the voter's hard state, snapshot and entries.
// If the store belongs to no voter, the error wraps ErrNotInitialized; any other error means that the store is damaged
// or could not be read.
func (s *Store) Voter() (id VoterIdentity, disk consensus.DiskState, err error) {
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
		first := disk.Snapshot.GetMetadata().GetIndex() + 1
		disk.Entries, err = readEntries(tx.Bucket(bucketLog), first)
		if err != nil {
			return err
		}
		next := first + uint64(len(disk.Entries))
		if commit := disk.HardState.GetCommit(); commit >= next {
			return fmt.Errorf("the log is incomplete: it ends at entry %d, but entries up to %d were committed", next-1, commit)
		}
		return nil
	})
	return id, disk, err
}

// readEntries returns all entries of the log from index first on. It returns an error if an entry is damaged or
// missing.
func readEntries(log *bbolt.Bucket, first uint64) (entries []*pb.Entry, err error) {
	next := first
	c := log.Cursor()
	for k, v := c.Seek(entryKey(next)); k != nil; k, v = c.Next() {
		data, err := verifyChecksum(fmt.Sprintf("entry %d", next), v)
		if err != nil {
			return nil, err
		}
		e := &pb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return nil, fmt.Errorf("entry %d: %w", next, err)
		}
		if e.GetIndex() != next || len(k) != 8 || binary.BigEndian.Uint64(k) != next {
			return nil, fmt.Errorf("entry %d is missing: the next entry in the log is %d", next, e.GetIndex())
		}
		entries = append(entries, e)
		next++
	}
	return entries, nil
}

// entryKey returns the key of an entry in the log's bucket: the big-endian index, so that bbolt keeps the entries in
// the order of the log.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Save makes a voter's hard state, snapshot and entries durable in one transaction. A snapshot replaces all entries
// that were saved before.
func (s *Store) Save(w consensus.ReadyWork) error {
	if w.HardState == nil && w.Snapshot == nil && len(w.Entries) == 0 {
		return nil
	}
	return s.update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if w.Snapshot != nil {
			if err := saveSnapshot(meta, log, w.Snapshot, math.MaxUint64); err != nil {
				return err
			}
		}
		if w.HardState != nil {
			if err := putMessage(meta, keyHardState, w.HardState); err != nil {
				return err
			}
		}
		return saveEntries(log, w.Entries)
	})
}

// saveEntries writes entries to the log. It first deletes all entries of the log from the index of entries[0] on.
func saveEntries(log *bbolt.Bucket, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, e := range entries {
		if err := putMessage(log, entryKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// CompactTo stores a snapshot and deletes the entries up to and including the snapshot's index.
func (s *Store) CompactTo(snap *pb.Snapshot) error {
	return s.update(func(tx *bbolt.Tx) error {
		return saveSnapshot(tx.Bucket(bucketMeta), tx.Bucket(bucketLog), snap, snap.GetMetadata().GetIndex())
	})
}

// saveSnapshot stores a snapshot and deletes the entries up to and including index last.
func saveSnapshot(meta, log *bbolt.Bucket, snap *pb.Snapshot, last uint64) error {
	if err := putMessage(meta, keySnapshot, snap); err != nil {
		return err
	}
	return deleteEntries(log, 0, last)
}

// deleteEntries deletes the entries whose index is at least first and at most last.
func deleteEntries(log *bbolt.Bucket, first, last uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(entryKey(first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
