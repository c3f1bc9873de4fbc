package idempotency

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// Each line of the table in docs/repeats.md, on a store of its own; and no line is missing.
func TestTransitions(t *testing.T) {
	text, err := os.ReadFile("../../docs/repeats.md")
	if err != nil {
		t.Fatal(err)
	}
	const window = time.Minute
	verdicts := map[string]Verdict{"First": First, "Joined": Joined, "Busy": Busy, "Replayed": Replayed, "Unknown": Unknown, "Other": Other}
	key := Key{Name: "k"}
	print, another := Print{1}, Print{2}
	// reach brings a key into a state.
	reach := func(state string) (*Store, *Entry) {
		s := New(Limits{Entries: 4, Bytes: 1 << 20, Joiners: 4, Tenants: 1})
		if state == "none" {
			return s, nil
		}
		_, e, _ := s.Ask(0, key, print, window, true)
		switch state {
		case "running":
		case "kept":
			s.End(0, e, Answered, "outcome", 7)
		case "answered":
			s.End(0, e, Answered, nil, 0)
		case "unknown":
			s.End(0, e, Lost, nil, 0)
		default:
			t.Fatalf("unknown state %q", state)
		}
		return s, e
	}
	// is tells a key's state by what a request gets.
	is := func(s *Store, now time.Duration) string {
		switch v, e, _ := s.Ask(now, key, print, window, true); {
		case v == First:
			return "none"
		case v == Joined:
			return "running"
		case v == Replayed && e.Outcome != nil:
			return "kept"
		case v == Replayed:
			return "answered"
		case v == Unknown:
			return "unknown"
		default:
			return fmt.Sprint("verdict ", v)
		}
	}
	seen := map[string]bool{}
	in := false
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 4 {
			in = false
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if cells[0] == "a key is" {
			in = true
			continue
		}
		if !in || cells[0] == "---" {
			continue
		}
		before, event, gets, after := cells[0], cells[1], cells[2], cells[3]
		seen[before+"/"+event] = true
		s, e := reach(before)
		now := time.Duration(0)
		got := Verdict(255)
		switch event {
		case "asks":
			got, _, _ = s.Ask(now, key, print, window, true)
		case "asks, not to wait":
			got, _, _ = s.Ask(now, key, print, window, false)
		case "asks for another":
			got, _, _ = s.Ask(now, key, another, window, true)
			if before == "none" {
				print, another = another, print // it is the one that runs now
			}
		case "ends refused":
			s.End(now, e, Refused, nil, 0)
		case "ends answered":
			s.End(now, e, Answered, nil, 0)
		case "ends answered, to keep":
			s.End(now, e, Answered, "outcome", 7)
		case "ends lost":
			s.End(now, e, Lost, nil, 0)
		case "late answer":
			s.Late(now, e, nil, 0)
		case "late answer, to keep":
			s.Late(now, e, "outcome", 7)
		case "window ends":
			now = window
		default:
			t.Fatalf("unknown event %q", event)
		}
		if want, asks := verdicts[gets]; asks != (gets != "") || asks && got != want {
			t.Errorf("%s, %s: a request gets %d, want %s", before, event, got, gets)
		}
		if is := is(s, now); is != after {
			t.Errorf("%s, %s: the key is %s then, want %s", before, event, is, after)
		}
	}
	for state, more := range map[string][]string{
		"none": nil, "kept": {"late answer", "window ends"}, "answered": {"late answer", "window ends"},
		"running": {"ends refused", "ends answered", "ends answered, to keep", "ends lost", "window ends"},
		"unknown": {"late answer", "late answer, to keep", "window ends"},
	} {
		for _, event := range append(more, "asks", "asks, not to wait", "asks for another") {
			if !seen[state+"/"+event] {
				t.Errorf("the table has no line for %s, %s", state, event)
			}
		}
	}
}

// BenchmarkEntry compares what entries take of the heap with what is counted for them.
func BenchmarkEntry(b *testing.B) {
	const n, payload = 100_000, 512
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := New(Limits{Entries: n, Bytes: 1 << 40, Tenants: 1})
		for i := range n {
			_, e, _ := s.Ask(0, Key{Name: fmt.Sprintf("%032d", i)}, Print{}, time.Hour, false)
			s.End(0, e, Answered, make([]byte, payload), payload)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-B/entry")
		b.ReportMetric(float64(s.Bytes())/n, "counted-B/entry")
		runtime.KeepAlive(s)
	}
}

// BenchmarkAsk is a look-up, on as many cores as -cpu says, under the lock that a user of the store has.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New(Limits{Entries: n + 1, Bytes: 1 << 40, Tenants: 1})
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint(i)
				_, e, _ := s.Ask(0, Key{Name: names[i]}, Print{}, time.Hour, false)
				s.End(0, e, Answered, nil, 0)
			}
			var mu sync.Mutex
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					mu.Lock()
					s.Ask(0, Key{Name: names[i*7919%n]}, Print{}, time.Hour, false)
					mu.Unlock()
				}
			})
		})
	}
}
