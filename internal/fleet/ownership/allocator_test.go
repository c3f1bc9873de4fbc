package ownership

import (
	"fmt"
	"testing"
)

// An allocator serves at most MaxNodes nodes. Nodes that stop sending requests make room for others.
func TestMaxNodes(t *testing.T) {
	a := NewAllocator(1, simConfig)
	for i := range MaxNodes + 10 {
		a.Allocate(0, LeaseRequest{Node: fmt.Sprint(i), Incarnation: "a", Sequence: 1, Demand: 1})
	}
	if len(a.nodes) != MaxNodes {
		t.Errorf("allocator has %d nodes, want MaxNodes", len(a.nodes))
	}
	a.Allocate(3*simConfig.ReleaseDuration, LeaseRequest{Node: "late", Incarnation: "a", Sequence: 1})
	if len(a.nodes) != 1 {
		t.Errorf("allocator has %d nodes after the others expired, want 1", len(a.nodes))
	}
}
