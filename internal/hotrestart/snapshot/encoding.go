package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

const (
	version = 1
	// headerFormat is the format of the first line: the version, and the checksum of the bytes after
	// the line.
	headerFormat = "yokestall-knowledge %d %08x"
	// MaxAge is the maximum age of a snapshot that is used. The policy's window of outcomes is as long,
	// so an older snapshot has no recent outcome of any endpoint.
	MaxAge = 10 * time.Second
	// maxClockSkew is how far in the future of the receiver's clock a snapshot may have been taken.
	maxClockSkew = time.Second
)

// The errors for which Decode rejects a whole snapshot. Decode wraps them with what was found.
var (
	// ErrMalformed is returned for data that does not have the format of a snapshot.
	ErrMalformed = errors.New("malformed")
	// ErrUnsupportedVersion is returned for a snapshot with another version of the format.
	ErrUnsupportedVersion = errors.New("unsupported version")
	// ErrChecksum is returned for a snapshot that is damaged or truncated.
	ErrChecksum = errors.New("checksum does not match")
	// ErrOtherNode is returned for a snapshot of a node with another name.
	ErrOtherNode = errors.New("taken by another node")
	// ErrExpired is returned for a snapshot older than MaxAge.
	ErrExpired = errors.New("expired")
	// ErrClockSkew is returned for a snapshot that was taken more than maxClockSkew after the receiver's
	// present time.
	ErrClockSkew = errors.New("taken in the future")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the encoding of a snapshot: a header line with the version and a checksum, and the snapshot
// as JSON. The encoded snapshot has the version of this format, whatever s.Version is.
func Encode(s Snapshot) ([]byte, error) {
	s.Version = version
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	header := fmt.Appendf(nil, headerFormat+"\n", version, crc32.Checksum(body, castagnoli))
	return append(header, body...), nil
}

// Decode returns the snapshot in data and the snapshot's age. node is the name of the receiver's node,
// classes are the names of the receiver's classes in the order of their indices, and now is the wall time.
// invalid has an error for each part that was dropped: ErrClasses, ErrLoadRange, *EndpointCountError or
// *EndpointRangeError. If err is not nil, nothing of the snapshot can be used; err wraps ErrMalformed,
// ErrUnsupportedVersion, ErrChecksum, ErrOtherNode, ErrExpired or ErrClockSkew.
func Decode(data []byte, node string, classes []string, now time.Time) (
	s Snapshot, age time.Duration, invalid []error, err error,
) {
	if s, err = decodeBody(data); err != nil {
		return Snapshot{}, 0, nil, fmt.Errorf("snapshot: %w", err)
	}
	age = now.Sub(time.UnixMilli(s.TakenAtMs))
	if err := checkOrigin(&s, age, node); err != nil {
		return Snapshot{}, 0, nil, fmt.Errorf("snapshot: %w", err)
	}
	invalid = s.dropInvalid(classes)
	return s, max(0, age), invalid, nil
}

// decodeBody checks the version and the checksum in the header line, and decodes the JSON after that line.
func decodeBody(data []byte) (s Snapshot, err error) {
	header, body, _ := bytes.Cut(data, []byte("\n"))
	var gotVersion int
	var sum uint32
	if _, err := fmt.Sscanf(string(header), headerFormat, &gotVersion, &sum); err != nil {
		return s, fmt.Errorf("%w header: %w", ErrMalformed, err)
	}
	if gotVersion != version {
		return s, fmt.Errorf("%w %d", ErrUnsupportedVersion, gotVersion)
	}
	if sum != crc32.Checksum(body, castagnoli) {
		return s, ErrChecksum
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("%w body: %w", ErrMalformed, err)
	}
	return s, nil
}

// checkOrigin returns an error if the snapshot was not taken by the node with this name, is older than
// MaxAge or was taken in the future.
func checkOrigin(s *Snapshot, age time.Duration, node string) error {
	switch {
	case s.Node != node:
		return fmt.Errorf("%w: %q", ErrOtherNode, s.Node)
	case age > MaxAge:
		return fmt.Errorf("%w: %v old, maximum %v", ErrExpired, age.Round(time.Millisecond), MaxAge)
	case age < -maxClockSkew:
		return fmt.Errorf("%w: %v ahead of the receiver's clock", ErrClockSkew, -age.Round(time.Millisecond))
	}
	return nil
}
