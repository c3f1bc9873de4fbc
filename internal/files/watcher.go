package files

import (
	"context"
	"errors"
	"log/slog"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"yokestall/internal/cluster"
)

// maxLoggedCauses bounds the causes of rejected files that are cached so that each is logged once.
const maxLoggedCauses = 1000

// filesRejected is the log event of files that are not put in force.
const filesRejected = "configuration files rejected, keeping the last good version"

// Watcher follows the files of a configuration. Create it with Open. Its methods are for one goroutine.
type Watcher struct {
	path    string // of the program's file
	log     *slog.Logger
	reader  *reader
	parser  *Parser
	current *Configuration
	number  uint64 // of current

	verdict      verdict         // of the last poll that read something
	lastRejected hash            // verdict.hash of the poll before, if that was rejected; else zero
	loggedCauses map[string]bool // since the last accepted version

	newNotifier func() (*notifier, error)
	onPoll      func() // called after each poll by the timer, for tests; may be nil
}

// verdict is what is wrong with the files, as they were when some of them were read last.
type verdict struct {
	hash hash  // of their contents; of err where not all could be read
	err  error // nil: nothing is wrong
}

// Open reads the first version. The error says why it is rejected.
func Open(path string, log *slog.Logger) (*Watcher, *Configuration, error) {
	r, p := newReader(path), NewParser()
	s, err := load(r, p)
	if err != nil {
		return nil, nil, err
	}
	r.finishScan(true)
	p.end(accepted)
	s.Version.Number = 1
	w := &Watcher{
		path: path, log: log, reader: r, parser: p, current: s, number: 1,
		loggedCauses: map[string]bool{}, newNotifier: newNotifier,
	}
	return w, s, nil
}

// Run calls apply with each new version, in its own goroutine, until ctx ends. Changes are found by notification, and
// by the stamps and the contents of the files at each poll, which alone is sufficient.
func (w *Watcher) Run(ctx context.Context, apply func(*Configuration)) {
	notifier := w.startNotifier()
	defer notifier.close()
	watched := w.folders()
	for {
		reason := awaitWakeup(ctx, notifier, w.current.Program.Files.Poll)
		if reason == wakeupStopped {
			return
		}
		byTimer := reason == wakeupTimer
		if s := w.poll(byTimer); s != nil {
			apply(s)
		}
		if byTimer && w.onPoll != nil {
			w.onPoll()
		}
		if folders := w.folders(); !slices.Equal(folders, watched) {
			for _, folder := range folders {
				notifier.add(folder) // polling finds what a failure misses
			}
			watched = folders
		}
	}
}

// startNotifier returns a notifier of the present folders. Without one, polling finds the changes.
func (w *Watcher) startNotifier() *notifier {
	n, err := w.newNotifier()
	if err != nil {
		w.log.Warn("file notification unavailable, polling only", "err", err)
		return nopNotifier()
	}
	for _, folder := range w.folders() {
		if err := n.add(folder); err != nil {
			w.log.Warn("file notification unavailable, polling only", "folder", folder, "err", err)
		}
	}
	return n
}

// wakeup is why a Watcher polls the files.
type wakeup uint8

const (
	wakeupStopped  wakeup = iota // it does not: its context has ended
	wakeupNotified               // a change was notified, or notifications were lost
	wakeupTimer                  // the poll interval is over
)

// awaitWakeup waits for a notification, the end of the poll interval or that of ctx.
func awaitWakeup(ctx context.Context, n *notifier, pollInterval time.Duration) wakeup {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return wakeupStopped
	case <-n.events:
		return wakeupNotified
	case <-n.faults:
		return wakeupNotified
	case <-timer.C:
		return wakeupTimer
	}
}

// folders returns the folders with files of the present version.
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

// poll returns a version that is new and accepted; nil if there is none. Files that have not changed since the last
// poll are not read, and the verdict on them stays. byTimer is false for a poll after a notification, which may come
// while a file is being written, so that nothing is logged then.
func (w *Watcher) poll(byTimer bool) *Configuration {
	if !w.reader.unchanged() {
		if s := w.read(); s != nil {
			return s
		}
	}
	if byTimer && w.verdict.err != nil {
		w.logVerdict()
	}
	return nil
}

// read reads the files that changed. It returns a version that is new and accepted, or sets the verdict.
func (w *Watcher) read() *Configuration {
	s, err := w.readNext()
	w.reader.finishScan(err == nil)
	switch {
	case err != nil:
		w.parser.end(rejected)
		w.verdict = verdict{hash: hashOf([]byte(err.Error())), err: err}
		if s != nil {
			w.verdict.hash = s.contentHash
		}
		return nil
	case s == nil:
		w.parser.end(discarded)
		w.verdict, w.lastRejected = verdict{}, hash{}
		return nil
	}
	w.parser.end(accepted)
	w.reuseUnchanged(s)
	w.number++
	s.Version.Number = w.number
	w.current, w.verdict, w.lastRejected = s, verdict{}, hash{}
	clear(w.loggedCauses)
	w.log.Info("configuration version loaded", "version", w.number, "clusters", len(s.Version.Clusters))
	return s
}

// readNext reads the files. It returns neither a configuration nor an error if they are as in the current version. A
// configuration beside an error has only the hash of the rejected contents.
func (w *Watcher) readNext() (*Configuration, error) {
	v, err := w.reader.scan(w.parser)
	if err != nil {
		return nil, err
	}
	contentHash := v.hash()
	if contentHash == w.current.contentHash {
		return nil, nil
	}
	s, err := w.parser.check(v)
	if errors.Is(err, errFilesChanged) {
		return nil, err
	}
	if err == nil {
		err = cluster.CheckRemovals(w.current.Version, s.Version, s.Program.Files.MaxShare)
	}
	if err != nil {
		return &Configuration{contentHash: contentHash}, err
	}
	return s, nil
}

// logVerdict logs why the files are rejected, each cause once, and only if two polls in a row rejected the same
// contents: a file that is being written is no fault.
func (w *Watcher) logVerdict() {
	if w.verdict.hash != w.lastRejected {
		w.lastRejected = w.verdict.hash
		return
	}
	for _, cause := range strings.Split(w.verdict.err.Error(), "\n") {
		if !w.loggedCauses[cause] && len(w.loggedCauses) < maxLoggedCauses {
			w.loggedCauses[cause] = true
			w.log.Error(filesRejected, "version", w.number, "cause", cause)
		}
	}
}

// reuseUnchanged replaces clusters of a new version by equal ones of the current version, so that their users see by
// identity that nothing changed.
func (w *Watcher) reuseUnchanged(s *Configuration) {
	for name, c := range s.Version.Clusters {
		if old := w.current.Version.Clusters[name]; old != nil && old != c && equalClusters(old, c) {
			s.Version.Clusters[name] = old
		}
	}
}

// equalClusters reports whether requests are served alike by two versions of a cluster.
func equalClusters(old, c *cluster.Config) bool {
	switch {
	case old.AllowEmpty != c.AllowEmpty, len(old.Endpoints) != len(c.Endpoints):
		return false
	case !reflect.DeepEqual(old.Transport, c.Transport), !reflect.DeepEqual(old.Limits, c.Limits):
		return false
	}
	d := cluster.Diff(old, c)
	return d.Empty()
}
