package gracefulclose

import "time"

const (
	// PollInterval is the time between two polls of a BacklogWatch.
	PollInterval = 10 * time.Millisecond
	// maxPollInterval is the longest interval between two polls that does not count as a stall of the process. After a
	// longer interval, the goroutine that accepts connections may have been stalled for as long.
	maxPollInterval = 3 * PollInterval
	// requiredPolls is the number of consecutive polls without a stall after which the backlog counts as accepted.
	requiredPolls = 3
	// maxWait is the upper limit of WaitForBacklog's wait, for a process that stalls repeatedly.
	maxWait = 500 * time.Millisecond
)

// BacklogWatch estimates when a listener whose connections are accepted without a pause has had the time to accept its
// backlog. Since the kernel does not report the length of a backlog, the backlog counts as accepted after a number of
// consecutive polls without a stall of the process. The zero value is ready to use.
type BacklogWatch struct{ onTimePolls int }

// Poll records a poll that came an interval after the previous poll, and reports whether the backlog counts as accepted.
func (w *BacklogWatch) Poll(interval time.Duration) (accepted bool) {
	if interval > maxPollInterval {
		w.onTimePolls = 0
	} else {
		w.onTimePolls++
	}
	return w.onTimePolls >= requiredPolls
}

// WaitForBacklog returns when the backlog counts as accepted, but after about half a second at the latest.
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
