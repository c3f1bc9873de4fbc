// Package idempotency recognises requests that come again under a key: while the first one runs, and
// for a window after. It is pure: time is passed in, and nobody is waited for.
//
//	state     means                                         a request under the key gets
//	(none)    nothing is known                              First: it runs
//	running   the first one is open                         Joined, Busy, or Other
//	answered  it was served, and its outcome may be kept    Replayed, or Other
//	unknown   it may have run, and no outcome is known      Unknown, or Other
//
// A request that was refused never ran: its key is forgotten at once. What is running is never
// forgotten, what is known is not before its window ends: if there is no room, a new key is
// refused, which does no harm.
package idempotency

import (
	"container/heap"
	"time"
)

// Limits bound a Store; they are held exactly.
type Limits struct {
	Entries int   // 1 or more
	Bytes   int64 // of keys and kept outcomes, EntryBytes for each entry included
	Joiners int   // of one entry
	// Tenants is how many there may be. With more than one, a tenant that floods the store leaves
	// the others their parts: it holds at most its share of the tenants that hold any, and one more.
	Tenants int
}

// EntryBytes is what an entry counts for besides its key and outcome.
const EntryBytes = 256

// Key names what must not happen twice. Keys of one tenant have nothing to do with another's.
type Key struct {
	Tenant int
	Name   string
}

// Print tells requests under one key from one another: a digest of method, path, class and body
// that the caller's clients can't choose collisions for.
type Print [16]byte

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	First    Verdict = iota // it runs; End has to be told
	Joined                  // the first runs, and this one gets its outcome
	Busy                    // the first runs, and no more may join, or none
	Replayed                // the first was served: Entry.Outcome, nil if it is not kept
	Unknown                 // the first may have run
	Other                   // the key stands for another request
	Full                    // no room; nothing runs
)

// End is how the first request under a key ended.
type End uint8

// The ends.
const (
	Refused  End = iota // never ran
	Answered            // served
	Lost                // may have run
)

// Entry is a key's. Its fields are the store's.
type Entry struct {
	Outcome any // once answered; nil: not kept
	key     Key
	print   Print
	state   Verdict // Joined while it runs, Replayed, Unknown
	until   time.Duration
	size    int64
	joined  int
}

// Store holds entries. Create it with New; it is not for concurrent use.
type Store struct {
	limits  Limits
	entries map[Key]*Entry
	ended   ends
	bytes   int64
	held    map[int]*part // by tenant
}

type part struct {
	entries int
	bytes   int64
}

// New makes an empty store.
func New(l Limits) *Store {
	return &Store{limits: l, entries: map[Key]*Entry{}, held: map[int]*part{}}
}

// Len and Bytes give what the store holds.
func (s *Store) Len() int { return len(s.entries) }

// Bytes gives the bytes that count against Limits.Bytes.
func (s *Store) Bytes() int64 { return s.bytes }

// Ask takes a request under a key; window is for how long what comes of it is known, from now;
// join: it may wait for one that runs. For Full, wait is when there is room again at the earliest;
// 0: that is not known.
func (s *Store) Ask(now time.Duration, key Key, print Print, window time.Duration, join bool) (v Verdict, e *Entry, wait time.Duration) {
	s.expire(now)
	if e = s.entries[key]; e != nil {
		switch {
		case e.print != print:
			return Other, nil, 0
		case e.state == Joined && (!join || e.joined >= s.limits.Joiners):
			return Busy, nil, 0
		case e.state == Joined:
			e.joined++
		}
		return e.state, e, 0
	}
	e = &Entry{key: key, print: print, state: Joined, until: now + window, size: int64(len(key.Name)) + EntryBytes}
	p := s.held[key.Tenant]
	if p == nil {
		p = &part{}
	}
	if len(s.entries) >= s.limits.Entries || s.bytes+e.size > s.limits.Bytes || !s.fair(p, e.size) {
		if len(s.ended) > 0 {
			wait = s.ended[0].until - now
		}
		return Full, nil, wait
	}
	s.entries[key] = e
	s.held[key.Tenant] = p
	s.count(e, 1, e.size)
	return First, e, 0
}

// Late tells what became at last of a request whose End was Lost; false if its key is not known any
// more, or an outcome of it is.
func (s *Store) Late(now time.Duration, e *Entry, outcome any, size int64) bool {
	s.expire(now)
	if s.entries[e.key] != e || e.state != Unknown {
		return false
	}
	e.state = Replayed
	s.keep(e, outcome, size)
	return true
}

// keep takes an outcome up if there is room for it.
func (s *Store) keep(e *Entry, outcome any, size int64) {
	p := s.held[e.key.Tenant]
	if outcome != nil && s.bytes+size <= s.limits.Bytes && (s.limits.Tenants <= 1 || p.bytes+size <= s.limits.Bytes/int64(len(s.held)+1)) {
		e.Outcome, e.size = outcome, e.size+size
		s.count(e, 0, size)
	}
}

// Restore takes up what was known of a key before a restart: that it was answered, with no outcome, or
// that it may have run. False if there is no room for it, or its key is there already.
func (s *Store) Restore(key Key, print Print, answered bool, until time.Duration) bool {
	size := int64(len(key.Name)) + EntryBytes
	if s.entries[key] != nil || len(s.entries) >= s.limits.Entries || s.bytes+size > s.limits.Bytes {
		return false
	}
	e := &Entry{key: key, print: print, state: Unknown, until: until, size: size}
	if answered {
		e.state = Replayed
	}
	if s.held[key.Tenant] == nil {
		s.held[key.Tenant] = &part{}
	}
	s.entries[key] = e
	s.count(e, 1, size)
	heap.Push(&s.ended, e)
	return true
}

// fair tells whether a tenant may hold one more entry of a size.
func (s *Store) fair(p *part, size int64) bool {
	if s.limits.Tenants <= 1 {
		return true
	}
	n := len(s.held) + 1 // one who holds nothing yet finds room whatever the others do
	if p.entries == 0 {
		n++
	}
	return p.entries < max(1, s.limits.Entries/n) && (p.entries == 0 || p.bytes+size <= s.limits.Bytes/int64(n))
}

func (s *Store) count(e *Entry, entries int, bytes int64) {
	p := s.held[e.key.Tenant]
	p.entries += entries
	p.bytes += bytes
	s.bytes += bytes
	if p.entries == 0 {
		delete(s.held, e.key.Tenant)
	}
}

// Leave takes back a Joined.
func (s *Store) Leave(e *Entry) {
	if e.joined > 0 {
		e.joined--
	}
}

// Waited tells whether others have joined.
func (s *Store) Waited(e *Entry) bool { return e.joined > 0 }

// End tells what became of the First request under a key, and of size bytes that its outcome
// takes. An outcome for which there is no room is not kept: the entry says that the request was
// answered, and no more.
func (s *Store) End(now time.Duration, e *Entry, how End, outcome any, size int64) {
	if e.state != Joined {
		return // it has ended already
	}
	e.joined = 0
	switch {
	case how == Refused || e.until <= now:
		s.drop(e)
		return
	case how == Lost:
		e.state = Unknown
	default:
		e.state = Replayed
		s.keep(e, outcome, size)
	}
	heap.Push(&s.ended, e)
}

func (s *Store) drop(e *Entry) {
	e.state = Unknown // of no entry any more
	delete(s.entries, e.key)
	s.count(e, -1, -e.size)
}

// expire forgets what has ended and whose window is over.
func (s *Store) expire(now time.Duration) {
	for len(s.ended) > 0 && s.ended[0].until <= now {
		s.drop(heap.Pop(&s.ended).(*Entry))
	}
}

// ends is a heap of ended entries by the end of their windows.
type ends []*Entry

func (d ends) Len() int           { return len(d) }
func (d ends) Less(i, j int) bool { return d[i].until < d[j].until }
func (d ends) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *ends) Push(x any) { *d = append(*d, x.(*Entry)) }

// Pop implements heap.Interface.
func (d *ends) Pop() any {
	last := len(*d) - 1
	e := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return e
}
