package demo

import (
	"io"
	"testing"
	"time"
)

// The demo of a fleet comes out as it says.
func TestFleet(t *testing.T) {
	broken, err := Fleet(t.Context(), FleetOptions{Out: io.Discard, LeaseDuration: 400 * time.Millisecond})
	if err != nil || len(broken) > 0 {
		t.Errorf("%v, %v", broken, err)
	}
}
