package demo

import (
	"io"
	"testing"
	"time"
)

// Each step of the fleet demo has its effect.
func TestFleet(t *testing.T) {
	violations, err := Fleet(t.Context(), FleetOptions{Out: io.Discard, LeaseDuration: 400 * time.Millisecond})
	if err != nil || len(violations) > 0 {
		t.Errorf("%v, %v", violations, err)
	}
}
