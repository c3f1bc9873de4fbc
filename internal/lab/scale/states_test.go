package scale

import (
	"context"
	"testing"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

// Await returns when the last node acts on the version, or at the end of its context.
func TestAwait(t *testing.T) {
	s := NewStates()
	s.Register("a", 0, 0)
	s.Register("b", 1, 0)
	record := func(node string, version, pending uint64, disconnected bool) {
		s.Record(node, consensus.ActiveVersions{Version: version, PendingVersion: pending}, disconnected)
	}
	record("a", 3, 0, false)
	record("b", 2, 3, false) // a node between two versions does not act on the later one
	ended, stop := context.WithCancel(t.Context())
	stop()
	if list := s.Await(ended, 3); list[0].ActsOn(3) != true || list[1].ActsOn(3) || list[1].Region != 1 {
		t.Errorf("%+v", list)
	}
	done := make(chan []State)
	go func() { done <- s.Await(t.Context(), 3) }()
	record("b", 3, 0, false)
	list := testutil.Wait(t, done, "both")
	applied := list[1].AppliedAt
	record("b", 3, 0, true)
	record("b", 3, 0, false) // its lease is renewed: it had applied the version before
	if list, all, _ := s.Snapshot(3); !all || list[1].AppliedAt != applied || list[1].ChangedAt <= applied {
		t.Errorf("%+v", list)
	}
	record("b", 3, 0, true)
	if _, all, _ := s.Snapshot(3); all {
		t.Error("a node whose lease has expired counts")
	}
}
