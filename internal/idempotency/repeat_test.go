package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAgainstModel compares the store with plain records of all that was ever asked, on drawn
// histories: no key runs twice inside its window unless it was refused; bounds hold exactly after
// each step; nothing running is forgotten; a tenant that holds little finds room while another floods.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Entries: rapid.IntRange(2, 8).Draw(t, "entries"), Bytes: int64(rapid.IntRange(2, 9).Draw(t, "bytes") * EntryBytes),
			Joiners: rapid.IntRange(0, 2).Draw(t, "joiners"), Tenants: 2,
		}
		type record struct {
			e       *Entry
			print   Print
			running bool
			ended   End
			until   time.Duration
			outcome int // 0: none
			joined  int
		}
		s, now, known := New(limits), time.Duration(0), map[Key]*record{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2).Draw(t, "pass"))
			key := Key{rapid.IntRange(0, 1).Draw(t, "tenant"), rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "long key"}).Draw(t, "name")}
			r := known[key]
			if r != nil && !r.running && (r.until <= now) {
				delete(known, key)
				r = nil
			}
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 && r != nil && r.running {
				how := End(rapid.IntRange(0, 2).Draw(t, "how"))
				outcome, size := any(nil), rapid.Int64Range(0, 3*EntryBytes).Draw(t, "size")
				if rapid.Bool().Draw(t, "kept") {
					outcome, r.outcome = int(now)+1, int(now)+1
				}
				s.End(now, r.e, how, outcome, size)
				s.End(now, r.e, Answered, 999, 1) // once only
				if r.running, r.ended = false, how; how == Refused || r.until <= now {
					delete(known, key)
				}
			} else {
				print, join := Print{byte(rapid.IntRange(0, 1).Draw(t, "print"))}, rapid.Bool().Draw(t, "join")
				v, e, wait := s.Ask(now, key, print, time.Duration(rapid.IntRange(1, 6).Draw(t, "window")), join)
				switch {
				case r == nil && v == First:
					known[key] = &record{e: e, print: print, running: true, until: e.until}
				case r == nil && v == Full:
					if wait < 0 || s.Len() == 0 {
						t.Fatalf("full with %d entries, wait %d", s.Len(), wait)
					}
				case r == nil:
					t.Fatalf("a new key gets %d", v)
				case r.print != print && v != Other, r.print == print && v == Other:
					t.Fatalf("print %v for %v gets %d", print, r.print, v)
				case v == Other:
				case r.running && v != Joined && v != Busy, !r.running && r.ended == Answered && v != Replayed, !r.running && r.ended == Lost && v != Unknown:
					t.Fatalf("running %v, ended %d gets %d", r.running, r.ended, v)
				case v == Joined:
					if r.joined++; !join || r.joined > limits.Joiners {
						t.Fatalf("joined by %d, allowed %v", r.joined, join)
					}
					if rapid.Bool().Draw(t, "leave") {
						s.Leave(e)
						r.joined--
					}
				case v == Replayed && e.Outcome != nil && e.Outcome != r.outcome:
					t.Fatalf("outcome %v, not %d", e.Outcome, r.outcome)
				}
			}
			if s.Len() > limits.Entries || s.Bytes() > limits.Bytes {
				t.Fatalf("%d entries and %d bytes, over %+v", s.Len(), s.Bytes(), limits)
			}
			sum, by := int64(0), map[int]int{}
			for _, e := range s.entries {
				sum += e.size
				by[e.key.Tenant]++
			}
			if sum != s.Bytes() || len(by) != len(s.held) {
				t.Fatalf("%d bytes counted, %d held", s.Bytes(), sum)
			}
			for key, r := range known {
				if (r.running || r.until > now) && s.entries[key] != r.e {
					t.Fatalf("%v is forgotten", key)
				}
			}
		}
	})
}

// Orders of one instant: a repeat that comes as the first one ends gets what stands at its turn.
// A flood by one tenant leaves another its part, and never costs a running entry.
func TestInstantsAndFloods(t *testing.T) {
	for _, tc := range []struct {
		how    End
		before Verdict // asked before the end
		after  Verdict
	}{{Refused, Joined, First}, {Answered, Joined, Replayed}, {Lost, Joined, Unknown}} {
		for _, first := range []bool{true, false} {
			s := New(Limits{Entries: 4, Bytes: 1 << 20, Joiners: 4})
			k := Key{Name: "k"}
			_, e, _ := s.Ask(0, k, Print{}, 10, true)
			want := tc.after
			if first {
				want = tc.before
			} else {
				s.End(5, e, tc.how, "outcome", 7)
			}
			if v, _, _ := s.Ask(5, k, Print{}, 10, true); v != want {
				t.Errorf("end %d, asked first %v: %d, not %d", tc.how, first, v, want)
			}
			if first {
				s.End(5, e, tc.how, "outcome", 7)
			}
			if v, _, _ := s.Ask(5, k, Print{}, 10, true); v != tc.after && first {
				t.Errorf("end %d: %d afterwards", tc.how, v)
			}
		}
	}
	s := New(Limits{Entries: 1000, Bytes: 1 << 30, Tenants: 10})
	_, mine, _ := s.Ask(0, Key{1, "mine"}, Print{}, 100, false)
	flooded := 0
	for i := range 10_000 {
		if v, e, _ := s.Ask(0, Key{2, string(rune('a' + i))}, Print{}, 100, false); v == First {
			flooded++
			s.End(0, e, Lost, nil, 0)
		}
	}
	if flooded == 0 || flooded > 500 {
		t.Errorf("the flood holds %d of 1000", flooded)
	}
	for i := range 300 {
		if v, _, _ := s.Ask(0, Key{1, string(rune('a' + i))}, Print{}, 100, false); v != First {
			t.Fatalf("the other tenant's entry %d: %d", i, v)
		}
	}
	if v, _, _ := s.Ask(99, Key{1, "mine"}, Print{}, 100, false); v != Busy || mine.state != Joined {
		t.Errorf("what runs: %d", v)
	}
	// A clock that stands still, or jumps by hours.
	if v, _, _ := s.Ask(99, Key{2, "a"}, Print{}, 100, false); v != Unknown {
		t.Errorf("inside its window: %d", v)
	}
	if v, _, _ := s.Ask(5*time.Hour, Key{2, "a"}, Print{}, 100, false); v != First {
		t.Errorf("after it: %d", v)
	}
	if v, _, _ := s.Ask(5*time.Hour, Key{1, "mine"}, Print{}, 100, false); v != Busy {
		t.Errorf("what runs, after its window: %d", v)
	}
}
