package files

import (
	"crypto/sha256"
	"time"
)

type hash = [sha256.Size]byte

func hashOf(text []byte) hash { return sha256.Sum256(text) }

// record is what the last read of a file or folder found.
type record struct {
	key  string // in reader.records: the name; with a slash behind it that of a folder
	name string
	history
	hash  hash     // of a file's content
	text  []byte   // a file's content, between its read and the end of the scan
	size  int64    // of a file's content, in bytes
	names []string // of a folder
	err   error    // why it could not be read
}

// history is the present stamp of a file or folder, and when it was seen and read with it.
type history struct {
	stamp     stamp
	firstSeen time.Time // with this stamp
	lastRead  time.Time // zero: it has to be read whatever its stamp is
}

// upToDate reports whether the last read still holds, by the present stamp. Within stampSettleTime after a stamp was
// first seen a later write may leave the same one, so that the content is read again until then ("racily clean", as
// git's index calls it). The file system's clock is not compared with this machine's, which may differ.
func (h *history) upToDate(present stamp, at time.Time) bool {
	switch {
	case h.lastRead.IsZero() || h.stamp != present:
		return false
	case h.lastRead.Before(h.firstSeen.Add(stampSettleTime)):
		return false
	}
	return at.Before(h.lastRead.Add(fullReadInterval))
}

// recordRead records the present stamp before the content is read.
func (h *history) recordRead(present stamp, at time.Time) {
	if h.lastRead.IsZero() || h.stamp != present {
		h.stamp, h.firstSeen = present, at
	}
	h.lastRead = at
}

// invalidate has the file or folder read by the next scan whatever its stamp is.
func (h *history) invalidate() { h.lastRead = time.Time{} }
