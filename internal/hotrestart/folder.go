// Package hotrestart coordinates the processes of one node while one process replaces another: it handles
// the clients' listening socket that the platform passes to both (Listen), the record of administrative
// changes (Folder.Commit), the split of the node's descriptors (DescriptorLimit), and the snapshot that
// the predecessor writes for its successor (Folder.WriteSnapshot).
//
// The processes share a folder below $TMPDIR, which must be the same for all of them. Each process holds a
// file lock in the folder for as long as it lives. The kernel releases the lock however the process ends,
// so the lock tells a dead process from a slow one.
//
// # The order of a hot restart
//
//  1. The platform starts the successor with the inherited socket. The successor joins the folder (Join),
//     applies the administrative record, starts its admin API and waits for a snapshot (Folder.TakeSnapshot).
//  2. The predecessor finds the successor (Folder.Peers), lowers its descriptor limit, takes half of the node's
//     share of slow-start budgets and writes the snapshot once (Folder.WriteSnapshot).
//  3. The successor restores the snapshot, gets an endpoint list, serves, and publishes the phase Serving
//     (Folder.Publish). Both processes accept connections from the shared socket.
//  4. The platform sends the predecessor SIGTERM. Since SuccessorServing reports true, the predecessor closes
//     its descriptor of the listening socket, publishes the phase Draining and exits after its last
//     connection has ended.
//
// The successor gets the listening socket, the record, the endpoint list and the policy's learnt state. It
// does not get client connections, requests in flight, idempotency keys and quotas.
package hotrestart

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"yokestall/internal/adminstate"
)

const (
	folderName       = "yokestall"
	maxFolderEntries = 1000 // maximum number of the folder's files whose names are read
)

// The errors of Join and Folder.Commit that wrap no other error. Operators see their texts.
var (
	errNoFolder = errors.New("no directory given for the shared folder of the node's processes")
	errClosed   = errors.New("change not made: the process has left the shared folder, since it is ending")
)

// Folder is this process's membership in the shared folder. Join creates a Folder, Close ends the
// membership. The methods are safe for concurrent use.
type Folder struct {
	dir          string
	nodeIdentity string
	log          *slog.Logger
	lockFile     *os.File // its file lock is the folder's lock

	appendLine func(path string, line []byte) error // appendToFile, except in tests

	// mu serializes this process's use of the folder's lock, and guards the fields below.
	mu           sync.Mutex
	presenceFile *os.File // locked while this process is a member; nil afterwards
	self         Presence
	// deliveredSeq is the sequence number up to which the record's entries were passed to the AdminState or
	// returned by Join.
	deliveredSeq uint64
}

// Join joins the folder below dir as a process of the node, and returns the administrative changes in the
// record, which the caller has to apply before the process serves. nodeIdentity is the node's name and listen
// address; a record with another identity is ignored. Join logs a damaged record and does not fail for it.
// Operators see the text of the error.
func Join(dir, nodeIdentity string, log *slog.Logger) (*Folder, []adminstate.Change, error) {
	if dir == "" {
		return nil, nil, errNoFolder
	}
	f := &Folder{dir: filepath.Join(dir, folderName), nodeIdentity: nodeIdentity, log: log, appendLine: appendToFile}
	if err := f.openLock(); err != nil {
		return nil, nil, fmt.Errorf("shared folder of the node's processes: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), lockTimeout)
	defer cancel()
	if err := f.acquireLock(ctx); err != nil {
		log.Warn("shared folder locked by another process, joining without its lock", "err", err)
	} else {
		defer f.releaseLock()
	}
	entries := f.readRecordLogged()
	if err := f.createPresence(); err != nil {
		f.lockFile.Close()
		return nil, nil, fmt.Errorf("shared folder of the node's processes: creating the presence file: %w", err)
	}
	changes := f.takeUndelivered(entries)
	f.self.AppliedSeq = f.deliveredSeq
	if err := f.writePresence(); err != nil {
		f.Close()
		return nil, nil, fmt.Errorf("shared folder of the node's processes: writing the presence file: %w", err)
	}
	return f, changes, nil
}

// Close leaves the folder and removes this process's presence file. The record stays in the folder.
func (f *Folder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.presenceFile != nil {
		os.Remove(f.presenceFile.Name())
		f.presenceFile.Close()
		f.presenceFile = nil
	}
	return f.lockFile.Close()
}

// Self returns the presence that this process published last.
func (f *Folder) Self() Presence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// Publish publishes this process's phase, the number of descriptors that other processes must leave to it
// and the number of its latest successor (0: none) to the other processes. After Close it does nothing.
func (f *Folder) Publish(phase ProcessPhase, descriptors int, successor uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	unchanged := f.self.Phase == phase && f.self.Descriptors == descriptors && f.self.Successor == successor
	if f.presenceFile == nil || unchanged {
		return nil
	}
	f.self.Phase, f.self.Descriptors, f.self.Successor = phase, descriptors, successor
	return f.writePresence()
}

// Peers returns the presences of the other live processes of the node, the oldest first. If a presence
// can't be read at this moment, the returned Presence has only the number.
func (f *Folder) Peers() ([]Presence, error) {
	names, err := f.fileNames()
	if err != nil {
		return nil, err
	}
	var peers []Presence
	for _, name := range names {
		number, ok := numberedFile(name, presencePrefix)
		if !ok || number == f.self.Number || !f.isLocked(name) {
			continue
		}
		peers = append(peers, f.readPresence(name, number))
	}
	slices.SortFunc(peers, func(x, y Presence) int { return cmp.Compare(x.Number, y.Number) })
	return peers, nil
}

// path returns the path of a file of the folder.
func (f *Folder) path(name string) string { return filepath.Join(f.dir, name) }

// fileNames returns the names of the folder's files, at most maxFolderEntries.
func (f *Folder) fileNames() ([]string, error) {
	d, err := os.Open(f.dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	names, err := d.Readdirnames(maxFolderEntries)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return names, nil
}

// numberedFile returns the process number in the name of a file with this prefix. ok is false for other names.
func numberedFile(name, prefix string) (number uint64, ok bool) {
	suffix, found := strings.CutPrefix(name, prefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(suffix, 10, 63)
	return number, err == nil
}
