package store

import (
	"encoding/json"

	"go.etcd.io/bbolt"
)

// Life is one start of a voter: its disk counts them. Two with one count and different nonces are of two copies of a disk.
type Life struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
	Nonce string `json:"nonce"`
}

var keyLife = []byte("life")

// NextLife counts a start of the voter whose store this is; the nonce is of this start alone.
func (s *Store) NextLife(name, nonce string) (life Life, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := getJSON(meta, keyLife, &life); err != nil {
			return err
		}
		life = Life{name, life.Count + 1, nonce}
		return putJSON(meta, keyLife, life)
	})
	return life, err
}

// Met keeps the latest start of another voter that this one has met, and tells whether one that says who it is may be that or a later
// one; if not, its disk is an older copy than the one that was met.
func (s *Store) Met(life Life) (ok bool, latest Life, err error) {
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
	return b.Put(key, sealed(text))
}

// getJSON reads a value; one that is not there leaves what is given as it is.
func getJSON(b *bbolt.Bucket, key []byte, to any) error {
	value := b.Get(key)
	if value == nil {
		return nil
	}
	text, err := opened(string(key), value)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}
