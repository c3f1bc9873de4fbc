package snapshot

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/engine"
	"yokestall/policy"
)

var takenAt = time.UnixMilli(1_700_000_000_123)

// sample returns a valid snapshot of node n0 with two classes, one instance and two endpoints.
func sample() Snapshot {
	return Snapshot{
		Node: "n0", TakenAtMs: takenAt.UnixMilli(), Classes: []string{"read", "push"},
		Generation: 41, HasList: true,
		Instances: []discovery.Instance{{InstanceID: "s-1", HostPort: "h:1", Lifecycle: "Ready", Weight: 1}},
		Policy: PolicyState{
			Classes: []policy.ClassSnapshot{
				{UnloadedLatency: 0.05, UnloadedSamples: 12, QueueCost: 0.06, LatencySamples: 40},
				{UnloadedLatency: 0.07, QueueCost: 0.1},
			},
			Load: policy.LoadSnapshot{
				ConcurrencyLimit: 4.5, LastGoodLimit: 5, Saturated: true, LatencyInflation: -0.2,
				TypicalLatency: 0.05, WarmWorkRate: 3, ArrivalRate: 120, WorkRate: 6,
			},
			Endpoints: []Endpoint{
				{1_699_999_990_001, policy.EndpointSnapshot{
					ID: 7, BreakerOpen: true, HalfOpenIn: time.Second, OpenDuration: 2 * time.Second, ConsecutiveFailures: 5,
					UnloadedInflation: 0.3, UnloadedSamples: 4,
					RecentOutcomes: []policy.OutcomeSummary{
						{Age: 4 * time.Second, Successes: 9, MeanLatency: 1.2},
						{Age: time.Second, Successes: 3, Failures: 2, MeanLatency: 1.5},
					},
				}},
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

func TestRoundTrip(t *testing.T) {
	want := sample()
	got, age, invalid, err := Decode(encode(t, want), "n0", want.Classes, takenAt.Add(300*time.Millisecond))
	if err != nil || len(invalid) > 0 || age != 300*time.Millisecond {
		t.Fatalf("got age %v, dropped parts %v, error %v; want 300ms, none, none", age, invalid, err)
	}
	want.Version = version
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// An endpoint's start time is converted from the sender's clock to the receiver's, since the receiver
// compares it with the start times in its own endpoint list.
func TestStartsChangeClocks(t *testing.T) {
	sender, receiver := engine.NewClock(), engine.NewClock()
	start := time.Now().Add(-20 * time.Second).Truncate(time.Millisecond)
	sent := policy.Snapshot{Endpoints: []policy.EndpointSnapshot{{ID: 1, StartedAt: sender.At(start)}, {ID: 2}}}
	got := FromPolicy(sent, sender).ToPolicy(receiver)
	if got.Endpoints[0].StartedAt != receiver.At(start) || got.Endpoints[1].StartedAt != 0 {
		t.Errorf("got start times %v and %v, want %v and 0",
			got.Endpoints[0].StartedAt, got.Endpoints[1].StartedAt, receiver.At(start))
	}
}

// Decode rejects data that is truncated, or has a bit flipped, at any byte.
func TestDamaged(t *testing.T) {
	text := encode(t, sample())
	for at := range text {
		bad := bytes.Clone(text)
		bad[at] ^= 1 << (at % 8)
		for _, b := range [][]byte{text[:at], bad} {
			if s, _, _, err := Decode(b, "n0", sample().Classes, takenAt); err == nil {
				t.Fatalf("data damaged at byte %d was decoded as %+v, want an error", at, s)
			}
		}
	}
}

func TestInvalidSnapshots(t *testing.T) {
	outcome := func(s *Snapshot) *policy.OutcomeSummary { return &s.Policy.Endpoints[0].RecentOutcomes[0] }
	for name, c := range map[string]struct {
		change    func(s *Snapshot)
		now       time.Time
		err       error // error for which the whole snapshot is rejected; nil: it is not rejected
		dropped   int   // number of dropped parts
		endpoints int   // number of endpoints that are not dropped
	}{
		"another node":            {func(s *Snapshot) { s.Node = "n1" }, takenAt, ErrOtherNode, 0, 0},
		"too old":                 {func(*Snapshot) {}, takenAt.Add(MaxAge + time.Millisecond), ErrExpired, 0, 0},
		"from the future":         {func(*Snapshot) {}, takenAt.Add(-2 * time.Second), ErrClockSkew, 0, 0},
		"other classes":           {func(s *Snapshot) { s.Classes[0] = "write" }, takenAt, nil, 1, 0},
		"fewer classes":           {func(s *Snapshot) { s.Policy.Classes = s.Policy.Classes[:1] }, takenAt, nil, 1, 0},
		"a class without latency": {func(s *Snapshot) { s.Policy.Classes[1].UnloadedLatency = 0 }, takenAt, nil, 1, 0},
		"excessive limit":         {func(s *Snapshot) { s.Policy.Load.ConcurrencyLimit = 1e300 }, takenAt, nil, 1, 0},
		"negative start":          {func(s *Snapshot) { s.Policy.Endpoints[0].StartedAtMs = -1 }, takenAt, nil, 1, 1},
		"negative counts":         {func(s *Snapshot) { outcome(s).Successes = -3 }, takenAt, nil, 1, 1},
		"too many outcomes":       {func(s *Snapshot) { outcome(s).Successes = 1e9 }, takenAt, nil, 1, 1},
		"out of order":            {func(s *Snapshot) { slices.Reverse(s.Policy.Endpoints[0].RecentOutcomes) }, takenAt, nil, 1, 1},
		"breaker open too long":   {func(s *Snapshot) { s.Policy.Endpoints[0].HalfOpenIn = math.MaxInt64 }, takenAt, nil, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := sample()
			c.change(&s)
			got, _, invalid, err := Decode(encode(t, s), "n0", sample().Classes, c.now)
			if !errors.Is(err, c.err) {
				t.Fatalf("got error %v, want that of the test case", err)
			}
			if len(invalid) != c.dropped || len(got.Policy.Endpoints) != c.endpoints {
				t.Errorf("got dropped parts %v and %d endpoints, want %d endpoints and the number of dropped parts of the test case",
					invalid, len(got.Policy.Endpoints), c.endpoints)
			}
			if c.err == nil && len(got.Instances) != 1 {
				t.Error("the endpoint list was dropped, want its one instance")
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(f, sample()))
	f.Add([]byte("yokestall-knowledge 1 00000000\n{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, age, _, err := Decode(text, "n0", []string{"read", "push"}, takenAt)
		if err == nil && (age > MaxAge || s.Node != "n0" || len(s.Policy.Endpoints) > MaxEndpoints) {
			t.Errorf("Decode accepted a snapshot that is too old, of another node or too large: %+v", s)
		}
	})
}
