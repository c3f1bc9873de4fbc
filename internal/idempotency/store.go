package idempotency

import (
	"container/heap"
	"time"
)

// Key identifies a request that must not run twice. Equal names of different tenants are different keys.
type Key struct {
	Tenant int
	Name   string
}

// Fingerprint tells requests under one key apart: a digest of method, path, class and body for which clients
// can't choose collisions.
type Fingerprint [16]byte

// Verdict says how a request under a key is handled.
type Verdict uint8

// The verdicts.
const (
	First          Verdict = iota // it runs, and the caller calls Store.Complete
	Joined                        // the first is running, and this request waits for its outcome
	InProgress                    // the first is running, and this request can't wait, or too many do
	Replayed                      // the first was answered, by Entry.Outcome if that is cached
	OutcomeUnknown                // the first may have run
	Mismatch                      // the key belongs to a request with another fingerprint
	StoreFull                     // no capacity for a new key; the request does not run
)

// Completion is how the first request under a key ended.
type Completion uint8

// The completions.
const (
	Rejected      Completion = iota // it has not run
	Answered                        // it has run, and its outcome is known
	Indeterminate                   // it may have run
)

type state uint8

const (
	running state = iota
	answered
	outcomeUnknown
)

// Entry is the state of a key in a Store. Apart from Outcome its fields belong to the store.
type Entry struct {
	// Outcome is the cached outcome of a request that was answered; nil if it is not cached.
	Outcome any

	key         Key
	fingerprint Fingerprint
	state       state
	expiresAt   time.Duration // end of the window
	size        int64         // bytes that count against Limits.Bytes
	joiners     int           // 0 unless running
}

// Store holds the entries of all keys. Create it with New; it is not safe for concurrent use. Times are on any
// clock that does not go back.
type Store struct {
	limits  Limits
	entries map[Key]*Entry
	expiry  expiryQueue
	bytes   int64
	tenants map[int]usage // of tenants that have entries
}

// New makes an empty store.
func New(l Limits) *Store {
	return &Store{limits: l, entries: map[Key]*Entry{}, tenants: map[int]usage{}}
}

// Len gives the number of entries.
func (s *Store) Len() int { return len(s.entries) }

// Bytes gives the bytes that count against Limits.Bytes.
func (s *Store) Bytes() int64 { return s.bytes }

// Begin takes a request under a key. The window is how long the key of a first request is known, from now on;
// join says that the request can wait for one that is running. The entry is nil for InProgress, Mismatch and
// StoreFull. For StoreFull, retryAfter is the time until there may be capacity; 0 if that is not known.
func (s *Store) Begin(
	now time.Duration, key Key, fingerprint Fingerprint, window time.Duration, join bool,
) (v Verdict, e *Entry, retryAfter time.Duration) {
	s.expire(now)
	if e = s.entries[key]; e != nil {
		v, e = s.repeat(e, fingerprint, join)
		return v, e, 0
	}
	e = &Entry{key: key, fingerprint: fingerprint, expiresAt: now + window, size: entryBytes(key)}
	if !s.hasCapacity(s.tenants[key.Tenant], e.size) {
		return StoreFull, nil, s.nextExpiry(now)
	}
	s.add(e)
	return First, e, 0
}

// repeat handles a request whose key has an entry.
func (s *Store) repeat(e *Entry, fingerprint Fingerprint, join bool) (Verdict, *Entry) {
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

// RemoveJoiner takes back a Joined whose request no longer waits.
func (s *Store) RemoveJoiner(e *Entry) {
	if e.joiners > 0 {
		e.joiners--
	}
}

// HasJoiners reports whether requests wait for the outcome of a running entry.
func (s *Store) HasJoiners(e *Entry) bool { return e.joiners > 0 }

// Complete records how the first request under a key ended, and caches its outcome of size bytes if it was
// answered and there is capacity for it. A second call for an entry has no effect.
func (s *Store) Complete(now time.Duration, e *Entry, how Completion, outcome any, size int64) {
	if e.state != running {
		return
	}
	e.joiners = 0
	if how == Rejected || e.expiresAt <= now {
		s.remove(e)
		return
	}
	e.state = outcomeUnknown
	if how == Answered {
		e.state = answered
		s.cache(e, outcome, size)
	}
	heap.Push(&s.expiry, e)
}

// CompleteLate records an answer to a request whose completion was Indeterminate. It reports whether it did: it
// does not if the entry has expired or is answered already.
func (s *Store) CompleteLate(now time.Duration, e *Entry, outcome any, size int64) bool {
	s.expire(now)
	if s.entries[e.key] != e || e.state != outcomeUnknown {
		return false
	}
	e.state = answered
	s.cache(e, outcome, size)
	return true
}

// Restore adds a key that was known before a restart, as answered without an outcome or as one whose outcome is
// unknown. It reports false if there is no capacity for it or the key has an entry already.
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

// cache keeps an outcome of size bytes for repeats if there is capacity for it.
func (s *Store) cache(e *Entry, outcome any, size int64) {
	if outcome == nil || !s.outcomeFits(e.key, size) {
		return
	}
	e.Outcome = outcome
	e.size += size
	s.charge(e.key.Tenant, 0, size)
}

func (s *Store) remove(e *Entry) {
	e.state = outcomeUnknown // a later Complete has no effect
	delete(s.entries, e.key)
	s.charge(e.key.Tenant, -1, -e.size)
}
