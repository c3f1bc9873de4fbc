package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"go.etcd.io/bbolt"
)

// MaxContent is how many bytes of content a store has at most. A version that needs more is refused.
const MaxContent = 1 << 30

// Hash is the key of content: its SHA-256 in hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Put stores content. It is durable when Put returns nil. Content beyond MaxContent is refused.
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
func (s *Store) Sweep(retained map[string]int) error {
	size := int64(0)
	err := s.update(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketContent).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			if _, ok := retained[string(k)]; ok {
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
