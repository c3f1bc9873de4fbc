package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	lockName = "lock"
	// lockTimeout bounds Join's wait for the folder's lock. Other processes hold the lock only for
	// moments, unless they hang.
	lockTimeout       = 300 * time.Millisecond
	lockRetryInterval = 2 * time.Millisecond
)

// errLocked is returned if another process did not release the folder's lock in time. Operators see
// its text.
var errLocked = errors.New("shared folder not locked in time: another process holds its lock")

// openLock creates the folder, and opens the file in it whose file lock is the folder's lock.
func (f *Folder) openLock() error {
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return err
	}
	var err error
	f.lockFile, err = os.OpenFile(filepath.Join(f.dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	return err
}

// acquireLock waits for the folder's lock and acquires it. It returns errLocked if the context ends
// first.
func (f *Folder) acquireLock(ctx context.Context) error {
	for {
		err := tryLock(f.lockFile)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			return fmt.Errorf("lock of the shared folder: %w", err)
		}
		select {
		case <-time.After(lockRetryInterval):
		case <-ctx.Done():
			return errLocked
		}
	}
}

// releaseLock releases the folder's lock.
func (f *Folder) releaseLock() { syscall.Flock(int(f.lockFile.Fd()), syscall.LOCK_UN) }

// tryLock acquires the exclusive lock of a file without waiting. It returns syscall.EWOULDBLOCK if
// another process holds the lock.
func tryLock(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// isLocked reports whether a process holds the exclusive lock of a file of the folder.
func (f *Folder) isLocked(name string) bool {
	file, err := os.Open(f.path(name))
	if err != nil {
		return false
	}
	defer file.Close()
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	return errors.Is(err, syscall.EWOULDBLOCK)
}
