package gracefulclose

import "time"

const (
	// PollInterval is the time between two polls of a BacklogWatch.
	PollInterval = 10 * time.Millisecond
	// maxPollInterval is the interval from which on the process counts as stalled: the goroutine that accepts
	// connections may have waited for as long.
	maxPollInterval = 3 * PollInterval
	// requiredPolls is the number of consecutive polls without a stall after which the backlog was accepted.
	requiredPolls = 3
	// maxWait bounds the wait of a process that is stalled over and over.
	maxWait = 500 * time.Millisecond
)

// BacklogWatch estimates when a listener whose connections are accepted without a pause has had the time to
// accept its backlog. The kernel does not report how long a backlog is, so that the estimate is consecutive polls
// without a stall of the process. The zero value is ready to use.
type BacklogWatch struct{ onTime int }

// Poll records a poll that came an interval after the previous one, and reports whether the backlog was accepted.
func (w *BacklogWatch) Poll(interval time.Duration) (accepted bool) {
	if interval > maxPollInterval {
		w.onTime = 0
	} else {
		w.onTime++
	}
	return w.onTime >= requiredPolls
}

// WaitForBacklog returns when the backlog was accepted, or after half a second.
func WaitForBacklog() {
	var w BacklogWatch
	for began, before := time.Now(), time.Now(); time.Since(began) < maxWait; {
		time.Sleep(PollInterval)
		now := time.Now()
		if w.Poll(now.Sub(before)) {
			return
		}
		before = now
	}
}
