package tlskeys

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// maxLoggedCauses limits the causes that are stored as logged. Further causes are not logged while the set in force stays.
const maxLoggedCauses = MaxFiles

// Store holds the set of a directory of keys that is in force, and follows changes of the directory. A handshake uses the set
// in force at its time; a change does not affect open connections. A Store is created with Open. Its TLS configurations and Set
// may be used concurrently with each other and with one call of Run or Reload.
type Store struct {
	folder, defaultPair string
	log                 *slog.Logger
	set                 atomic.Pointer[Set]
	changes             atomic.Uint64
	loggedCauses        map[string]bool // causes that were logged since the set in force was loaded
}

// Open reads a directory of keys. It fails if any file is faulty, since there is no earlier set whose entries could remain in
// use.
func Open(folder, defaultPair string, log *slog.Logger) (*Store, error) {
	s := &Store{folder: folder, defaultPair: defaultPair, log: log, loggedCauses: map[string]bool{}}
	s.set.Store(Empty())
	if fileErrs := s.Reload(time.Now()); len(fileErrs) > 0 {
		return nil, errors.Join(fileErrs...)
	}
	return s, nil
}

// Set returns the set in force.
func (s *Store) Set() *Set { return s.set.Load() }

// Changes returns how many sets have come into force, including the first one unless that is empty.
func (s *Store) Changes() uint64 { return s.changes.Load() }

// Reload reads the directory once and puts the complete entries in force; for a faulty entry the earlier one stays, except
// as described at Update. Reload returns the errors of the faulty files, and logs those that were not logged since the set in
// force was loaded. If the directory can't be read, the set in force stays.
func (s *Store) Reload(now time.Time) []error {
	files, err := readFolder(s.folder)
	if err != nil {
		if cause := err.Error(); s.shouldLog(cause) {
			s.log.Error("the folder of the keys can't be read; the last ones stay", "what", cause)
		}
		return []error{err}
	}
	old := s.Set()
	next, fileErrs := Update(old, files, s.defaultPair, now)
	for _, fileErr := range withFolder(s.folder, fileErrs) {
		if cause := fileErr.Error(); s.shouldLog(cause) {
			s.log.Error("an entry of the keys is not taken; what was there stays", "what", cause)
		}
	}
	if !next.equal(old) {
		s.set.Store(next)
		s.changes.Add(1)
		clear(s.loggedCauses)
		s.log.Info("TLS keys loaded", "folder", s.folder, "certificates", len(next.pairs), "roots", len(next.roots))
	}
	s.logExpiring(now)
	return fileErrs
}

// logExpiring logs the certificates that expire soon, once for each of expiryThresholds.
func (s *Store) logExpiring(now time.Time) {
	for _, e := range s.Set().Expiring(now, expiryWarning) {
		cause := fmt.Sprintf("%s%s, within %s", e.Name, certSuffix, formatDays(e.threshold()))
		if s.shouldLog(cause) {
			s.log.Warn("a certificate is about to end", "what", cause)
		}
	}
}

// shouldLog reports whether a cause is to be logged, and stores it as logged. Each cause is logged once while the set in force
// stays.
func (s *Store) shouldLog(cause string) bool {
	if s.loggedCauses[cause] || len(s.loggedCauses) >= maxLoggedCauses {
		return false
	}
	s.loggedCauses[cause] = true
	return true
}

// Run reloads the directory at the given interval until ctx ends.
func (s *Store) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.Reload(now)
		}
	}
}
