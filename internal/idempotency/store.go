package idempotency

import (
	"container/heap"
	"time"
)

// Key identifies a request that must not run twice. The same name under two tenants makes two different keys.
type Key struct {
	Tenant int
	Name   string
}

// Fingerprint is a digest of a request's class, method, target, host and body, by which different requests under one key
// are distinguished. Package replay computes it with a hash for which clients can't construct collisions.
type Fingerprint [16]byte

// Verdict is the decision on how to handle a request under a key.
type Verdict uint8

// The verdicts.
const (
	First          Verdict = iota // the key is new: the request runs, and the caller calls Store.Complete at its end
	Joined                        // the first request is running, and this request waits for its outcome
	InProgress                    // the first request is running; this one can't wait, or Limits.Joiners is reached
	Replayed                      // the first request was answered; Entry.Outcome is its outcome, or nil if not cached
	OutcomeUnknown                // the first request may have run, and its outcome is unknown
	Mismatch                      // the first request under the key has another fingerprint
	StoreFull                     // the store has no capacity for a new key; the request does not run
)

// Completion is the way in which the first request under a key ended.
type Completion uint8

// The completions.
const (
	Rejected      Completion = iota // the request has not run
	Answered                        // the request has run, and its outcome is known
	Indeterminate                   // the request may have run, and its outcome is unknown
)

type state uint8

const (
	running state = iota
	answered
	outcomeUnknown
)

// Entry is the state of a key in a Store. Callers hand it back to the store's methods and read only Outcome.
type Entry struct {
	// Outcome is the cached outcome of a request that was answered; nil means that none is cached.
	Outcome any

	key         Key
	fingerprint Fingerprint
	state       state
	expiresAt   time.Duration // end of the deduplication window
	size        int64         // bytes that count against Limits.Bytes
	joiners     int           // requests that wait for the outcome; 0 unless the state is running
}

// Store holds the entries of all keys. Create it with New. A Store is not safe for concurrent use. The times passed to its
// methods are readings of one clock that never goes back.
type Store struct {
	limits  Limits
	entries map[Key]*Entry
	expiry  expiryQueue
	bytes   int64         // size of all entries
	tenants map[int]usage // by tenant; only tenants that have entries
}

// New returns an empty store.
func New(l Limits) *Store {
	return &Store{limits: l, entries: map[Key]*Entry{}, tenants: map[int]usage{}}
}

// Len returns the number of entries.
func (s *Store) Len() int { return len(s.entries) }

// Bytes returns the size of all entries, as it counts against Limits.Bytes.
func (s *Store) Bytes() int64 { return s.bytes }

// Begin decides how to handle a request under a key. If the key is new, its deduplication window starts now and lasts for
// window. join says that the request can wait for the outcome of a running request. The entry is nil for the verdicts
// InProgress, Mismatch and StoreFull. For StoreFull, retryAfter is the time until there may be capacity, or 0 if that time
// is unknown; for other verdicts it is 0.
func (s *Store) Begin(
	now time.Duration, key Key, fingerprint Fingerprint, window time.Duration, join bool,
) (v Verdict, e *Entry, retryAfter time.Duration) {
	s.expire(now)
	if e = s.entries[key]; e != nil {
		v, e = s.handleRepeat(e, fingerprint, join)
		return v, e, 0
	}
	e = &Entry{key: key, fingerprint: fingerprint, expiresAt: now + window, size: entryBytes(key)}
	if !s.hasCapacity(s.tenants[key.Tenant], e.size) {
		return StoreFull, nil, s.nextExpiry(now)
	}
	s.add(e)
	return First, e, 0
}

// handleRepeat decides on a request whose key has the entry e, and adds the request to the joiners if it may wait.
func (s *Store) handleRepeat(e *Entry, fingerprint Fingerprint, join bool) (Verdict, *Entry) {
	switch {
	case e.fingerprint != fingerprint:
		return Mismatch, nil
	case e.state == answered:
		return Replayed, e
	case e.state == outcomeUnknown:
		return OutcomeUnknown, e
	case !join || e.joiners >= s.limits.Joiners:
		return InProgress, nil
	}
	e.joiners++
	return Joined, e
}

// RemoveJoiner tells the store that a request with the verdict Joined no longer waits.
func (s *Store) RemoveJoiner(e *Entry) {
	if e.joiners > 0 {
		e.joiners--
	}
}

// HasJoiners reports whether any requests wait for the outcome of a running entry.
func (s *Store) HasJoiners(e *Entry) bool { return e.joiners > 0 }

// Complete records how the first request under a key ended. For Answered it caches the outcome, of size bytes, if the
// limits allow that. The entry is removed if the request was rejected or the key's window has ended. A second call for an
// entry has no effect.
func (s *Store) Complete(now time.Duration, e *Entry, completion Completion, outcome any, size int64) {
	if e.state != running {
		return
	}
	e.joiners = 0
	if completion == Rejected || e.expiresAt <= now {
		s.remove(e)
		return
	}
	e.state = outcomeUnknown
	if completion == Answered {
		e.state = answered
		s.cache(e, outcome, size)
	}
	heap.Push(&s.expiry, e)
}

// CompleteLate records an answer to a request whose completion was Indeterminate, and caches the outcome as Complete does.
// It reports whether it recorded the answer, which it does not if the entry has expired or has an answer already.
func (s *Store) CompleteLate(now time.Duration, e *Entry, outcome any, size int64) bool {
	s.expire(now)
	if s.entries[e.key] != e || e.state != outcomeUnknown {
		return false
	}
	e.state = answered
	s.cache(e, outcome, size)
	return true
}

// Restore adds the entry of a key that was known before a restart: as answered, without a cached outcome, if wasAnswered
// is set, and otherwise as one whose outcome is unknown. It reports false if the key has an entry already, or if Entries
// or Bytes of the limits would be exceeded; the equal shares of tenants do not apply.
func (s *Store) Restore(key Key, fingerprint Fingerprint, wasAnswered bool, expiresAt time.Duration) bool {
	size := entryBytes(key)
	if s.entries[key] != nil || len(s.entries) >= s.limits.Entries || s.bytes+size > s.limits.Bytes {
		return false
	}
	e := &Entry{key: key, fingerprint: fingerprint, state: outcomeUnknown, expiresAt: expiresAt, size: size}
	if wasAnswered {
		e.state = answered
	}
	s.add(e)
	heap.Push(&s.expiry, e)
	return true
}

func (s *Store) add(e *Entry) {
	s.entries[e.key] = e
	s.charge(e.key.Tenant, 1, e.size)
}

// cache keeps an outcome of size bytes for repeated requests if the limits allow that.
func (s *Store) cache(e *Entry, outcome any, size int64) {
	if outcome == nil || !s.outcomeFits(e.key, size) {
		return
	}
	e.Outcome = outcome
	e.size += size
	s.charge(e.key.Tenant, 0, size)
}

func (s *Store) remove(e *Entry) {
	e.state = outcomeUnknown // not running, so that a later Complete has no effect
	delete(s.entries, e.key)
	s.charge(e.key.Tenant, -1, -e.size)
}
