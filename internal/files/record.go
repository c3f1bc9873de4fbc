package files

import (
	"crypto/sha256"
	"time"
)

// hash is a SHA-256 sum.
type hash = [sha256.Size]byte

func hashOf(text []byte) hash { return sha256.Sum256(text) }

// record is what the last read of a file or folder found.
type record struct {
	key  string // key in reader.records: the name, followed by a slash for a folder
	name string
	readState
	hash hash // hash of a file's content
	// checksummed is whether a file's content begins with a checksum.
	checksummed bool
	text        []byte   // content of a file, held from its read until finishScan
	size        int64    // size of a file's content, in bytes
	names       []string // paths of a folder's selected files
	err         error    // why the file or folder could not be read; nil: it was read
}

// readState holds the stamp of a file or folder at its last read, and the times by which the read is judged up to date.
type readState struct {
	stamp     stamp
	firstSeen time.Time // when stamp was first seen
	lastRead  time.Time // when the content was last read; zero: it has to be read whatever the stamp is
}

// upToDate reports whether the last read is still valid, given the present stamp. A read is not valid if it was made less
// than stampSettleTime after its stamp was first seen, since a later write may have left the stamp unchanged (git's index
// calls such an entry "racily clean"). Every read becomes invalid after fullReadInterval. The file system's clock is not
// compared with the machine's clock, since the two may differ.
func (s *readState) upToDate(present stamp, at time.Time) bool {
	switch {
	case s.lastRead.IsZero() || s.stamp != present:
		return false
	case s.lastRead.Before(s.firstSeen.Add(stampSettleTime)):
		return false
	}
	return at.Before(s.lastRead.Add(fullReadInterval))
}

// recordRead records a read at a time, with the stamp that was taken before the read.
func (s *readState) recordRead(present stamp, at time.Time) {
	if s.lastRead.IsZero() || s.stamp != present {
		s.stamp, s.firstSeen = present, at
	}
	s.lastRead = at
}

// invalidate makes the next scan read the file or folder whatever its stamp is.
func (s *readState) invalidate() { s.lastRead = time.Time{} }
