package files

import (
	"errors"
	"io/fs"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// openForWriting reports whether a process has a regular file open for writing, by asking for a read lease (fcntl(2)), which
// the kernel refuses then. It reports true if the file can't be opened, and false if the system does not tell: a lease needs
// the file's owner or CAP_LEASE, and a file system that has leases. The lease is given back at once; a process that opens the
// file meanwhile waits for that.
//
// If a file is not open for writing, the notifications of all earlier writes are in the queue already, since the kernel queues
// them before it closes the file.
func openForWriting(path string) bool {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0) // does not wait if the file has become a pipe
	if err != nil {
		return !errors.Is(err, fs.ErrNotExist) // for example for want of descriptors: the next look may succeed
	}
	defer f.Close()
	_, err = unix.FcntlInt(f.Fd(), unix.F_SETLEASE, unix.F_RDLCK)
	if err == nil {
		unix.FcntlInt(f.Fd(), unix.F_SETLEASE, unix.F_UNLCK) // closing would give it back too
	}
	return errors.Is(err, unix.EAGAIN)
}
