package files

import (
	"context"
	"crypto/sha256"
	"errors"
	"log/slog"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"

	"yokestall/internal/cluster"
)

const maxCauses = 1000 // remembered, so that each is logged once

// filesRejected is the log event of files that are not put in force.
const filesRejected = "configuration files rejected, keeping the last good version"

// Watcher follows the files. Create it with Open.
type Watcher struct {
	path    string
	log     *slog.Logger
	reader  *reader
	parser  *Parser
	current *Snapshot
	number  uint64

	verdict     verdict         // of the last look that read something
	refused     hash            // the content refused last, seen once
	logged      map[string]bool // causes
	newNotifier func() (*notifier, error)
	onPoll      func() // called after each look of the poll; nil: nobody waits for it
}

// notifier tells of changes below folders. What it tells is a hint to look.
type notifier struct {
	events <-chan fsnotify.Event
	faults <-chan error // an overflow, say
	add    func(folder string) error
	close  func() error
}

func newNotifier() (*notifier, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	return &notifier{w.Events, w.Errors, w.Add, w.Close}, nil
}

// Open reads the first version, which has to be good.
func Open(path string, log *slog.Logger) (*Watcher, *Snapshot, error) {
	r, p := newReader(path), NewParser()
	s, err := load(r, p)
	if err != nil {
		return nil, nil, err
	}
	r.finishScan(true)
	p.end(taken)
	s.Version.Number = 1
	return &Watcher{path: path, log: log, reader: r, parser: p, current: s, number: 1, logged: map[string]bool{}, newNotifier: newNotifier}, s, nil
}

// Run calls take with each new version, until ctx ends. Changes are seen by
// notification, and by the stamps and the content of the files at each poll, which alone is enough.
func (w *Watcher) Run(ctx context.Context, take func(*Snapshot)) {
	notes, err := w.newNotifier()
	if err != nil {
		w.log.Warn("file notification unavailable, polling only", "err", err)
		notes = &notifier{add: func(string) error { return nil }, close: func() error { return nil }}
	}
	defer notes.close()
	for _, folder := range w.folders() {
		if err := notes.add(folder); err != nil {
			w.log.Warn("file notification unavailable, polling only", "folder", folder, "err", err)
		}
	}
	watched := w.folders()
	for {
		poll := time.NewTimer(w.current.Program.Files.Poll)
		select {
		case <-ctx.Done():
			poll.Stop()
			return
		case <-notes.events:
			poll.Stop()
			if s := w.poll(false); s != nil {
				take(s)
			}
		case <-notes.faults:
			poll.Stop()
			if s := w.poll(false); s != nil {
				take(s)
			}
		case <-poll.C:
			if s := w.poll(true); s != nil {
				take(s)
			}
			if w.onPoll != nil {
				w.onPoll()
			}
		}
		if now := w.folders(); !slices.Equal(now, watched) {
			for _, folder := range now {
				notes.add(folder) // polling sees what this can't
			}
			watched = now
		}
	}
}

func (w *Watcher) folders() []string {
	p, all := w.current.Program, []string{filepath.Dir(w.path)}
	for _, folder := range []string{p.Files.Folder, p.XDS.Folder} {
		if folder != "" {
			all = append(all, Beside(w.path, folder))
		}
	}
	if p.Files.Tenants != "" {
		if folder := filepath.Dir(Beside(w.path, p.Files.Tenants)); !slices.Contains(all, folder) {
			all = append(all, folder)
		}
	}
	return all
}

// verdict is what is wrong with the files, as they were when something of them was read.
type verdict struct {
	sum hash // of their contents, or of what is wrong where not all could be read
	err error
}

// poll gives a version that is new, whole and not held back. Files that have not changed since the last poll are not
// read, and what was found wrong with them stands.
func (w *Watcher) poll(polled bool) *Snapshot {
	if !w.reader.unchanged() {
		if s := w.read(); s != nil {
			return s
		}
	}
	if polled && w.verdict.err != nil {
		w.tell()
	}
	return nil
}

// read reads what has changed of the files and gives a version that is new and good. Else the verdict says what is
// wrong, if anything is.
func (w *Watcher) read() *Snapshot {
	s, err := w.next()
	w.reader.finishScan(err == nil)
	switch {
	case err != nil:
		w.parser.end(refused)
		w.verdict = verdict{sum: sha256.Sum256([]byte(err.Error())), err: err}
		if s != nil {
			w.verdict.sum = s.contentHash
		}
		return nil
	case s == nil:
		w.parser.end(dropped)
		w.verdict, w.refused = verdict{}, hash{}
		return nil
	}
	w.parser.end(taken)
	w.keepUnchanged(s)
	w.number++
	s.Version.Number = w.number
	w.current, w.verdict, w.refused = s, verdict{}, hash{}
	clear(w.logged)
	w.log.Info("configuration version loaded", "version", w.number, "clusters", len(s.Version.Clusters))
	return s
}

// next reads the files: neither a snapshot nor an error where they are as in the version in force. A snapshot beside an
// error has no more than the sum of what is wrong.
func (w *Watcher) next() (*Snapshot, error) {
	v, err := w.reader.scan(w.parser)
	if err != nil {
		return nil, err
	}
	sum := v.sum()
	if sum == w.current.contentHash {
		return nil, nil
	}
	s, err := w.parser.check(v)
	if errors.Is(err, errMoving) {
		return nil, err
	}
	if err == nil {
		err = cluster.Review(w.current.Version, s.Version, s.Program.Files.MaxShare)
	}
	if err != nil {
		return &Snapshot{contentHash: sum}, err
	}
	return s, nil
}

// tell logs what the files are not taken for, once a cause, and only once it has stood from one poll to the next: a
// file that is being written is no fault.
func (w *Watcher) tell() {
	if w.verdict.sum != w.refused {
		w.refused = w.verdict.sum
		return
	}
	for _, cause := range strings.Split(w.verdict.err.Error(), "\n") {
		if !w.logged[cause] && len(w.logged) < maxCauses {
			w.logged[cause] = true
			w.log.Error(filesRejected, "version", w.number, "cause", cause)
		}
	}
}

// keepUnchanged puts the clusters in force in place of equal ones of a new version, so
// that whoever follows sees at once what is the same.
func (w *Watcher) keepUnchanged(s *Snapshot) {
	for name, c := range s.Version.Clusters {
		if old := w.current.Version.Clusters[name]; old != nil && old != c && same(old, c) {
			s.Version.Clusters[name] = old
		}
	}
}

// same tells whether two versions of a cluster are served alike.
func same(old, c *cluster.Cluster) bool {
	if old.Empty != c.Empty || len(old.Endpoints) != len(c.Endpoints) || !reflect.DeepEqual(old.Transport, c.Transport) || !reflect.DeepEqual(old.Bounds, c.Bounds) {
		return false
	}
	d := cluster.Compare(old, c)
	return d.Empty()
}
