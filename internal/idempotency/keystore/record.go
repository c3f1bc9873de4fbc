package keystore

import (
	"encoding/binary"
	"hash/crc32"
	"time"

	"yokestall/internal/idempotency"
)

// The format of the file. A file outlives the version of the program that wrote it, so the format must not change.
const (
	magic             = "ykkeys01"
	headerBytes       = 8              // a record's header: the length and the checksum of its content
	fixedContentBytes = 1 + 8 + 4 + 16 // a record's content before the key's name: kind, end of window, tenant, fingerprint

	// MaxKeyBytes is the maximum length of a key's name, in bytes.
	MaxKeyBytes = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// kind is the event that a record is about. Its values are stored in the file.
type kind byte

const (
	started       kind = 1
	answered      kind = 2
	rejected      kind = 3
	indeterminate kind = 4
)

// kindOf returns the kind of the record for a completion.
func kindOf(c idempotency.Completion) kind {
	return [...]kind{
		idempotency.Rejected: rejected, idempotency.Answered: answered, idempotency.Indeterminate: indeterminate,
	}[c]
}

// record is an entry of the log. The record of a completion, as it is enqueued, has only a kind and a key.
type record struct {
	kind        kind
	key         idempotency.Key
	fingerprint idempotency.Fingerprint
	expiresAt   time.Time // end of the key's deduplication window

	// durable is a buffered channel that receives nil once the record is durable, or the log's error. It is nil if the caller
	// does not wait.
	durable chan<- error
}

// size returns the record's size in the file, in bytes.
func (r *record) size() int64 { return headerBytes + fixedContentBytes + int64(len(r.key.Name)) }

// append appends the encoded record to b.
func (r *record) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(fixedContentBytes+len(r.key.Name)))
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

// decode reads a record from the beginning of b. It reports false if b does not begin with a complete and valid record.
func decode(b []byte) (r record, ok bool) {
	if len(b) < headerBytes+fixedContentBytes {
		return r, false
	}
	n := int64(binary.BigEndian.Uint32(b))
	if n < fixedContentBytes || n > fixedContentBytes+MaxKeyBytes || int64(len(b)) < headerBytes+n {
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
	r.key.Name = string(content[fixedContentBytes:])
	return r, true
}
