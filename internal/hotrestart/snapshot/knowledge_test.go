package snapshot

import (
	"bytes"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/engine"
	"yokestall/policy"
)

var taken = time.UnixMilli(1_700_000_000_123)

func sample() Snapshot {
	return Snapshot{
		Node: "n0", TakenMs: taken.UnixMilli(), Classes: []string{"read", "push"},
		Generation: 41, Listed: true, List: []discovery.Instance{{InstanceID: "s-1", HostPort: "h:1", Lifecycle: "Ready", Weight: 1}},
		Module: Module{
			Classes: []policy.ClassSnapshot{{UnloadedLatency: 0.05, UnloadedSamples: 12, MeanLatency: 0.06, LatencySamples: 40}, {UnloadedLatency: 0.07, MeanLatency: 0.1}},
			Bounds:  policy.LoadSnapshot{ConcurrencyLimit: 4.5, LastGoodLimit: 5, Saturated: true, LatencyInflation: -0.2, TypicalLatency: 0.05, WarmThroughput: 3, ArrivalRate: 120, SendRate: 6},
			Servers: []Server{
				{1_699_999_990_001, policy.EndpointSnapshot{ID: 7, BreakerOpen: true, ReopenIn: time.Second, OpenDuration: 2 * time.Second, ConsecutiveFailures: 5, UnloadedInflation: 0.3, UnloadedSamples: 4,
					RecentOutcomes: []policy.OutcomeSummary{{Age: 4 * time.Second, Successes: 9, MeanLatency: 1.2}, {Age: time.Second, Successes: 3, Failures: 2, MeanLatency: 1.5}}}},
				{0, policy.EndpointSnapshot{ID: 1 << 63}},
			},
		},
	}
}

func encode(t testing.TB, s Snapshot) []byte {
	t.Helper()
	text, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestComesThrough(t *testing.T) {
	want := sample()
	got, age, left, err := Decode(encode(t, want), "n0", want.Classes, taken.Add(300*time.Millisecond))
	if err != nil || len(left) > 0 || age != 300*time.Millisecond {
		t.Fatalf("%v old, left out %v, %v", age, left, err)
	}
	want.Version = version
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// A start goes from one process's clock to the other's: an heir compares it with its own list.
func TestStartsOnAnotherClock(t *testing.T) {
	donor, heir := engine.NewClock(), engine.NewClock()
	start := time.Now().Add(-20 * time.Second).Truncate(time.Millisecond)
	k := policy.Snapshot{Endpoints: []policy.EndpointSnapshot{{ID: 1, StartedAt: donor.At(start)}, {ID: 2}}}
	got := FromModule(k, donor).ToModule(heir)
	if got.Endpoints[0].StartedAt != heir.At(start) || got.Endpoints[1].StartedAt != 0 {
		t.Errorf("starts %v and %v, want %v and 0", got.Endpoints[0].StartedAt, got.Endpoints[1].StartedAt, heir.At(start))
	}
}

// Cut at each byte, and a bit flipped at each byte: never taken, whatever is left.
func TestDamaged(t *testing.T) {
	text := encode(t, sample())
	for at := range text {
		bad := bytes.Clone(text)
		bad[at] ^= 1 << (at % 8)
		for _, b := range [][]byte{text[:at], bad} {
			if s, _, _, err := Decode(b, "n0", sample().Classes, taken); err == nil {
				t.Fatalf("at byte %d: taken as %+v", at, s)
			}
		}
	}
}

func TestNotOfUse(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *Snapshot)
		now    time.Time
		whole  bool // nothing at all is of use
		left   int  // pieces that are left out
		kept   int  // servers that are not
	}{
		"another node":     {func(s *Snapshot) { s.Node = "n1" }, taken, true, 0, 0},
		"too old":          {func(*Snapshot) {}, taken.Add(MaxAge + time.Millisecond), true, 0, 0},
		"from the future":  {func(*Snapshot) {}, taken.Add(-2 * time.Second), true, 0, 0},
		"other classes":    {func(s *Snapshot) { s.Classes[0] = "write" }, taken, false, 1, 0},
		"fewer classes":    {func(s *Snapshot) { s.Module.Classes = s.Module.Classes[:1] }, taken, false, 1, 0},
		"a class of none":  {func(s *Snapshot) { s.Module.Classes[1].UnloadedLatency = 0 }, taken, false, 1, 0},
		"endless bound":    {func(s *Snapshot) { s.Module.Bounds.ConcurrencyLimit = 1e300 }, taken, false, 1, 0},
		"a server's start": {func(s *Snapshot) { s.Module.Servers[0].StartedMs = -1 }, taken, false, 1, 1},
		"negative counts":  {func(s *Snapshot) { s.Module.Servers[0].RecentOutcomes[0].Successes = -3 }, taken, false, 1, 1},
		"too many":         {func(s *Snapshot) { s.Module.Servers[0].RecentOutcomes[0].Successes = 1e9 }, taken, false, 1, 1},
		"out of order":     {func(s *Snapshot) { slices.Reverse(s.Module.Servers[0].RecentOutcomes) }, taken, false, 1, 1},
		"open for ever":    {func(s *Snapshot) { s.Module.Servers[0].ReopenIn = math.MaxInt64 }, taken, false, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := sample()
			c.change(&s)
			got, _, left, err := Decode(encode(t, s), "n0", sample().Classes, c.now)
			if (err != nil) != c.whole {
				t.Fatalf("error %v", err)
			}
			if len(left) != c.left || len(got.Module.Servers) != c.kept {
				t.Errorf("left out %v; %d servers are kept, want %d", left, len(got.Module.Servers), c.kept)
			}
			if !c.whole && len(got.List) != 1 {
				t.Error("the list goes with what is left out")
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(f, sample()))
	f.Add([]byte("yokestall-knowledge 1 00000000\n{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, age, _, err := Decode(text, "n0", []string{"read", "push"}, taken)
		if err == nil && (age > MaxAge || s.Node != "n0" || len(s.Module.Servers) > MaxServers) {
			t.Errorf("taken: %+v", s)
		}
	})
}
