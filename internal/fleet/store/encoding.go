package store

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// castagnoli is the polynomial of the checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// withChecksum prepends a checksum to a value, since the database has none for its pages.
func withChecksum(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli)), data...)
}

// verifyChecksum returns a value without its checksum, or an error that says what is damaged.
func verifyChecksum(what string, value []byte) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != crc32.Checksum(value[4:], castagnoli) {
		return nil, fmt.Errorf("%s is damaged: its checksum doesn't fit", what)
	}
	return bytes.Clone(value[4:]), nil
}

// putMessage encodes a message of the raft library and stores it with a checksum.
func putMessage(b *bbolt.Bucket, name []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(name, withChecksum(data))
}

// getMessage verifies and decodes a message of the raft library.
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

// putJSON encodes a value as JSON and stores it with a checksum.
func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, withChecksum(text))
}

// getJSON verifies and decodes a value. A missing value leaves to unchanged.
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
