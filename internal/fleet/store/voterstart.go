package store

import (
	"go.etcd.io/bbolt"
)

// VoterStart identifies one start of a voter. Its disk counts them; two starts with the same count and different
// nonces come from two copies of one disk.
type VoterStart struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
	Nonce string `json:"nonce"`
}

// keyStart is the key of the latest start of the store's own voter.
var keyStart = []byte("life")

// latestStartPrefix and a voter's name are the key of the latest start seen of another voter.
const latestStartPrefix = "met/"

// NextStart counts a start of the voter that the store belongs to. The nonce must differ for each start.
func (s *Store) NextStart(name, nonce string) (start VoterStart, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := getJSON(meta, keyStart, &start); err != nil {
			return err
		}
		start = VoterStart{Name: name, Count: start.Count + 1, Nonce: nonce}
		return putJSON(meta, keyStart, start)
	})
	return start, err
}

// RecordStart records another voter's start if it is the latest one seen of that voter, and reports whether it is. If
// it isn't, the voter runs on an older copy of its disk.
func (s *Store) RecordStart(start VoterStart) (isLatest bool, latest VoterStart, err error) {
	key := append([]byte(latestStartPrefix), start.Name...)
	err = s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := getJSON(meta, key, &latest); err != nil {
			return err
		}
		if latest == start {
			isLatest = true
			return nil
		}
		if isLatest = start.Count > latest.Count; !isLatest {
			return nil
		}
		latest = start
		return putJSON(meta, key, start)
	})
	return isLatest, latest, err
}
