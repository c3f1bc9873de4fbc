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
	// stampSettleTime is longer than the granularity of any file system's timestamps. Once a stamp has been seen for
	// this long, any further write gives the file another stamp.
	stampSettleTime = 2 * time.Second
	// fullReadInterval is the interval at which files are read whatever their stamps are, because writes through a
	// memory map and writes on some network file systems change the stamp late or not at all.
	fullReadInterval = time.Hour
)

// stamp identifies a version of a file or folder without its content, by stat(2). Symbolic links are followed.
type stamp struct {
	device, inode     uint64
	mode              uint32
	links             uint64 // number of hard links
	size              int64
	modified, changed int64         // mtime and ctime in Unix nanoseconds; a program can set mtime but not ctime
	errno             syscall.Errno // error of stat; the other fields are zero then
}

// readStamp returns the present stamp of a path.
func readStamp(name string) stamp {
	for {
		var st syscall.Stat_t
		switch err := syscall.Stat(name, &st); {
		case errors.Is(err, syscall.EINTR):
		case err != nil:
			var errno syscall.Errno
			errors.As(err, &errno)
			return stamp{errno: errno}
		default:
			return stamp{
				device: uint64(st.Dev), inode: st.Ino, mode: st.Mode, links: uint64(st.Nlink), size: st.Size,
				modified: st.Mtim.Nano(), changed: st.Ctim.Nano(),
			}
		}
	}
}

// fileProblem returns a *cluster.Problem if a file with this stamp can't be read as a configuration file, else nil. It has
// to be called before the file is opened, since opening a named pipe blocks until there is a writer.
func (s stamp) fileProblem(name string) error {
	if s.errno != 0 {
		if _, err := os.Lstat(name); s.errno == syscall.ENOENT && err == nil {
			return &cluster.Problem{Source: name, Text: "is a symbolic link to a file that does not exist"}
		}
		return &cluster.Problem{Source: name, Text: s.errno.Error()}
	}
	switch kind := s.mode & syscall.S_IFMT; {
	case kind == syscall.S_IFDIR:
		return &cluster.Problem{Source: name, Text: "is a folder, not a regular file"}
	case kind != syscall.S_IFREG:
		return &cluster.Problem{Source: name, Text: "is not a regular file"}
	case s.size > config.MaxFileBytes:
		return &cluster.Problem{Source: name,
			Text: fmt.Sprintf("has %d bytes, and at most %d are allowed", s.size, config.MaxFileBytes)}
	}
	return nil
}
