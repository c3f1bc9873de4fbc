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
	// headerFormat is the first line: the version and the checksum of the rest.
	headerFormat = "yokestall-knowledge %d %08x"
	// MaxAge is the greatest age of a snapshot. The policy's window of outcomes is as long: an older
	// snapshot has no recent outcome of any endpoint.
	MaxAge = 10 * time.Second
	// maxClockSkew is how far in the receiver's future a snapshot may have been taken.
	maxClockSkew = time.Second
)

// The errors of Decode, which wraps them with what was found.
var (
	// ErrMalformed is returned for data that is not a snapshot.
	ErrMalformed = errors.New("malformed")
	// ErrUnsupportedVersion is returned for a snapshot of another version.
	ErrUnsupportedVersion = errors.New("unsupported version")
	// ErrChecksum is returned for a snapshot that was damaged or cut off.
	ErrChecksum = errors.New("checksum does not match")
	// ErrOtherNode is returned for a snapshot of a node with another name.
	ErrOtherNode = errors.New("taken by another node")
	// ErrExpired is returned for a snapshot older than MaxAge.
	ErrExpired = errors.New("expired")
	// ErrClockSkew is returned for a snapshot that was taken in the receiver's future.
	ErrClockSkew = errors.New("taken in the future")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns a header line with the checksum, and the snapshot as JSON.
func Encode(s Snapshot) ([]byte, error) {
	s.Version = version
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	header := fmt.Appendf(nil, headerFormat+"\n", version, crc32.Checksum(body, castagnoli))
	return append(header, body...), nil
}

// Decode returns the snapshot in data and its age, for a receiver with this name of its node, these
// classes by their indices, and this wall time. invalid are the parts that were dropped, as ErrClasses,
// ErrLoadRange, *EndpointCountError or *EndpointRangeError. An error, one of the above, means that
// nothing of the snapshot can be used.
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

// decodeBody checks the header line against the rest and decodes that.
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

// checkOrigin checks that the snapshot was taken lately, and by this node.
func checkOrigin(s *Snapshot, age time.Duration, node string) error {
	switch {
	case s.Node != node:
		return fmt.Errorf("%w: %q", ErrOtherNode, s.Node)
	case age > MaxAge:
		return fmt.Errorf("%w: %v old, maximum %v", ErrExpired, age.Round(time.Millisecond), MaxAge)
	case age < -maxClockSkew:
		return fmt.Errorf("%w: %v from now", ErrClockSkew, -age.Round(time.Millisecond))
	}
	return nil
}
