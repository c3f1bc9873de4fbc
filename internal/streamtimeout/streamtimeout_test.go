package streamtimeout

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAgainstModel compares the table with a plain list that is looked through at each step.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			s             *Stream
			server        uint64
			whole, drains time.Duration // due times; 0: none
			limit         time.Duration // Limits.Drain
		}
		var open []*entry
		table, now := New(), time.Duration(1)
		due := func(e *entry) (time.Duration, Cause) {
			if e.drains > 0 && (e.whole == 0 || e.drains < e.whole) {
				return e.drains, EndpointDrained
			}
			return e.whole, MaxDurationExceeded
		}
		drop := func(i int) { open = append(open[:i], open[i+1:]...) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pass"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				l := Limits{time.Duration(rapid.IntRange(0, 9).Draw(t, "whole")), time.Duration(rapid.IntRange(0, 9).Draw(t, "drain"))}
				e := &entry{server: uint64(rapid.IntRange(0, 2).Draw(t, "server")), limit: l.DrainTimeout}
				if l.MaxDuration > 0 {
					e.whole = now + l.MaxDuration
				}
				e.s = table.Open(now, e.server, l, e)
				open = append(open, e)
			case 2:
				server := uint64(rapid.IntRange(0, 2).Draw(t, "server"))
				table.DrainEndpoint(now, server)
				for _, e := range open {
					if e.server == server && e.limit > 0 && (e.drains == 0 || now+e.limit < e.drains) {
						e.drains = now + e.limit
					}
				}
			case 3:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "close")
					table.Close(open[i].s)
					table.Close(open[i].s)
					drop(i)
				}
			case 4:
				for {
					s, why := table.PopDue(now)
					if s == nil {
						break
					}
					e := s.Owner.(*entry)
					at, want := due(e)
					if at == 0 || at > now || why != want && e.whole != e.drains {
						t.Fatalf("handed out at %d for %v, due at %d for %v", now, why, at, want)
					}
					found := false
					for i := range open {
						if found = open[i] == e; found {
							drop(i)
							break
						}
					}
					if !found {
						t.Fatal("handed out twice, or closed before")
					}
				}
			}
			first := time.Duration(0)
			for _, e := range open {
				if at, _ := due(e); at > 0 && (first == 0 || at < first) {
					first = at
				}
			}
			if next, ok := table.NextDue(); ok != (first > 0) || ok && next != first || table.Len() != len(open) {
				t.Fatalf("next at %d %v, %d open; want %d, %d", next, ok, table.Len(), first, len(open))
			}
		}
		for _, e := range open {
			table.Close(e.s)
		}
		if len(table.byEndpoint) != 0 || len(table.dueHeap) != 0 {
			t.Fatal("something of closed streams is kept")
		}
	})
}
