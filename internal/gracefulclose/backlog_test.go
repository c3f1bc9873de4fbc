package gracefulclose

import (
	"testing"
	"time"
)

// A poll after too long an interval restarts the count of polls on time, because the goroutine that accepts connections
// may have been stalled for as long.
func TestBacklogWatch(t *testing.T) {
	const onTime, stalled = PollInterval, maxPollInterval + 1
	for name, c := range map[string]struct {
		intervals []time.Duration
		accepted  int // the number of polls after which the backlog counts as accepted; 0 if it does not
	}{
		"in time":               {[]time.Duration{onTime, onTime, onTime}, 3},
		"late once":             {[]time.Duration{onTime, stalled, onTime, onTime, onTime}, 5},
		"late at the last":      {[]time.Duration{onTime, onTime, stalled, onTime, onTime}, 0},
		"as late as is allowed": {[]time.Duration{maxPollInterval, maxPollInterval, maxPollInterval}, 3},
	} {
		var watch BacklogWatch
		accepted := 0
		for i, interval := range c.intervals {
			if watch.Poll(interval) {
				accepted = i + 1
				break
			}
		}
		if accepted != c.accepted {
			t.Errorf("%s: backlog accepted after %d polls, want %d", name, accepted, c.accepted)
		}
	}
}
