package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is the reference for a Store: a record for each key, without limits.
type model map[Key]*modelRecord

// modelRecord is what the model knows of the first request under a key.
type modelRecord struct {
	entry       *Entry
	fingerprint Fingerprint
	running     bool
	completion  Completion // set when the request has ended
	expiresAt   time.Duration
	outcome     int // 0 means that none was given to Complete
	joiners     int
}

// modelTest applies random calls to a store and to the model.
type modelTest struct {
	*rapid.T
	limits Limits
	store  *Store
	model  model
	now    time.Duration
}

// Compares a store with the model over random sequences of calls. Guards against a key whose request runs twice within its
// window without having been rejected, against exceeded limits and wrong sizes after any call, and against the eviction
// of a running entry.
func TestAgainstModel(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "long key"}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Entries: rapid.IntRange(2, 8).Draw(t, "entries"),
			Bytes:   int64(rapid.IntRange(2, 9).Draw(t, "bytes") * EntryOverheadBytes),
			Joiners: rapid.IntRange(0, 2).Draw(t, "joiners"), Tenants: 2,
		}
		h := &modelTest{T: t, limits: limits, store: New(limits), model: model{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 2).Draw(t, "elapsed"))
			key := Key{rapid.IntRange(0, 1).Draw(t, "tenant"), rapid.SampledFrom(names).Draw(t, "name")}
			r := h.model[key]
			if r != nil && !r.running && r.expiresAt <= h.now {
				delete(h.model, key)
				r = nil
			}
			if rapid.IntRange(0, 2).Draw(t, "operation") == 0 && r != nil && r.running {
				h.complete(key, r)
			} else {
				h.begin(key, r)
			}
			h.check()
		}
	})
}

// complete ends the first request under a key with a random completion and outcome.
func (h *modelTest) complete(key Key, r *modelRecord) {
	completion := Completion(rapid.IntRange(0, 2).Draw(h.T, "completion"))
	outcome, size := any(nil), rapid.Int64Range(0, 3*EntryOverheadBytes).Draw(h.T, "size")
	if rapid.Bool().Draw(h.T, "cached") {
		outcome, r.outcome = int(h.now)+1, int(h.now)+1
	}
	h.store.Complete(h.now, r.entry, completion, outcome, size)
	h.store.Complete(h.now, r.entry, Answered, 999, 1) // a second call must have no effect
	if r.running, r.completion = false, completion; completion == Rejected || r.expiresAt <= h.now {
		delete(h.model, key)
	}
}

// begin submits a random request under a key and compares the verdict with the model's record r, which is nil if the model
// has none for the key.
func (h *modelTest) begin(key Key, r *modelRecord) {
	fingerprint := Fingerprint{byte(rapid.IntRange(0, 1).Draw(h.T, "fingerprint"))}
	join := rapid.Bool().Draw(h.T, "join")
	window := time.Duration(rapid.IntRange(1, 6).Draw(h.T, "window"))
	v, e, retryAfter := h.store.Begin(h.now, key, fingerprint, window, join)
	switch {
	case r == nil && v == First:
		h.model[key] = &modelRecord{entry: e, fingerprint: fingerprint, running: true, expiresAt: e.expiresAt}
	case r == nil && v == StoreFull:
		if retryAfter < 0 || h.store.Len() == 0 {
			h.Fatalf("got StoreFull with %d entries and retryAfter %d, want some entries and retryAfter >= 0", h.store.Len(), retryAfter)
		}
	case r == nil:
		h.Fatalf("a new key got verdict %d, want First or StoreFull", v)
	case (r.fingerprint != fingerprint) != (v == Mismatch):
		h.Fatalf("fingerprint %v for an entry with %v got verdict %d; want Mismatch only if they differ", fingerprint, r.fingerprint, v)
	case v == Mismatch:
	case r.running && v != Joined && v != InProgress,
		!r.running && r.completion == Answered && v != Replayed,
		!r.running && r.completion == Indeterminate && v != OutcomeUnknown:
		h.Fatalf("a key with running %v and completion %d got the wrong verdict %d", r.running, r.completion, v)
	case v == Joined:
		if r.joiners++; !join || r.joiners > h.limits.Joiners {
			h.Fatalf("Joined with %d joiners and join %v, want join true and at most Limits.Joiners", r.joiners, join)
		}
		if rapid.Bool().Draw(h.T, "joiner leaves") {
			h.store.RemoveJoiner(e)
			r.joiners--
		}
	case v == Replayed && e.Outcome != nil && e.Outcome != r.outcome:
		h.Fatalf("got cached outcome %v, want %d", e.Outcome, r.outcome)
	}
}

// check compares the store's sizes with its limits and its entries, and its entries with the model's records.
func (h *modelTest) check() {
	s := h.store
	if s.Len() > h.limits.Entries || s.Bytes() > h.limits.Bytes {
		h.Fatalf("store has %d entries and %d bytes, more than its limits %+v", s.Len(), s.Bytes(), h.limits)
	}
	bytes, tenants := int64(0), map[int]bool{}
	for _, e := range s.entries {
		bytes += e.size
		tenants[e.key.Tenant] = true
	}
	if bytes != s.Bytes() || len(tenants) != len(s.tenants) {
		h.Fatalf("Bytes() = %d, but the entries have %d bytes; or the numbers of tenants differ", s.Bytes(), bytes)
	}
	for key, r := range h.model {
		if (r.running || r.expiresAt > h.now) && s.entries[key] != r.entry {
			h.Fatalf("key %v is running or within its window, but its entry is not in the store", key)
		}
	}
}

// Guards against a wrong verdict on a repeated request that arrives at the same time as the completion of the first request.
// The verdict depends on which of the two calls the store sees first.
func TestRepeatInTheInstantOfCompletion(t *testing.T) {
	for _, tc := range []struct {
		completion Completion
		before     Verdict // on a repeated request that precedes the completion
		after      Verdict // on a repeated request that follows the completion
	}{{Rejected, Joined, First}, {Answered, Joined, Replayed}, {Indeterminate, Joined, OutcomeUnknown}} {
		for _, repeatFirst := range []bool{true, false} {
			s := New(Limits{Entries: 4, Bytes: 1 << 20, Joiners: 4})
			k := Key{Name: "k"}
			_, e, _ := s.Begin(0, k, Fingerprint{}, 10, true)
			want := tc.after
			if repeatFirst {
				want = tc.before
			} else {
				s.Complete(5, e, tc.completion, "outcome", 7)
			}
			if v, _, _ := s.Begin(5, k, Fingerprint{}, 10, true); v != want {
				t.Errorf("completion %d, repeat first %v: got verdict %d, want %d", tc.completion, repeatFirst, v, want)
			}
			if repeatFirst {
				s.Complete(5, e, tc.completion, "outcome", 7)
			}
			if v, _, _ := s.Begin(5, k, Fingerprint{}, 10, true); v != tc.after && repeatFirst {
				t.Errorf("completion %d: got verdict %d after the completion, want that of the table", tc.completion, v)
			}
		}
	}
}

// Guards against one tenant's flood of new keys taking the share of another tenant or evicting a running entry, and against
// the flood's entries outliving their windows.
func TestFloodLeavesOtherTenantsTheirPart(t *testing.T) {
	s := New(Limits{Entries: 1000, Bytes: 1 << 30, Tenants: 10})
	begin := func(now time.Duration, tenant int, name string) (Verdict, *Entry) {
		v, e, _ := s.Begin(now, Key{tenant, name}, Fingerprint{}, 100, false)
		return v, e
	}
	_, runningEntry := begin(0, 1, "mine")
	flooded := 0
	for i := range 10_000 {
		if v, e := begin(0, 2, string(rune('a'+i))); v == First {
			flooded++
			s.Complete(0, e, Indeterminate, nil, 0)
		}
	}
	if flooded == 0 || flooded > 500 {
		t.Errorf("the flooding tenant got %d of 1000 entries, want 1 to 500", flooded)
	}
	for i := range 300 {
		if v, _ := begin(0, 1, string(rune('a'+i))); v != First {
			t.Fatalf("new key %d of the other tenant: got verdict %d, want First", i, v)
		}
	}
	if v, _ := begin(99, 1, "mine"); v != InProgress || runningEntry.state != running {
		t.Errorf("running entry within its window: got verdict %d, want InProgress", v)
	}
	// The clock stands still, and then jumps forward by hours.
	if v, _ := begin(99, 2, "a"); v != OutcomeUnknown {
		t.Errorf("completed key within its window: got verdict %d, want OutcomeUnknown", v)
	}
	if v, _ := begin(5*time.Hour, 2, "a"); v != First {
		t.Errorf("completed key after its window: got verdict %d, want First", v)
	}
	if v, _ := begin(5*time.Hour, 1, "mine"); v != InProgress {
		t.Errorf("running entry after its window: got verdict %d, want InProgress", v)
	}
}
