// Package inotify reports changes of the entries of folders, as the Linux kernel notifies of them (inotify(7)). Unlike portable
// notification packages it tells an entry that was renamed into a folder, and so was complete when it came, from one that was
// created or written there.
package inotify

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// bufferBytes is the size of one read of notifications. It has room for some hundred of them.
const bufferBytes = 16 << 10

// maxPending is the number of notifications that are kept until they are taken. Beyond it they count as lost.
const maxPending = 100_000

// notified are the changes that the kernel is asked to notify of.
const notified = unix.IN_CREATE | unix.IN_MODIFY | unix.IN_CLOSE_WRITE | unix.IN_MOVED_TO | unix.IN_MOVED_FROM | unix.IN_DELETE |
	unix.IN_ATTRIB | unix.IN_DELETE_SELF | unix.IN_MOVE_SELF | unix.IN_ONLYDIR

// FolderID identifies a watched folder. A folder that takes the place of another one at its path has another ID.
type FolderID int32

// Op is what happened to an entry of a folder.
type Op uint8

// The operations of an Event.
const (
	Attributes Op = iota // attributes of the entry or of the folder itself changed
	Created              // the entry was created; it may be written from then on
	Written              // the entry was written, cut off, or closed after it was open for writing
	RenamedTo            // the entry was renamed to this name
	Removed              // the entry was removed, or renamed to another name
	Unwatched            // the folder is no longer watched, because it was removed or Unwatch was called
)

// Event is one change of an entry of a folder.
type Event struct {
	Folder FolderID
	Name   string // of the entry; "": the folder itself
	Op     Op
}

// Watcher holds the notifications of a set of folders. Its methods may be called concurrently.
type Watcher struct {
	file *os.File
	conn syscall.RawConn

	mu      sync.Mutex
	buffer  [bufferBytes]byte
	pending []Event
	lost    bool // notifications were lost since the last Take
}

// New returns a Watcher of no folders. The error is that of the system, for example if the user has too many watchers.
func New() (*Watcher, error) {
	fd, err := unix.InotifyInit1(unix.IN_CLOEXEC | unix.IN_NONBLOCK)
	if err != nil {
		return nil, os.NewSyscallError("inotify_init1", err)
	}
	w := &Watcher{file: os.NewFile(uintptr(fd), "inotify")}
	if w.conn, err = w.file.SyscallConn(); err != nil {
		w.file.Close()
		return nil, err
	}
	return w, nil
}

// Watch watches the folder at a path from now on, and returns its ID. If the folder is watched already, Watch changes nothing
// and returns the same ID.
func (w *Watcher) Watch(folder string) (id FolderID, err error) {
	controlErr := w.conn.Control(func(fd uintptr) {
		var wd int
		if wd, err = unix.InotifyAddWatch(int(fd), folder, notified); err != nil {
			err = &os.PathError{Op: "inotify_add_watch", Path: folder, Err: err}
		}
		id = FolderID(wd)
	})
	return id, errors.Join(controlErr, err)
}

// Unwatch ends the watch of a folder.
func (w *Watcher) Unwatch(id FolderID) {
	w.conn.Control(func(fd uintptr) { unix.InotifyRmWatch(int(fd), uint32(id)) }) // fails if the folder is gone
}

// Take returns the changes since the last call, in their order. It returns all changes whose system calls have returned. lost
// reports that changes before those returned were lost.
func (w *Watcher) Take() (events []Event, lost bool) {
	w.conn.Control(func(fd uintptr) { w.readQueue(int(fd)) })
	w.mu.Lock()
	defer w.mu.Unlock()
	events, lost = w.pending, w.lost
	w.pending, w.lost = nil, false
	return events, lost
}

// Wait waits until Take would return changes. It returns an error once the Watcher is closed.
func (w *Watcher) Wait() error {
	return w.conn.Read(func(fd uintptr) bool { return w.readQueue(int(fd)) })
}

// Close ends all watches, and Wait.
func (w *Watcher) Close() error { return w.file.Close() }

// readQueue reads what the kernel has queued. It reports whether there are changes for Take.
func (w *Watcher) readQueue(fd int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		n, err := unix.Read(fd, w.buffer[:])
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || n <= 0 {
			return len(w.pending) > 0 || w.lost
		}
		w.parse(w.buffer[:n])
	}
}

// parse appends the notifications of one read to those that are pending.
func (w *Watcher) parse(text []byte) {
	for len(text) >= unix.SizeofInotifyEvent {
		folder := int32(binary.NativeEndian.Uint32(text))
		mask := binary.NativeEndian.Uint32(text[4:])
		end := unix.SizeofInotifyEvent + int(binary.NativeEndian.Uint32(text[12:]))
		name, _, _ := bytes.Cut(text[unix.SizeofInotifyEvent:end], []byte{0})
		text = text[end:]
		if mask&unix.IN_Q_OVERFLOW != 0 || len(w.pending) == maxPending {
			w.pending, w.lost = nil, true
			continue
		}
		w.pending = append(w.pending, Event{Folder: FolderID(folder), Name: string(name), Op: opOf(mask)})
	}
}

// opOf returns the operation of a notification's mask.
func opOf(mask uint32) Op {
	switch {
	case mask&unix.IN_IGNORED != 0:
		return Unwatched
	case mask&unix.IN_CREATE != 0:
		return Created
	case mask&(unix.IN_MODIFY|unix.IN_CLOSE_WRITE) != 0:
		return Written
	case mask&unix.IN_MOVED_TO != 0:
		return RenamedTo
	case mask&(unix.IN_MOVED_FROM|unix.IN_DELETE) != 0:
		return Removed
	}
	return Attributes
}
