package snapshot

import (
	"bytes"
	"os"
	"reflect"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/policy"
)

// goldenFile is a snapshot that was written before fields of Snapshot were renamed. Other versions of the
// program may read or write such a snapshot, so the names, types and units in it must not change.
const goldenFile = "testdata/golden/snapshot.txt"

// goldenSnapshot returns the snapshot in the golden file. None of its fields is zero.
func goldenSnapshot() Snapshot {
	return Snapshot{
		Version: 1, Node: "node-a", TakenAtMs: 1_700_000_000_123, Classes: []string{"read", "push"},
		Generation: 41, HasList: true,
		Instances: []discovery.Instance{
			{InstanceID: "server-1", HostPort: "10.0.0.1:8001", Zone: "east", Cell: 2, Lifecycle: "Ready", Weight: 1.25, StartedAtMs: 1_699_999_990_001},
			{InstanceID: "server-2", HostPort: "10.0.0.2:8002", Zone: "west", Cell: 3, Lifecycle: "Draining", Weight: 2.5, StartedAtMs: 1_699_999_980_002},
		},
		Policy: PolicyState{
			Classes: []policy.ClassSnapshot{
				{UnloadedLatency: 0.011, UnloadedSamples: 12, QueueCost: 0.013, LatencySamples: 14, MeanWorkHint: 0.015, WorkHintSamples: 16},
				{UnloadedLatency: 0.021, UnloadedSamples: 22, QueueCost: 0.023, LatencySamples: 24, MeanWorkHint: 0.025, WorkHintSamples: 26},
			},
			Load: policy.LoadSnapshot{ConcurrencyLimit: 31.5, LastGoodLimit: 32.5, Saturated: true, LatencyInflation: -3.5, TypicalLatency: 0.034, WarmWorkRate: 35.5, ArrivalRate: 36.5, WorkRate: 37.5},
			Endpoints: []Endpoint{
				{StartedAtMs: 1_699_999_990_001, EndpointSnapshot: policy.EndpointSnapshot{
					ID: 51, StartedAt: 52 * time.Second, BreakerOpen: true, HalfOpenIn: 53 * time.Millisecond, OpenDuration: 54 * time.Millisecond, ConsecutiveFailures: 55,
					RecentOutcomes: []policy.OutcomeSummary{
						{Age: 4 * time.Second, Successes: 61, Failures: 62, MeanLatency: 6.3},
						{Age: 3 * time.Second, Successes: 71, Failures: 72, MeanLatency: 7.3},
					},
					UnloadedInflation: 0.56, UnloadedSamples: 57, SlowStartCredit: 0.58,
				}},
				{StartedAtMs: 1_699_999_980_002, EndpointSnapshot: policy.EndpointSnapshot{
					ID: 1<<63 + 81, StartedAt: 82 * time.Second, BreakerOpen: true, HalfOpenIn: 83 * time.Millisecond, OpenDuration: 84 * time.Millisecond, ConsecutiveFailures: 85,
					RecentOutcomes:    []policy.OutcomeSummary{{Age: 2 * time.Second, Successes: 91, Failures: 92, MeanLatency: 9.3}},
					UnloadedInflation: -0.86, UnloadedSamples: 87, SlowStartCredit: -0.88,
				}},
			},
		},
	}
}

// golden reads the golden file.
func golden(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestGoldenSnapshotDecodes(t *testing.T) {
	want := goldenSnapshot()
	got, age, invalid, err := Decode(golden(t), "node-a", []string{"read", "push"}, time.UnixMilli(1_700_000_000_523))
	if err != nil || len(invalid) > 0 || age != 400*time.Millisecond {
		t.Fatalf("got age %v, dropped parts %v, error %v; want 400ms, none, none", age, invalid, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestGoldenSnapshotEncodes(t *testing.T) {
	got, err := Encode(goldenSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	if want := golden(t); !bytes.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// offsetClock is a Clock that starts at a fixed wall time.
type offsetClock struct{ zero time.Time }

// At implements Clock.
func (c offsetClock) At(wall time.Time) time.Duration { return wall.Sub(c.zero) }

// Wall implements Clock.
func (c offsetClock) Wall(at time.Duration) time.Time { return c.zero.Add(at) }

// ToPolicy and FromPolicy convert every field of the policy's state, and convert the endpoints' start times
// between wall time and the clock.
func TestGoldenModuleConverts(t *testing.T) {
	clock := offsetClock{time.UnixMilli(1_699_999_900_000)}
	state := goldenSnapshot().Policy
	want := policy.Snapshot{Classes: state.Classes, Load: state.Load,
		Endpoints: []policy.EndpointSnapshot{state.Endpoints[0].EndpointSnapshot, state.Endpoints[1].EndpointSnapshot}}
	want.Endpoints[0].StartedAt, want.Endpoints[1].StartedAt = 90_001*time.Millisecond, 80_002*time.Millisecond
	got := state.ToPolicy(clock)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("ToPolicy: got  %+v\nwant %+v", got, want)
	}
	back := FromPolicy(got, clock)
	state.Endpoints[0].StartedAt, state.Endpoints[1].StartedAt = 90_001*time.Millisecond, 80_002*time.Millisecond
	if !reflect.DeepEqual(back, state) {
		t.Errorf("FromPolicy: got  %+v\nwant %+v", back, state)
	}
}
