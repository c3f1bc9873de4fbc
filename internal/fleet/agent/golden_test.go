package agent

import (
	"strings"
	"testing"
	"time"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/store"
	"yokestall/internal/testutil/golden"
)

// goldenParts returns parts with all fields set.
func goldenParts() []consensus.Part {
	return []consensus.Part{{Name: "a.toml", Hash: strings.Repeat("a1", 32), SizeBytes: 12}, {Name: "b.toml", Hash: strings.Repeat("b2", 32), SizeBytes: 13}}
}

// goldenRelease returns a release with all fields set.
func goldenRelease() consensus.Release {
	return consensus.Release{
		ID: "release-a", Cluster: "cluster-a", Waves: [][]string{{"server-a", "server-b"}, {"server-c"}}, Floor: 0.625,
		Drain: 2 * time.Second, Restart: 3 * time.Second, Warm: 4 * time.Second,
	}
}

// goldenStatus returns a status with all fields set.
func goldenStatus() Status {
	return Status{
		Node: "node-a", Fleet: "fleet-a", Voter: true, Leader: "node-b", Term: 51,
		LogStatus:    consensus.LogStatus{Index: 52, Epoch: 53, ActiveVersion: 54, PendingVersion: 55},
		Applied:      consensus.ActiveVersions{Epoch: 56, Version: 57, PendingVersion: 58},
		Disconnected: true, LeaseLeftMs: 59, WaitingFor: []string{"node-c"}, LeaseHolders: []string{"node-d", "node-e"},
		History: []consensus.Manifest{{
			Number: 11, Base: 10, ID: "id-a", Proposer: "node-f", Contradicts: true, Parts: goldenParts(), Extends: true, OwnParts: 1,
			RefusalReason: "node-g: too large",
		}},
		VotingError: "error-a",
		Tasks:       []TaskStatus{{Task: "task-a", Owner: "node-h", Token: 60, NextOwner: "node-i", Active: true, LeaseLeftMs: 61}},
	}
}

func TestGoldenMessagesDecode(t *testing.T) {
	release, status := goldenRelease(), goldenStatus()
	golden.Lines(t, "testdata/golden/messages.jsonl",
		DescribeRequest{Number: 1, OwnPartsOnly: true},
		FetchRequest{Hash: "hash-a", Offset: 2},
		LeaseReply{
			Grant: &consensus.Grant{
				VoterID: 3, Sequence: 4, MinCoveredEpoch: 5, OwnershipRevision: 6,
				LogStatus: consensus.LogStatus{Index: 7, Epoch: 8, ActiveVersion: 9, PendingVersion: 10},
			},
			LogStatus: &consensus.LogStatus{Index: 11, Epoch: 12, ActiveVersion: 13, PendingVersion: 14},
			Error:     "error-b",
		},
		consensus.LeaseRequest{Node: "node-a", Incarnation: "incarnation-a", Sequence: 15, ConfirmedEpoch: 16, ConfirmedOwnership: 17},
		PublishRequest{ID: "id-b", Base: 18, Parts: goldenParts(), Extends: true},
		PublishReply{Number: 19, Contradicts: true, Error: "error-c", Retry: true, ActiveVersion: 20, Differences: []string{"difference-a"}},
		ContentHashes{Hashes: []string{"hash-b", "hash-c"}},
		consensus.Refusal{Number: 21, Node: "node-b", Reason: "reason-b"},
		store.VoterStart{Name: "voter-a", Count: 22, Nonce: "nonce-a"},
		AdmissionReply{Admitted: true, Latest: store.VoterStart{Name: "voter-b", Count: 23, Nonce: "nonce-b"}},
		OwnershipQuery{Task: "task-b", Token: 24},
		ReleaseCommand{Start: &release, Action: consensus.AbortRelease, Reason: "reason-c"},
		ReleaseReply{Error: "error-d", Progress: &consensus.ReleaseProgress{
			Release: release, Wave: 1, Phase: consensus.Warming, Paused: true, Result: "done", StopReason: "abort: reason-d",
		}},
		status,
		VoterStatus{Voter: "voter-c", Status: &status, Error: "error-e"},
		PublishOutcome{InForce: true, RefusalReason: "reason-e", WaitingFor: []string{"node-c"}},
	)
}

// The method paths and the metadata key are fixed, like the messages, since nodes with different releases of the program
// communicate.
func TestGoldenMethodNames(t *testing.T) {
	var names []string
	d := serviceDescription()
	for _, m := range d.Methods {
		names = append(names, methodPath(m.MethodName))
	}
	for _, s := range d.Streams {
		names = append(names, methodPath(s.StreamName))
	}
	golden.Lines(t, "testdata/golden/methods.json", names)
	if fleetMetadataKey != "yokestall-fleet" {
		t.Errorf("metadata key is %q, want yokestall-fleet", fleetMetadataKey)
	}
}
