package engine

import (
	"slices"
	"sync"
	"time"
)

// dedupWindow is the time in which endpoints drop the repeats of one request that is idempotent by key
// (policy.Class.DedupWindow). It starts with the first attempt that may have run. The Balancer respects it when it
// decides; but a connection may be established long afterwards, and what is sent then would run a second time.
type dedupWindow struct {
	length time.Duration

	mu   sync.Mutex // guards sent
	sent []sentCall // attempts that may have run or may be running
}

type sentCall struct {
	call *Call
	at   time.Duration // on the Clock, right before the first byte
}

// begin passes a call's gate, unless the window of an earlier attempt is over at sentBy, the latest time for the
// call's first byte. Check and record are one step under mu: two attempts may begin at the same time.
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

// neverRan removes an attempt that surely has not run: it has started no window.
func (w *dedupWindow) neverRan(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = slices.DeleteFunc(w.sent, func(s sentCall) bool { return s.call == c })
}
