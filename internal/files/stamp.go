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
	// stampSettleTime is longer than the steps of any file system's clock. A file that is read later than this after
	// its stamp was first seen can't be written again without another stamp.
	stampSettleTime = 2 * time.Second
	// fullReadInterval is how often files are read whatever their stamps are: writes through a memory map, and some
	// network file systems, leave no stamp or leave it late.
	fullReadInterval = time.Hour
)

// stamp identifies a version of a file or folder without its content, by stat(2). Symbolic links are followed.
type stamp struct {
	device, inode     uint64
	mode              uint32
	size              int64
	modified, changed int64         // nanoseconds; a program can set modified, not changed
	fault             syscall.Errno // of stat; the rest is zero then
}

// readStamp returns the present stamp of a path.
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

// fileProblem returns why a file with this stamp can't be read, a *cluster.Problem; nil if it may be. It has to be
// called before the file is opened, since opening a pipe waits for a writer.
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
