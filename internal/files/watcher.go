package files

import (
	"context"
	"errors"
	"log/slog"
	"reflect"
	"strings"
	"sync/atomic"
	"time"

	"yokestall/internal/cluster"
)

// maxLoggedCauses is the largest number of causes in Watcher.loggedCauses. Further causes are not logged until a version is
// accepted.
const maxLoggedCauses = 1000

// filesRejected is the log event for files that were rejected.
const filesRejected = "configuration files rejected, keeping the last good version"

// fileUnverified is the log event for a file that is valid but not known to be complete.
const fileUnverified = "configuration file not known to be complete, keeping the last good version"

// Watcher follows the files of a configuration. Create it with Open. It must be used by one goroutine at a time.
type Watcher struct {
	path    string // path of the program's file
	log     *slog.Logger
	reader  *reader
	parser  *Parser
	current *Configuration
	number  uint64 // version number of current

	status       atomic.Pointer[Status]
	verdict      verdict         // verdict of the last poll that read files
	lastRejected hash            // verdict.hash at the last logVerdict; zero if the files have been accepted or restored since
	loggedCauses map[string]bool // causes logged since the last accepted version

	notified uint64 // placements.changes at the last poll
	onPoll   func() // called after each poll that the timer caused, for tests; may be nil
}

// Status says what a Watcher has found. It is for metrics.
type Status struct {
	Version         uint64 // number of the version in force
	Rejected        bool   // the files are not those of the version in force, since they are rejected
	UnverifiedFiles int    // number of files that are valid, but rejected as not known to be complete
}

// Status returns the present status. It may be called on any goroutine.
func (w *Watcher) Status() Status { return *w.status.Load() }

// updateStatus sets the status by the verdict.
func (w *Watcher) updateStatus() {
	s := Status{Version: w.number, Rejected: w.verdict.err != nil}
	if err, unverified := errors.AsType[*UnverifiedError](w.verdict.err); unverified {
		s.UnverifiedFiles = len(err.Files)
	}
	w.status.Store(&s)
}

// verdict says what is wrong with the files, as of the last poll that read any of them.
type verdict struct {
	hash hash  // hash of the contents of the files; hash of err's text if not all could be read
	err  error // why the files are rejected; nil: they are not
	// unverified is whether err is an *UnverifiedError.
	unverified bool
}

// Open reads the first version of the configuration whose program's file is at path, and observes its files from then on. It
// returns an error if that version is rejected. The caller has to call Run or Close.
func Open(path string, log *slog.Logger) (*Watcher, *Configuration, error) {
	return open(path, log, newNotifier)
}

func open(path string, log *slog.Logger, newNotifier func() (notifier, error)) (*Watcher, *Configuration, error) {
	r, p := newReader(path), NewParser()
	r.placements = newPlacements(newNotifier, log)
	s, err := load(r, p)
	if err != nil {
		r.placements.close()
		return nil, nil, err
	}
	r.finishScan(true)
	p.end(accepted)
	s.Version.Number = 1
	w := &Watcher{
		path: path, log: log, reader: r, parser: p, current: s, number: 1,
		loggedCauses: map[string]bool{},
	}
	w.updateStatus()
	return w, s, nil
}

// Close ends the observation of the files. Run does it too.
func (w *Watcher) Close() { w.reader.placements.close() }

// Run calls apply with each new version until ctx ends, on the goroutine that called Run. File notification makes it poll
// early. Without notification, the polls at the configured interval find all changes by the stamps and contents of the
// files.
func (w *Watcher) Run(ctx context.Context, apply func(*Configuration)) {
	notifications, stop := w.reader.placements.notify()
	defer stop()
	for {
		reason := awaitWakeup(ctx, notifications, w.current.Program.Files.Poll)
		if reason == wakeupStopped {
			return
		}
		byTimer := reason == wakeupTimer
		if !byTimer && !w.hasNotifications() {
			continue
		}
		if s := w.poll(byTimer); s != nil {
			apply(s)
		}
		if byTimer && w.onPoll != nil {
			w.onPoll()
		}
	}
}

// hasNotifications reports whether changes were notified of since the last poll.
func (w *Watcher) hasNotifications() bool {
	w.reader.placements.update()
	return w.reader.placements.changes != w.notified
}

// wakeup is the reason why awaitWakeup returned.
type wakeup uint8

const (
	wakeupStopped  wakeup = iota // the context has ended; the files are not polled
	wakeupNotified               // changes may have been notified
	wakeupTimer                  // the poll interval has passed
)

// awaitWakeup waits for a notification, the end of the poll interval or the end of ctx.
func awaitWakeup(ctx context.Context, notifications <-chan struct{}, pollInterval time.Duration) wakeup {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return wakeupStopped
	case <-notifications:
		return wakeupNotified
	case <-timer.C:
		return wakeupTimer
	}
}

// poll returns the new version if there is one and it is accepted, else nil. If no file has changed since the last scan, no
// file is read and the verdict stays, unless a file is not known to be complete, which may come to be known. byTimer is false for
// a poll after a notification. Such a poll does not log a rejection, since the notification may come while a file is being
// written.
func (w *Watcher) poll(byTimer bool) *Configuration {
	w.reader.placements.update()
	w.notified = w.reader.placements.changes
	if !w.reader.unchanged() || w.verdict.unverified {
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
	defer w.updateStatus()
	s, err := w.readNext()
	w.reader.finishScan(err == nil)
	switch {
	case err != nil:
		w.parser.end(rejected)
		w.verdict = verdict{hash: hashOf([]byte(err.Error())), err: err}
		_, w.verdict.unverified = errors.AsType[*UnverifiedError](err)
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
		w.reader.accept(v)
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
	if err == nil {
		err = w.reader.verify(v)
	}
	if err != nil {
		return &Configuration{contentHash: contentHash}, err
	}
	w.reader.accept(v)
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
	if err, unverified := errors.AsType[*UnverifiedError](w.verdict.err); unverified {
		w.logUnverified(err.Files)
		return
	}
	for _, cause := range strings.Split(w.verdict.err.Error(), "\n") {
		if w.isNewCause(cause) {
			w.log.Error(filesRejected, "version", w.number, "cause", cause)
		}
	}
}

// logUnverified logs which files are not known to be complete.
func (w *Watcher) logUnverified(list []UnverifiedFile) {
	for _, f := range list {
		if w.isNewCause(f.Path + ": " + f.Reason) {
			w.log.Error(fileUnverified, "version", w.number, "file", f.Path, "reason", f.Reason, "remedy", f.Remedy())
		}
	}
}

// isNewCause records a cause. It reports whether the cause is to be logged.
func (w *Watcher) isNewCause(cause string) bool {
	if w.loggedCauses[cause] || len(w.loggedCauses) >= maxLoggedCauses {
		return false
	}
	w.loggedCauses[cause] = true
	return true
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
