// Package hotrestart is what two processes of one node do together while one replaces the other:
// the clients' listening socket that the platform holds, the operators' record that both keep,
// how the limits are split between them, and what the later one is given of what the other knows.
//
// They meet in a folder ($TMPDIR is the same for both). Each holds the lock of a file of its own
// there for as long as it lives; the kernel frees it however the process ends, so that the dead
// are told from the slow. Design: docs/maintenance.md.
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
	"syscall"
	"time"

	"yokestall/internal/adminstate"
)

const (
	folderName     = "yokestall"
	lockName       = "lock"
	presencePrefix = "process-"
	givenPrefix    = "knowledge-"
	// lockTime is how long a start waits for the lock of another process, which holds it for
	// moments only unless it hangs.
	lockTime  = 300 * time.Millisecond
	lockEvery = 2 * time.Millisecond
	maxGiven  = 4 << 20 // bytes of what a process gives a later one
	maxFiles  = 1000    // looked at in the folder
)

// Admin is the administrative state of this process, as adminstate.State keeps it. Its methods are
// called with the folder locked.
type Admin interface {
	// Check tells whether a change can be taken (else the error), and makes a difference.
	Check(c adminstate.Change) (differs bool, err error)
	// Take has a change in force when it returns.
	Take(c adminstate.Change)
	// Changes gives the fewest changes that lead to the present state; never more than were taken.
	Changes() []adminstate.Change
}

var copyNames = [2]string{"record-a", "record-b"}

// ErrPeer tells that a change is in force here and on record, but that another process of the
// node has not said that it is in force there.
var ErrPeer = errors.New("done in this process and on record, but the node's other process does not answer; call again")

// Folder is this process's part in the folder. Create it with Join, end it with Close.
type Folder struct {
	dir  string
	name string // the node's
	log  *slog.Logger
	lock *os.File // of the folder

	append func(path string, line []byte) error // appendTo, but for tests

	mu   sync.Mutex // this process's turn at the lock; guards the following
	mine *os.File
	me   Presence
	seen uint64 // entries up to this one were handed out
}

// Join takes part in the folder under dir, and gives what operators have asked for so far. A
// record that can't be read is set aside and said in the log, and does not stop the start.
func Join(dir, name string, log *slog.Logger) (*Folder, []adminstate.Change, error) {
	if dir == "" {
		return nil, nil, errors.New("no folder that the node's processes share")
	}
	f := &Folder{dir: filepath.Join(dir, folderName), name: name, log: log, append: appendTo}
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("folder of the node's processes: %w", err)
	}
	var err error
	if f.lock, err = os.OpenFile(filepath.Join(f.dir, lockName), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, nil, fmt.Errorf("folder of the node's processes: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), lockTime)
	defer cancel()
	if err := f.take(ctx); err != nil {
		log.Warn("the folder's lock is held; starting without it", "err", err) // by one that hangs
	} else {
		defer f.release()
	}
	all, damage := f.read()
	if damage != nil {
		log.Warn("operators' record", "err", damage)
	}
	if len(all) > 0 && lacks(all, all[len(all)-1].seq) {
		log.Error("operators' record: calls are missing from both copies; look at what is out of service")
	}
	if err := f.present(); err != nil {
		f.lock.Close()
		return nil, nil, fmt.Errorf("folder of the node's processes: %w", err)
	}
	changes := f.news(all)
	f.me.Applied = f.seen
	if err := f.publish(); err != nil {
		f.Close()
		return nil, nil, fmt.Errorf("folder of the node's processes: %w", err)
	}
	return f, changes, nil
}

// Me gives what this process has told last.
func (f *Folder) Me() Presence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.me
}

// Close leaves the folder; what is on record stays.
func (f *Folder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mine != nil {
		os.Remove(f.mine.Name())
		f.mine.Close()
		f.mine = nil
	}
	return f.lock.Close()
}

// take locks the folder.
func (f *Folder) take(ctx context.Context) error {
	for {
		err := syscall.Flock(int(f.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			return fmt.Errorf("lock: %w", err)
		}
		select {
		case <-time.After(lockEvery):
		case <-ctx.Done():
			return errors.New("lock: another process holds it")
		}
	}
}

func (f *Folder) release() { syscall.Flock(int(f.lock.Fd()), syscall.LOCK_UN) }

// present makes this process's file, with a number above all others', and removes those of
// processes that are dead. The folder is locked.
func (f *Folder) present() error {
	names, err := f.names()
	if err != nil {
		return err
	}
	last := uint64(0)
	live := map[uint64]bool{}
	for _, name := range names {
		number, err := strconv.ParseUint(strings.TrimPrefix(name, presencePrefix), 10, 63)
		if !strings.HasPrefix(name, presencePrefix) || err != nil {
			continue
		}
		last = max(last, number)
		if f.alive(name) {
			live[number] = true
		} else {
			os.Remove(filepath.Join(f.dir, name))
		}
	}
	for _, name := range names {
		number, err := strconv.ParseUint(strings.TrimPrefix(name, givenPrefix), 10, 63)
		if strings.HasPrefix(name, givenPrefix) && (err != nil || !live[number]) {
			os.Remove(filepath.Join(f.dir, name)) // nobody is there to take it
		}
	}
	f.me.Number = last + 1
	path := filepath.Join(f.dir, presencePrefix+strconv.FormatUint(f.me.Number, 10))
	if f.mine, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
		return err
	}
	return syscall.Flock(int(f.mine.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

func (f *Folder) names() ([]string, error) {
	d, err := os.Open(f.dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	names, err := d.Readdirnames(maxFiles)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return names, nil
}

// alive tells whether a process still holds the lock of its file.
func (f *Folder) alive(name string) bool {
	file, err := os.Open(filepath.Join(f.dir, name))
	if err != nil {
		return false
	}
	defer file.Close()
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	return errors.Is(err, syscall.EWOULDBLOCK)
}

// publish writes what the others may see; f.mu is held, or nobody else has f yet.
func (f *Folder) publish() error {
	_, err := f.mine.WriteAt(f.me.encode(), 0)
	return err
}

// Tell lets the others know how far this process is.
func (f *Folder) Tell(phase Phase, held int, yields uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mine == nil || f.me.Phase == phase && f.me.Held == held && f.me.Yields == yields {
		return nil
	}
	f.me.Phase, f.me.Held, f.me.Yields = phase, held, yields
	return f.publish()
}

// Peers gives the other processes of the node that live, the oldest first. One whose file can't
// be read just now is there with its number alone.
func (f *Folder) Peers() ([]Presence, error) {
	names, err := f.names()
	if err != nil {
		return nil, err
	}
	var peers []Presence
	for _, name := range names {
		number, err := strconv.ParseUint(strings.TrimPrefix(name, presencePrefix), 10, 63)
		if !strings.HasPrefix(name, presencePrefix) || err != nil || number == f.me.Number || !f.alive(name) {
			continue
		}
		p := Presence{Number: number}
		if text, err := readAtMost(filepath.Join(f.dir, name), presenceSize); err == nil {
			if read, err := parsePresence(text); err == nil && read.Number == number {
				p = read
			}
		}
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(x, y Presence) int { return cmp.Compare(x.Number, y.Number) })
	return peers, nil
}

// read gives the record as both copies have it.
func (f *Folder) read() ([]entry, error) {
	var parts [2][]entry
	var damage error
	for i, name := range copyNames {
		text, err := readAtMost(filepath.Join(f.dir, name), maxRecord)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err == nil {
			parts[i], err = parseRecord(text, f.name)
		}
		if err != nil {
			damage = errors.Join(damage, fmt.Errorf("%s: %w", name, err))
		}
	}
	return merge(parts[0], parts[1]), damage
}

// news gives the changes that were not handed out yet; f.mu is held, or nobody else has f yet.
func (f *Folder) news(all []entry) []adminstate.Change {
	var changes []adminstate.Change
	for _, e := range all {
		if e.seq > f.seen {
			changes = append(changes, e.change)
			f.seen = e.seq
		}
	}
	return changes
}

// Follow takes the changes that other processes have put on record. When it returns they are in
// force, and the others can see that. What is locked at the moment is left for the next time.
func (f *Folder) Follow(to Admin) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mine == nil || syscall.Flock(int(f.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return nil
	}
	defer f.release()
	all, _ := f.read()
	return f.takeAll(all, to)
}

func (f *Folder) takeAll(all []entry, to Admin) error {
	before := f.seen
	for _, c := range f.news(all) {
		to.Take(c)
	}
	if f.seen == before {
		return nil
	}
	f.me.Applied = f.seen
	return f.publish()
}

// Commit carries a change out in all processes of the node. Under the lock, what others have
// asked for meanwhile is taken first; then the change is checked, put on record and taken. When
// Commit returns nil, it is in force in every process of the node that lives.
func (f *Folder) Commit(ctx context.Context, c adminstate.Change, to Admin) error {
	seq, err := f.commit(ctx, c, to)
	if err != nil {
		return err
	}
	for {
		peers, err := f.Peers()
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(peers, func(p Presence) bool { return p.Applied < seq }) {
			return nil
		}
		select {
		case <-time.After(lockEvery):
		case <-ctx.Done():
			return ErrPeer
		}
	}
}

func (f *Folder) commit(ctx context.Context, c adminstate.Change, to Admin) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mine == nil {
		return 0, errors.New("the process is ending")
	}
	if err := f.take(ctx); err != nil {
		return 0, err
	}
	defer f.release()
	all, damage := f.read()
	if err := f.takeAll(all, to); err != nil {
		return 0, err
	}
	if lacks(all, f.seen) { // this process still has what the record has lost
		all, damage = f.short(to), errDamaged
	}
	differs, err := to.Check(c)
	if err != nil {
		return 0, err
	}
	if differs {
		e := entry{f.seen + 1, c}
		if err := f.write(all, damage, e); err != nil {
			return 0, fmt.Errorf("the record can't be written, so nothing was done: %w", err)
		}
		f.seen = e.seq
		to.Take(c)
		f.me.Applied = e.seq
		if err := f.publish(); err != nil {
			return 0, err
		}
	}
	return f.seen, nil
}

// write puts an entry behind both copies of the record, or behind neither. A copy that lacks what
// the other has, or can't be read, is written anew.
func (f *Folder) write(all []entry, damage error, e entry) error {
	var sizes [2]int64
	undo := func() {
		for i, name := range copyNames {
			os.Truncate(filepath.Join(f.dir, name), sizes[i])
		}
	}
	whole := formatRecord(f.name, all)
	for i, name := range copyNames {
		path := filepath.Join(f.dir, name)
		info, err := os.Stat(path)
		if damage != nil || err != nil || info.Size() != int64(len(whole)) {
			if err := replace(path, whole); err != nil {
				return err
			}
		}
		sizes[i] = int64(len(whole))
	}
	line := appendEntry(nil, e)
	if len(whole)+len(line) > maxRecord {
		return fmt.Errorf("over %d bytes", maxRecord)
	}
	for _, name := range copyNames {
		if err := f.append(filepath.Join(f.dir, name), line); err != nil {
			undo()
			return err
		}
	}
	return nil
}

// short gives the fewest entries that lead to the present state, numbered so that whoever has seen
// the record to its end has seen them.
func (f *Folder) short(to Admin) []entry {
	changes := to.Changes()
	all := make([]entry, len(changes))
	for i, c := range changes {
		all[i] = entry{f.seen - uint64(len(changes)-1-i), c}
	}
	return all
}

// lacks tells whether entries are missing between the first one of a record and last.
func lacks(all []entry, last uint64) bool {
	if len(all) == 0 {
		return last > 0
	}
	return all[len(all)-1].seq < last || all[len(all)-1].seq-all[0].seq != uint64(len(all)-1)
}

// Compact writes the record anew from the state that it has led to, where it has grown long and no
// other process is there that could be half way through it.
func (f *Folder) Compact(to Admin) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peers, err := f.Peers(); err != nil || len(peers) > 0 || f.mine == nil {
		return err
	}
	if info, err := os.Stat(filepath.Join(f.dir, copyNames[0])); err != nil || info.Size() < compactAt {
		return nil
	}
	if syscall.Flock(int(f.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return nil
	}
	defer f.release()
	all, _ := f.read()
	if err := f.takeAll(all, to); err != nil {
		return err
	}
	text := formatRecord(f.name, f.short(to))
	for _, name := range copyNames {
		if err := replace(filepath.Join(f.dir, name), text); err != nil {
			return err
		}
	}
	return nil
}

// Give leaves something for a later process.
func (f *Folder) Give(to uint64, text []byte) error {
	if len(text) > maxGiven {
		return fmt.Errorf("%d bytes; %d at most", len(text), maxGiven)
	}
	return replace(filepath.Join(f.dir, givenPrefix+strconv.FormatUint(to, 10)), text)
}

// Given takes what an earlier process has left for this one; nil: nothing yet.
func (f *Folder) Given() []byte {
	path := filepath.Join(f.dir, givenPrefix+strconv.FormatUint(f.me.Number, 10))
	text, err := readAtMost(path, maxGiven)
	if err != nil {
		return nil
	}
	os.Remove(path)
	return text
}

// replace puts a file in another's place: readers see the former one or all of this one.
func replace(path string, text []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		os.Remove(next)
		return err
	}
	return os.Rename(next, path)
}

func appendTo(path string, line []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(line)
	return errors.Join(err, file.Close())
}

func readAtMost(path string, most int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, int64(most)+1))
	if err == nil && len(text) > most {
		return nil, fmt.Errorf("over %d bytes", most)
	}
	return text, err
}
