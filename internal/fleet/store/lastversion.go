package store

import (
	"encoding/json"

	"go.etcd.io/bbolt"

	"yokestall/internal/fleet/consensus"
)

// SaveLastVersion records the version that the node acted on last. The node uses this version when it starts without a
// quorum.
func (s *Store) SaveLastVersion(m *consensus.Manifest) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyLastVersion, withChecksum(text)) })
}

// LastVersion returns the version that SaveLastVersion recorded last, or nil if no version was recorded.
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
