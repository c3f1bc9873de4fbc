package scale

import (
	"context"
	"testing"

	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

// Await returns when the last node acts on the version, and names those that don't at its end.
func TestAwait(t *testing.T) {
	s := NewStates()
	s.Register("a", 0, 0)
	s.Register("b", 1, 0)
	on := func(node string, number, pending uint64, alone bool) {
		s.Record(node, consensus.ActiveVersions{Version: number, PendingVersion: pending}, alone)
	}
	on("a", 3, 0, false)
	on("b", 2, 3, false) // the stricter of both is not yet the version
	ended, stop := context.WithCancel(t.Context())
	stop()
	if list := s.Await(ended, 3); list[0].ActsOn(3) != true || list[1].ActsOn(3) || list[1].Region != 1 {
		t.Errorf("%+v", list)
	}
	done := make(chan []State)
	go func() { done <- s.Await(t.Context(), 3) }()
	on("b", 3, 0, false)
	list := testutil.Wait(t, done, "both")
	took := list[1].AppliedAt
	on("b", 3, 0, true)
	on("b", 3, 0, false) // its lease came back: it took the version before
	if list, on, _ := s.Snapshot(3); !on || list[1].AppliedAt != took || list[1].ChangedAt <= took {
		t.Errorf("%+v", list)
	}
	on("b", 3, 0, true)
	if _, on, _ := s.Snapshot(3); on {
		t.Error("a node whose lease is over counts")
	}
}
