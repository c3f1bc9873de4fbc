package scale

import (
	"context"
	"testing"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

// Await returns when the last node acts on the version, or when its context ends.
func TestAwait(t *testing.T) {
	s := NewStates()
	s.Register("a", 0, 0)
	s.Register("b", 1, 0)
	record := func(node string, version, pending uint64, disconnected bool) {
		s.Record(node, consensus.ActiveVersions{Version: version, PendingVersion: pending}, disconnected)
	}
	record("a", 3, 0, false)
	record("b", 2, 3, false) // a node with a pending version 3 does not act on version 3 yet
	ended, stop := context.WithCancel(t.Context())
	stop()
	if list := s.Await(ended, 3); list[0].ActsOn(3) != true || list[1].ActsOn(3) || list[1].Region != 1 {
		t.Errorf("got states %+v, want only node a to act on version 3, and node b in region 1", list)
	}
	done := make(chan []State)
	go func() { done <- s.Await(t.Context(), 3) }()
	record("b", 3, 0, false)
	list := testutil.Wait(t, done, "both nodes to act on the version")
	applied := list[1].AppliedAt
	record("b", 3, 0, true)
	record("b", 3, 0, false) // node b renews its lease, and had applied the version before
	if list, all, _ := s.Snapshot(3); !all || list[1].AppliedAt != applied || list[1].ChangedAt <= applied {
		t.Errorf("got states %+v, want all nodes to act on version 3, node b's AppliedAt still %v and its ChangedAt later",
			list, applied)
	}
	record("b", 3, 0, true)
	if _, all, _ := s.Snapshot(3); all {
		t.Error("a node whose lease has expired is reported to act on its version")
	}
}
