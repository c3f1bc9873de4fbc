package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is what a store has to know: plain records of all requests, without limits.
type model map[Key]*modelRecord

type modelRecord struct {
	entry       *Entry
	fingerprint Fingerprint
	running     bool
	completion  Completion // unless running
	expiresAt   time.Duration
	outcome     int // 0: none
	joiners     int
}

// history drives a store and the model with drawn calls.
type history struct {
	*rapid.T
	limits Limits
	store  *Store
	model  model
	now    time.Duration
}

// TestAgainstModel compares the store with the model on drawn histories: no key runs twice inside its window
// unless it was rejected; the limits are exact after each step; no running entry is evicted; a tenant with few
// entries finds capacity while another floods.
func TestAgainstModel(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "long key"}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Entries: rapid.IntRange(2, 8).Draw(t, "entries"),
			Bytes:   int64(rapid.IntRange(2, 9).Draw(t, "bytes") * EntryOverheadBytes),
			Joiners: rapid.IntRange(0, 2).Draw(t, "joiners"), Tenants: 2,
		}
		h := &history{T: t, limits: limits, store: New(limits), model: model{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 2).Draw(t, "pass"))
			key := Key{rapid.IntRange(0, 1).Draw(t, "tenant"), rapid.SampledFrom(names).Draw(t, "name")}
			r := h.model[key]
			if r != nil && !r.running && r.expiresAt <= h.now {
				delete(h.model, key)
				r = nil
			}
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 && r != nil && r.running {
				h.complete(key, r)
			} else {
				h.begin(key, r)
			}
			h.check()
		}
	})
}

// complete ends the request under a key.
func (h *history) complete(key Key, r *modelRecord) {
	how := Completion(rapid.IntRange(0, 2).Draw(h.T, "how"))
	outcome, size := any(nil), rapid.Int64Range(0, 3*EntryOverheadBytes).Draw(h.T, "size")
	if rapid.Bool().Draw(h.T, "cached") {
		outcome, r.outcome = int(h.now)+1, int(h.now)+1
	}
	h.store.Complete(h.now, r.entry, how, outcome, size)
	h.store.Complete(h.now, r.entry, Answered, 999, 1) // has no effect
	if r.running, r.completion = false, how; how == Rejected || r.expiresAt <= h.now {
		delete(h.model, key)
	}
}

// begin has a request come under a key, of which the model has a record or, if r is nil, none.
func (h *history) begin(key Key, r *modelRecord) {
	fingerprint := Fingerprint{byte(rapid.IntRange(0, 1).Draw(h.T, "fingerprint"))}
	join := rapid.Bool().Draw(h.T, "join")
	window := time.Duration(rapid.IntRange(1, 6).Draw(h.T, "window"))
	v, e, retryAfter := h.store.Begin(h.now, key, fingerprint, window, join)
	switch {
	case r == nil && v == First:
		h.model[key] = &modelRecord{entry: e, fingerprint: fingerprint, running: true, expiresAt: e.expiresAt}
	case r == nil && v == StoreFull:
		if retryAfter < 0 || h.store.Len() == 0 {
			h.Fatalf("full with %d entries, retry after %d", h.store.Len(), retryAfter)
		}
	case r == nil:
		h.Fatalf("a new key gets %d", v)
	case (r.fingerprint != fingerprint) != (v == Mismatch):
		h.Fatalf("fingerprint %v for %v gets %d", fingerprint, r.fingerprint, v)
	case v == Mismatch:
	case r.running && v != Joined && v != InProgress,
		!r.running && r.completion == Answered && v != Replayed,
		!r.running && r.completion == Indeterminate && v != OutcomeUnknown:
		h.Fatalf("running %v, completion %d gets %d", r.running, r.completion, v)
	case v == Joined:
		if r.joiners++; !join || r.joiners > h.limits.Joiners {
			h.Fatalf("joined by %d, allowed %v", r.joiners, join)
		}
		if rapid.Bool().Draw(h.T, "leave") {
			h.store.RemoveJoiner(e)
			r.joiners--
		}
	case v == Replayed && e.Outcome != nil && e.Outcome != r.outcome:
		h.Fatalf("outcome %v, not %d", e.Outcome, r.outcome)
	}
}

// check compares the store's counts with its entries and limits, and its entries with the model.
func (h *history) check() {
	s := h.store
	if s.Len() > h.limits.Entries || s.Bytes() > h.limits.Bytes {
		h.Fatalf("%d entries and %d bytes, over %+v", s.Len(), s.Bytes(), h.limits)
	}
	bytes, tenants := int64(0), map[int]bool{}
	for _, e := range s.entries {
		bytes += e.size
		tenants[e.key.Tenant] = true
	}
	if bytes != s.Bytes() || len(tenants) != len(s.tenants) {
		h.Fatalf("%d bytes counted, the entries have %d", s.Bytes(), bytes)
	}
	for key, r := range h.model {
		if (r.running || r.expiresAt > h.now) && s.entries[key] != r.entry {
			h.Fatalf("%v is not in the store", key)
		}
	}
}

// A repeat that comes in the instant of the first's completion is handled by which of the two is first.
func TestRepeatInTheInstantOfCompletion(t *testing.T) {
	for _, tc := range []struct {
		how    Completion
		before Verdict // of a repeat before the completion
		after  Verdict
	}{{Rejected, Joined, First}, {Answered, Joined, Replayed}, {Indeterminate, Joined, OutcomeUnknown}} {
		for _, repeatFirst := range []bool{true, false} {
			s := New(Limits{Entries: 4, Bytes: 1 << 20, Joiners: 4})
			k := Key{Name: "k"}
			_, e, _ := s.Begin(0, k, Fingerprint{}, 10, true)
			want := tc.after
			if repeatFirst {
				want = tc.before
			} else {
				s.Complete(5, e, tc.how, "outcome", 7)
			}
			if v, _, _ := s.Begin(5, k, Fingerprint{}, 10, true); v != want {
				t.Errorf("completion %d, repeat first %v: %d, not %d", tc.how, repeatFirst, v, want)
			}
			if repeatFirst {
				s.Complete(5, e, tc.how, "outcome", 7)
			}
			if v, _, _ := s.Begin(5, k, Fingerprint{}, 10, true); v != tc.after && repeatFirst {
				t.Errorf("completion %d: %d afterwards", tc.how, v)
			}
		}
	}
}

// A flood by one tenant leaves another its part, never evicts a running entry, and ends with its windows.
func TestFloodLeavesOtherTenantsTheirPart(t *testing.T) {
	s := New(Limits{Entries: 1000, Bytes: 1 << 30, Tenants: 10})
	begin := func(now time.Duration, tenant int, name string) (Verdict, *Entry) {
		v, e, _ := s.Begin(now, Key{tenant, name}, Fingerprint{}, 100, false)
		return v, e
	}
	_, mine := begin(0, 1, "mine")
	flooded := 0
	for i := range 10_000 {
		if v, e := begin(0, 2, string(rune('a'+i))); v == First {
			flooded++
			s.Complete(0, e, Indeterminate, nil, 0)
		}
	}
	if flooded == 0 || flooded > 500 {
		t.Errorf("the flood has %d of 1000 entries", flooded)
	}
	for i := range 300 {
		if v, _ := begin(0, 1, string(rune('a'+i))); v != First {
			t.Fatalf("the other tenant's entry %d: %d", i, v)
		}
	}
	if v, _ := begin(99, 1, "mine"); v != InProgress || mine.state != running {
		t.Errorf("the running entry: %d", v)
	}
	// A clock that stands still, or jumps by hours.
	if v, _ := begin(99, 2, "a"); v != OutcomeUnknown {
		t.Errorf("inside its window: %d", v)
	}
	if v, _ := begin(5*time.Hour, 2, "a"); v != First {
		t.Errorf("after its window: %d", v)
	}
	if v, _ := begin(5*time.Hour, 1, "mine"); v != InProgress {
		t.Errorf("the running entry, after its window: %d", v)
	}
}
