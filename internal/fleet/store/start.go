package store

import (
	"encoding/json"

	"go.etcd.io/bbolt"
)

// VoterStart identifies one start of a voter. Its disk counts them; two starts with the same count and different
// nonces come from two copies of one disk.
type VoterStart struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
	Nonce string `json:"nonce"`
}

var keyStart = []byte("life")

// NextStart counts a start of the voter that the store belongs to. The nonce must differ for each start.
func (s *Store) NextStart(name, nonce string) (life VoterStart, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := getJSON(meta, keyStart, &life); err != nil {
			return err
		}
		life = VoterStart{name, life.Count + 1, nonce}
		return putJSON(meta, keyStart, life)
	})
	return life, err
}

// RecordStart records another voter's start if it is the latest one seen of that voter, and reports whether it is. If
// it isn't, the voter runs on an older copy of its disk.
func (s *Store) RecordStart(life VoterStart) (ok bool, latest VoterStart, err error) {
	key := append([]byte("met/"), life.Name...)
	err = s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := getJSON(meta, key, &latest); err != nil {
			return err
		}
		if latest == life {
			ok = true
			return nil
		}
		if ok = life.Count > latest.Count; !ok {
			return nil
		}
		latest = life
		return putJSON(meta, key, life)
	})
	return ok, latest, err
}

func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, withChecksum(text))
}

// getJSON decodes a value. A missing value leaves to unchanged.
func getJSON(b *bbolt.Bucket, key []byte, to any) error {
	value := b.Get(key)
	if value == nil {
		return nil
	}
	text, err := verifyChecksum(string(key), value)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}
