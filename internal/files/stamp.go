package files

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

const (
	// settle is longer than the steps of any file system's clock. A file that is read later than this after its stamp
	// was first seen can't be written again without another stamp.
	settle = 2 * time.Second
	// fullRead is how often files are read whatever their stamps say: writes through a memory map and some network
	// file systems leave no stamp, or leave it late.
	fullRead = time.Hour
)

// stamp is what the file system tells of a file or folder without its content. Symbolic links are followed.
type stamp struct {
	device, inode     uint64
	mode              uint32
	size              int64
	modified, changed int64         // nanoseconds; a program can set modified, not changed
	fault             syscall.Errno // the rest is zero then
}

// readStamp asks the file system.
func readStamp(name string) stamp {
	for {
		var st syscall.Stat_t
		switch err := syscall.Stat(name, &st); {
		case errors.Is(err, syscall.EINTR):
		case err != nil:
			var fault syscall.Errno
			errors.As(err, &fault)
			return stamp{fault: fault}
		default:
			return stamp{
				device: uint64(st.Dev), inode: st.Ino, mode: st.Mode, size: st.Size,
				modified: st.Mtim.Nano(), changed: st.Ctim.Nano(),
			}
		}
	}
}

// fileProblem tells why a file with this stamp can't be read, nil if it may be. It is asked before the file is opened,
// since to open a pipe would wait for a writer.
func (s stamp) fileProblem(name string) error {
	if s.fault != 0 {
		if _, err := os.Lstat(name); s.fault == syscall.ENOENT && err == nil {
			return &cluster.Problem{Source: name, Text: "points to a file that is not there"}
		}
		return &cluster.Problem{Source: name, Text: s.fault.Error()}
	}
	switch kind := s.mode & syscall.S_IFMT; {
	case kind == syscall.S_IFDIR:
		return &cluster.Problem{Source: name, Text: "is a folder"}
	case kind != syscall.S_IFREG:
		return &cluster.Problem{Source: name, Text: "is no regular file"}
	case s.size > config.MaxFile:
		return &cluster.Problem{Source: name, Text: fmt.Sprintf("%d bytes; %d at most", s.size, config.MaxFile)}
	}
	return nil
}

// history is when a file or folder was seen and read with the stamp that it has.
type history struct {
	stamp stamp
	seen  time.Time // first, with this stamp
	read  time.Time // last
}

// upToDate tells whether what was read still stands, by the stamp that there is now. Within settle after a stamp was first
// seen a later write may leave the same one, so that the content is read again until then ("racily clean", as git's
// index calls it). The file system's clock is not compared with this machine's, which may be another.
func (h *history) upToDate(now stamp, at time.Time) bool {
	switch {
	case h.read.IsZero() || h.stamp != now:
		return false
	case h.read.Before(h.seen.Add(settle)):
		return false
	}
	return at.Before(h.read.Add(fullRead))
}

// record takes down a stamp, before the content is read at this time.
func (h *history) record(now stamp, at time.Time) {
	if h.read.IsZero() || h.stamp != now {
		h.stamp, h.seen = now, at
	}
	h.read = at
}
