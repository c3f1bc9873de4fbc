package keystore

import (
	"encoding/binary"
	"hash/crc32"
	"time"

	"yokestall/internal/idempotency"
)

// The form of the file. It stays on disk between versions of the program.
const (
	magic       = "ykkeys01"
	headerBytes = 8              // of a record: its length and its checksum
	fixedBytes  = 1 + 8 + 4 + 16 // of its content: kind, end of the window, tenant, fingerprint; the key follows

	// MaxKeyBytes is the longest key, in bytes.
	MaxKeyBytes = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// kind says what a record is about; its values are stored.
type kind byte

const (
	started       kind = 1
	answered      kind = 2
	rejected      kind = 3
	indeterminate kind = 4
)

// kindOf gives the kind of record of a completion.
func kindOf(c idempotency.Completion) kind {
	return [...]kind{
		idempotency.Rejected: rejected, idempotency.Answered: answered, idempotency.Indeterminate: indeterminate,
	}[c]
}

// record is one entry of the log. A record of a completion has a key alone.
type record struct {
	kind        kind
	key         idempotency.Key
	fingerprint idempotency.Fingerprint
	expiresAt   time.Time // the end of the key's window

	// durable receives the error of the write, or nil, and is buffered; nil: the caller does not wait.
	durable chan<- error
}

// size is the record's size in the file, in bytes.
func (r *record) size() int64 { return headerBytes + fixedBytes + int64(len(r.key.Name)) }

// append appends the encoded record to b.
func (r *record) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(fixedBytes+len(r.key.Name)))
	checksum := len(b)
	b = append(b, 0, 0, 0, 0)
	b = append(b, byte(r.kind))
	b = binary.BigEndian.AppendUint64(b, uint64(r.expiresAt.UnixNano()))
	b = binary.BigEndian.AppendUint32(b, uint32(r.key.Tenant))
	b = append(b, r.fingerprint[:]...)
	b = append(b, r.key.Name...)
	binary.BigEndian.PutUint32(b[checksum:], crc32.Checksum(b[checksum+4:], castagnoli))
	return b
}

// decode reads a record from the beginning of b. It reports false if no complete and undamaged record is there.
func decode(b []byte) (r record, ok bool) {
	if len(b) < headerBytes+fixedBytes {
		return r, false
	}
	n := int64(binary.BigEndian.Uint32(b))
	if n < fixedBytes || n > fixedBytes+MaxKeyBytes || int64(len(b)) < headerBytes+n {
		return r, false
	}
	content := b[headerBytes : headerBytes+n]
	if crc32.Checksum(content, castagnoli) != binary.BigEndian.Uint32(b[4:]) {
		return r, false
	}
	r.kind = kind(content[0])
	if r.kind < started || r.kind > indeterminate {
		return record{}, false
	}
	r.expiresAt = time.Unix(0, int64(binary.BigEndian.Uint64(content[1:])))
	r.key.Tenant = int(binary.BigEndian.Uint32(content[9:]))
	copy(r.fingerprint[:], content[13:])
	r.key.Name = string(content[fixedBytes:])
	return r, true
}
