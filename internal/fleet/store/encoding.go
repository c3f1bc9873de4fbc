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

// castagnoli is the table of the checksums' polynomial (CRC-32C).
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// withChecksum prepends a checksum to a value, since bbolt has no checksums for its pages.
func withChecksum(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli)), data...)
}

// verifyChecksum returns a value without its checksum. If the checksum does not match or the value is missing, it
// returns an error that names the value by what.
func verifyChecksum(what string, value []byte) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != crc32.Checksum(value[4:], castagnoli) {
		return nil, fmt.Errorf("%s: the stored value is missing or damaged: its checksum does not match", what)
	}
	return bytes.Clone(value[4:]), nil
}

// putMessage encodes a protobuf message of the Raft library and stores the encoding with a checksum.
func putMessage(b *bbolt.Bucket, name []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(name, withChecksum(data))
}

// getMessage verifies and decodes a protobuf message that putMessage stored. It returns an error if the stored message
// is missing or damaged.
func getMessage(b *bbolt.Bucket, name []byte, message proto.Message) error {
	data, err := verifyChecksum(string(name), b.Get(name))
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// putJSON encodes a value as JSON and stores the encoding with a checksum.
func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, withChecksum(text))
}

// getJSON verifies and decodes a value that putJSON stored. It returns an error if the stored value is damaged. If the
// key has no value, getJSON leaves target unchanged.
func getJSON(b *bbolt.Bucket, key []byte, target any) error {
	value := b.Get(key)
	if value == nil {
		return nil
	}
	text, err := verifyChecksum(string(key), value)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, target)
}
