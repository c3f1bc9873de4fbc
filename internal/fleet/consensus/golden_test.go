package consensus

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil/golden"
)

// goldenManifest returns a manifest with all fields set.
func goldenManifest() Manifest {
	return Manifest{
		Number: 11, Base: 10, ID: "id-a", Proposer: "node-a", Contradicts: true,
		Parts:   []Part{{Name: "a.toml", Hash: strings.Repeat("a1", 32), SizeBytes: 12}, {Name: "b.toml", Hash: strings.Repeat("b2", 32), SizeBytes: 13}},
		Extends: true, OwnParts: 1, RefusalReason: "node-b: too large",
	}
}

// goldenRelease returns a release with all fields set.
func goldenRelease() Release {
	return Release{
		ID: "release-a", Cluster: "cluster-a", Waves: [][]string{{"server-a", "server-b"}, {"server-c"}}, Floor: 0.625,
		Drain: 2 * time.Second, Restart: 3 * time.Second, Warm: 4 * time.Second,
	}
}

// goldenEntries returns an entry of each kind, in the order of the golden file.
func goldenEntries() []Entry {
	manifest, release := goldenManifest(), goldenRelease()
	return []Entry{
		{Propose: &manifest},
		{EpochAck: &EpochAck{Epoch: 21, VoterID: 22}},
		{Refusal: &Refusal{Number: 23, Node: "node-c", Reason: "reason-c"}},
		{Assignment: &TaskAssignment{Task: "task-a", Node: "node-d", Incarnation: "incarnation-d", ExpectedToken: 24}},
		{OwnershipEnd: &OwnershipEnd{Task: "task-b", TransferIndex: 25, VoterID: 26}},
		{Release: &release},
		{ReleaseUpdate: &ReleaseUpdate{ID: "release-b", Wave: 1, Phase: Restarting, Action: PauseRelease, Reason: "reason-d"}},
	}
}

func TestGoldenLogEntryDecodes(t *testing.T) {
	lines := bytes.Split(bytes.TrimSuffix(golden.Read(t, "testdata/golden/entries.jsonl"), []byte("\n")), []byte("\n"))
	entries := goldenEntries()
	if len(lines) != len(entries) || len(entries) != reflect.TypeFor[Entry]().NumField() {
		t.Fatalf("golden file has %d lines for %d entries; want one for each of %d kinds of entry",
			len(lines), len(entries), reflect.TypeFor[Entry]().NumField())
	}
	for i, want := range entries {
		golden.NonZero(t, reflect.ValueOf(want).Field(i).Interface())
		got, err := ParseEntry(lines[i])
		if err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("line %d: decoded %+v; want %+v", i+1, *got, want)
		}
		if text := want.Marshal(); !bytes.Equal(text, lines[i]) {
			t.Errorf("line %d: encoded\n%s\nwant\n%s", i+1, text, lines[i])
		}
	}
}

func TestGoldenSnapshotDecodes(t *testing.T) {
	golden.Lines(t, "testdata/golden/snapshot.json", State{
		Index: 101, Epoch: 102, ActiveVersion: 10, PendingVersion: 11, EpochAcks: []uint64{1, 3}, EpochVersions: []uint64{9, 10}, LastNumber: 12,
		History: []Manifest{goldenManifest()},
		Tasks: map[string]TaskOwnership{"task-a": {
			Owner: "node-d", Incarnation: "incarnation-d", Token: 103, TransferIndex: 104, NextOwner: "node-e", NextIncarnation: "incarnation-e",
			EndConfirmedBy: []uint64{2, 4},
		}},
		OwnershipRevisions: map[string]uint64{"node-d\x00incarnation-d": 105},
		Release: &ReleaseProgress{
			Release: goldenRelease(), Wave: 1, Phase: Warming, Paused: true, Result: "done", StopReason: "abort: reason-e",
		},
	})
	if key := processKey("node-d", "incarnation-d"); key != "node-d\x00incarnation-d" {
		t.Errorf("key of a process: %q; want node and incarnation, separated by a zero byte", key)
	}
}

// The encoding of the lease messages, which package agent sends, stays compatible.
func TestGoldenLeaseMessagesDecode(t *testing.T) {
	golden.Lines(t, "testdata/golden/lease.jsonl",
		LeaseRequest{Node: "node-a", Incarnation: "incarnation-a", Sequence: 31, ConfirmedEpoch: 32, ConfirmedOwnership: 33},
		Grant{
			VoterID: 34, Sequence: 35, MinCoveredEpoch: 36, OwnershipRevision: 37,
			LogStatus: LogStatus{Index: 38, Epoch: 39, ActiveVersion: 40, PendingVersion: 41},
		},
		ActiveVersions{Epoch: 42, Version: 43, PendingVersion: 44},
	)
}

// The stored numbers of phases and the stored words of actions and results stay the same.
func TestGoldenPhasesAndActions(t *testing.T) {
	text, err := json.Marshal([]any{
		TakingOut, Draining, Restarting, PuttingBack, Warming, AdvanceRelease, PauseRelease, ResumeRelease, AbortRelease, FailRelease, ReleaseDone,
	})
	if want := `[0,1,2,3,4,"","pause","resume","abort","fail","done"]`; err != nil || string(text) != want {
		t.Errorf("encoded phases and actions: %s, %v; want %s", text, err, want)
	}
}
