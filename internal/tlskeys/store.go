package tlskeys

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// maxLoggedCauses bounds the causes that are remembered as logged. Further ones are not logged.
const maxLoggedCauses = MaxFiles

// Store follows a folder. A handshake uses the set in force at its time; open connections are not affected by a
// change. Create it with Open. Its configurations and Set may be used concurrently with one call of Run or Reload.
type Store struct {
	folder, defaultPair string
	log                 *slog.Logger
	set                 atomic.Pointer[Set]
	changes             atomic.Uint64
	loggedCauses        map[string]bool // causes logged since the set in force was loaded
}

// Open reads a folder. Any fault is an error, since there is no earlier set whose entries could stay.
func Open(folder, defaultPair string, log *slog.Logger) (*Store, error) {
	s := &Store{folder: folder, defaultPair: defaultPair, log: log, loggedCauses: map[string]bool{}}
	s.set.Store(Empty())
	if faults := s.Reload(time.Now()); len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return s, nil
}

// Set returns the set in force.
func (s *Store) Set() *Set { return s.set.Load() }

// Changes returns how many sets have come into force.
func (s *Store) Changes() uint64 { return s.changes.Load() }

// Reload reads the folder once and puts its complete entries in force. It returns the faults, and logs new ones.
func (s *Store) Reload(now time.Time) []error {
	files, err := readFolder(s.folder)
	if err != nil {
		if cause := err.Error(); s.shouldLog(cause) {
			s.log.Error("the folder of the keys can't be read; the last ones stay", "what", cause)
		}
		return []error{err}
	}
	old := s.Set()
	next, faults := Update(old, files, s.defaultPair, now)
	for _, fault := range withFolder(s.folder, faults) {
		if cause := fault.Error(); s.shouldLog(cause) {
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
	return faults
}

// logExpiring logs the certificates that are about to end, once for each of expirySteps.
func (s *Store) logExpiring(now time.Time) {
	for _, e := range s.Set().Expiring(now, expiryWarning) {
		cause := fmt.Sprintf("%s%s, within %s", e.Name, certSuffix, formatDays(e.threshold()))
		if s.shouldLog(cause) {
			s.log.Warn("a certificate is about to end", "what", cause)
		}
	}
}

// shouldLog reports whether a cause is to be logged: once for as long as the set in force stays.
func (s *Store) shouldLog(cause string) bool {
	if s.loggedCauses[cause] || len(s.loggedCauses) >= maxLoggedCauses {
		return false
	}
	s.loggedCauses[cause] = true
	return true
}

// Run reloads the folder at an interval until ctx ends.
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
