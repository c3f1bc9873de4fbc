package demo

import (
	"io"
	"testing"
	"time"
)

// Each step of the fleet demo must have the expected effect.
func TestFleet(t *testing.T) {
	violations, err := Fleet(t.Context(), FleetOptions{Out: io.Discard, LeaseDuration: 400 * time.Millisecond})
	if err != nil || len(violations) > 0 {
		t.Errorf("got violations %v and error %v, want none", violations, err)
	}
}
