package engine

import (
	"slices"
	"sync"
	"time"
)

// dedupWindow is the deduplication window of one request that is idempotent by key (policy.Class.DedupWindow): the time
// in which endpoints recognize repeats of the request and do not run them again. It starts with the first attempt that
// may have run. The Balancer respects the window when it decides on a retry, but the retry's connection may be
// established long after that decision, and a retry sent after the window would run a second time.
type dedupWindow struct {
	length time.Duration

	mu   sync.Mutex // guards sent
	sent []sentCall // attempts that may have run or may be running
}

type sentCall struct {
	call *Call
	at   time.Duration // the time on the Clock right before the first byte was sent
}

// begin passes a call's gate unless the window of an earlier attempt has ended by sentBy, the latest time for the call's
// first byte. It checks the earlier attempts and records the call under one lock of mu, since two attempts may begin
// concurrently.
func (w *dedupWindow) begin(c *Call, now, sentBy time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, earlier := range w.sent {
		if sentBy-earlier.at >= w.length {
			c.Revoke()
		}
	}
	if !c.gate.pass() {
		return false
	}
	w.sent = append(w.sent, sentCall{c, now})
	return true
}

// remove deletes the record of an attempt that has certainly not run, since such an attempt starts no window.
func (w *dedupWindow) remove(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = slices.DeleteFunc(w.sent, func(s sentCall) bool { return s.call == c })
}
