package node

import (
	"testing"
	"time"
)

// A node that stops serves on while its clients ask, for 500 ms at least (connections
// are dealt to it so long) and until 300 ms before its end at most.
func TestStopPlan(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	p := planStop(1000 * ms)
	for _, c := range []struct {
		now, asked time.Duration
		serves     bool
	}{
		{0, -time.Hour, true},
		{499 * ms, -time.Hour, true}, // asked long before, but the notice counts from the begin
		{500 * ms, -time.Hour, false},
		{900 * ms, 401 * ms, true},
		{901 * ms, 401 * ms, false}, // nobody asks any more
		{1199 * ms, 1199 * ms, true},
		{1200 * ms, 1199 * ms, false}, // the last part
	} {
		if got := p.serves(c.now, c.asked); got != c.serves {
			t.Errorf("at %v, last asked at %v: serves %v", c.now, c.asked, got)
		}
	}
	if p.whole != 1500*ms || p.abandons() != 1450*ms {
		t.Errorf("%v, answers at %v", p.whole, p.abandons())
	}
}
