package engine

import (
	"slices"
	"sync"
	"time"
)

// window is the time in which servers drop the repeats of one keyed request (policy.Class.DedupWindow): from
// the first of its attempts on that may have run. The Balancer holds to it where it decides; but a
// connection may come up long behind that, and what is sent then would run twice.
type window struct {
	span time.Duration

	mu   sync.Mutex
	sent []sentCall // those that may have run or be running; as many as a request has attempts
}

type sentCall struct {
	call *Call
	at   time.Duration // on the Clock, right before its first byte
}

// begin is Call.BeginSend's last step: false where the window of an earlier send is over by the time at which
// this one is out at the latest.
func (w *window) begin(c *Call, now, by time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, earlier := range w.sent {
		if by-earlier.at >= w.span {
			c.Revoke()
		}
	}
	if !c.gate.CompareAndSwap(unsent, begun) {
		return false
	}
	w.sent = append(w.sent, sentCall{c, now})
	return true
}

// neverRan takes an attempt out that is known not to have run: it has begun no window.
func (w *window) neverRan(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = slices.DeleteFunc(w.sent, func(s sentCall) bool { return s.call == c })
}
