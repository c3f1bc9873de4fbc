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

// maxLoggedCauses is the largest number of causes in Watcher.loggedCauses. Further causes are not logged until a version is
// accepted.
const maxLoggedCauses = 1000

// filesRejected is the log event for files that were rejected.
const filesRejected = "configuration files rejected, keeping the last good version"

// Watcher follows the files of a configuration. Create it with Open. It must be used by one goroutine at a time.
type Watcher struct {
	path    string // path of the program's file
	log     *slog.Logger
	reader  *reader
	parser  *Parser
	current *Configuration
	number  uint64 // version number of current

	verdict      verdict         // verdict of the last poll that read files
	lastRejected hash            // verdict.hash at the last logVerdict; zero if the files have been accepted or restored since
	loggedCauses map[string]bool // causes logged since the last accepted version

	newNotifier func() (*notifier, error)
	onPoll      func() // called after each poll that the timer caused, for tests; may be nil
}

// verdict says what is wrong with the files, as of the last poll that read any of them.
type verdict struct {
	hash hash  // hash of the contents of the files; hash of err's text if not all could be read
	err  error // why the files are rejected; nil: they are not
}

// Open reads the first version of the configuration whose program's file is at path. It returns an error if that version
// is rejected.
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

// Run calls apply with each new version until ctx ends, on the goroutine that called Run. File notification makes it poll
// early. Without notification, the polls at the configured interval find all changes by the stamps and contents of the
// files.
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
				notifier.add(folder) // after an error, polling finds the changes
			}
			watched = folders
		}
	}
}

// startNotifier returns a notifier of the present folders, or a notifier without events if notification is unavailable.
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

// wakeup is the reason why awaitWakeup returned.
type wakeup uint8

const (
	wakeupStopped  wakeup = iota // the context has ended; the files are not polled
	wakeupNotified               // a change was notified, or the notifier reported an error such as lost events
	wakeupTimer                  // the poll interval has passed
)

// awaitWakeup waits for a notification, the end of the poll interval or the end of ctx.
func awaitWakeup(ctx context.Context, n *notifier, pollInterval time.Duration) wakeup {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return wakeupStopped
	case <-n.events:
		return wakeupNotified
	case <-n.errs:
		return wakeupNotified
	case <-timer.C:
		return wakeupTimer
	}
}

// folders returns the folders that contain files of the current version.
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

// poll returns the new version if there is one and it is accepted, else nil. If no file has changed since the last scan, no
// file is read and the verdict stays. byTimer is false for a poll after a notification. Such a poll does not log a
// rejection, since the notification may come while a file is being written.
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

// read reads the files that changed. It returns the new version if there is one and it is accepted. Otherwise it sets the
// verdict and returns nil.
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

// readNext reads the files. It returns neither a configuration nor an error if their contents are those of the current
// version. A configuration that is returned with an error has only the hash of the rejected contents.
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
		err = errors.Join(
			cluster.CheckRemovals(w.current.Version, s.Version, s.Program.Files.MaxShare), w.checkRoutesRemain(s))
	}
	if err != nil {
		return &Configuration{contentHash: contentHash}, err
	}
	return s, nil
}

// checkRoutesRemain returns a *cluster.Problem if a version has no routes and the one in force has some. That happens while the
// file in xDS form that has them is removed to be created anew.
func (w *Watcher) checkRoutesRemain(s *Configuration) error {
	if w.current.Program.Table == nil || s.Program.Table != nil || len(s.Program.XDS.Servers) > 0 {
		return nil
	}
	return &cluster.Problem{Source: w.path, Text: "no file has routes any more"}
}

// logVerdict logs why the files are rejected, each cause once. It logs only if two polls by the timer in a row rejected the
// same contents, since contents that are rejected once may be those of a file that is being written.
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

// reuseUnchanged replaces clusters of a new version by equal clusters of the current version. A user of a cluster then sees
// that it is unchanged by comparing pointers.
func (w *Watcher) reuseUnchanged(s *Configuration) {
	for name, c := range s.Version.Clusters {
		if old := w.current.Version.Clusters[name]; old != nil && old != c && equalClusters(old, c) {
			s.Version.Clusters[name] = old
		}
	}
}

// equalClusters reports whether two versions of a cluster serve requests in the same way.
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
