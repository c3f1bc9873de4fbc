package knowledge

import (
	"bytes"
	"os"
	"reflect"
	"testing"
	"time"

	"yokestall/internal/registry"
	"yokestall/policy"
)

// The golden file is a snapshot as it was written before fields were renamed. Another version of
// the program may read or write such a snapshot, so names, types and units in it must not change.
const goldenFile = "testdata/golden/snapshot.txt"

// goldenSnapshot gives the values in the golden file; no field is zero.
func goldenSnapshot() Snapshot {
	return Snapshot{
		Version: 1, Node: "node-a", TakenMs: 1_700_000_000_123, Classes: []string{"read", "push"},
		Generation: 41, Listed: true,
		List: []registry.Line{
			{InstanceID: "server-1", HostPort: "10.0.0.1:8001", Zone: "east", Cell: 2, Lifecycle: "Ready", Weight: 1.25, StartedAtMs: 1_699_999_990_001},
			{InstanceID: "server-2", HostPort: "10.0.0.2:8002", Zone: "west", Cell: 3, Lifecycle: "Draining", Weight: 2.5, StartedAtMs: 1_699_999_980_002},
		},
		Module: Module{
			Classes: []policy.ClassKnowledge{
				{Lone: 0.011, LoneSeen: 12, Work: 0.013, Seen: 14, Hint: 0.015, Hinted: 16},
				{Lone: 0.021, LoneSeen: 22, Work: 0.023, Seen: 24, Hint: 0.025, Hinted: 26},
			},
			Bounds: policy.BoundKnowledge{Limit: 31.5, LimitKnown: 32.5, Crowded: true, Crowding: -3.5, Typical: 0.034, WarmPart: 35.5, Arrivals: 36.5, Sent: 37.5},
			Servers: []Server{
				{StartedMs: 1_699_999_990_001, ServerKnowledge: policy.ServerKnowledge{
					Server: 51, Started: 52 * time.Second, Open: true, ReopenIn: 53 * time.Millisecond, OpenFor: 54 * time.Millisecond, Failures: 55,
					Recent: []policy.OutcomesKnowledge{
						{Age: 4 * time.Second, Good: 61, Bad: 62, Latency: 6.3},
						{Age: 3 * time.Second, Good: 71, Bad: 72, Latency: 7.3},
					},
					Lone: 0.56, LoneSeen: 57, ColdLeft: 0.58,
				}},
				{StartedMs: 1_699_999_980_002, ServerKnowledge: policy.ServerKnowledge{
					Server: 1<<63 + 81, Started: 82 * time.Second, Open: true, ReopenIn: 83 * time.Millisecond, OpenFor: 84 * time.Millisecond, Failures: 85,
					Recent: []policy.OutcomesKnowledge{{Age: 2 * time.Second, Good: 91, Bad: 92, Latency: 9.3}},
					Lone:   -0.86, LoneSeen: 87, ColdLeft: -0.88,
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
	got, age, left, err := Decode(golden(t), "node-a", []string{"read", "push"}, time.UnixMilli(1_700_000_000_523))
	if err != nil || len(left) > 0 || age != 400*time.Millisecond {
		t.Fatalf("age %v, left out %v, error %v", age, left, err)
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

// offsetClock is a Clock whose zero is at a fixed wall time.
type offsetClock struct{ zero time.Time }

// At implements Clock.
func (c offsetClock) At(wall time.Time) time.Duration { return wall.Sub(c.zero) }

// Wall implements Clock.
func (c offsetClock) Wall(at time.Duration) time.Time { return c.zero.Add(at) }

// Every field of a module's part arrives in policy.Knowledge and back; starts change clocks.
func TestGoldenModuleConverts(t *testing.T) {
	clock := offsetClock{time.UnixMilli(1_699_999_900_000)}
	module := goldenSnapshot().Module
	want := policy.Knowledge{Classes: module.Classes, Bounds: module.Bounds,
		Servers: []policy.ServerKnowledge{module.Servers[0].ServerKnowledge, module.Servers[1].ServerKnowledge}}
	want.Servers[0].Started, want.Servers[1].Started = 90_001*time.Millisecond, 80_002*time.Millisecond
	got := module.ToModule(clock)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("to the module: got  %+v\nwant %+v", got, want)
	}
	back := FromModule(got, clock)
	module.Servers[0].Started, module.Servers[1].Started = 90_001*time.Millisecond, 80_002*time.Millisecond
	if !reflect.DeepEqual(back, module) {
		t.Errorf("from the module: got  %+v\nwant %+v", back, module)
	}
}
