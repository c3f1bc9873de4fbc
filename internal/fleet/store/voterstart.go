package store

import (
	"go.etcd.io/bbolt"
)

// VoterStart identifies one start of a voter. The count of starts is kept in the voter's own store, so two starts with
// the same count and different nonces come from two copies of one store.
type VoterStart struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
	Nonce string `json:"nonce"`
}

// keyStart is the key of the latest start of the voter that the store belongs to.
var keyStart = []byte("life")

// latestStartPrefix is the prefix of the keys of other voters' latest starts; the voter's name follows.
const latestStartPrefix = "met/"

// NextStart increments the count of starts of the voter that the store belongs to, and returns the new start. The nonce
// must differ for each start.
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

// RecordStart records another voter's start, unless a start of that voter with the same or a greater count was recorded
// before. It returns whether start is the latest recorded start of that voter, and the latest recorded start. If start
// is not the latest, the voter runs on an older copy of its store, or on one of several copies.
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
