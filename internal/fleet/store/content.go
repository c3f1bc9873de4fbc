package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"go.etcd.io/bbolt"
)

// MaxContent is the maximum total size of a store's content, in bytes. A version that needs more is refused, since
// Store.Put refuses its content.
const MaxContent = 1 << 30

// ContentHash returns the key of content: its SHA-256 hash in hexadecimal.
func ContentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Put stores content under its Hash. The content is durable once Put returns nil. Put refuses content that would exceed
// MaxContent; later writes still succeed.
func (s *Store) Put(data []byte) error {
	name := []byte(ContentHash(data))
	added := int64(0)
	err := s.update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketContent)
		if b.Get(name) != nil {
			return nil
		}
		if s.size+int64(len(data)) > MaxContent {
			return &refusedError{fmt.Sprintf("%s: content refused: the store would exceed its maximum of %d bytes of content",
				s.path, int64(MaxContent))}
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

// Get returns the content with a hash. It returns nil without an error if the store doesn't have the content, or has
// content that no longer matches the hash: Get deletes such content, which must be fetched from another node again.
func (s *Store) Get(hash string) (data []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		data = bytes.Clone(tx.Bucket(bucketContent).Get([]byte(hash)))
		return nil
	})
	if err == nil && data != nil && ContentHash(data) != hash {
		return nil, s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketContent).Delete([]byte(hash)) })
	}
	return data, err
}

// Sweep deletes all content whose hash is not a key of retained.
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
