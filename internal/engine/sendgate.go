package engine

import (
	"sync/atomic"
	"time"
)

// The states of a sendGate.
const (
	gateOpen   int32 = iota // nothing was sent
	gatePassed              // the attempt was sent
	gateClosed              // the attempt is never sent
)

// sendGate lets an attempt be sent once at most, and not after it was closed. It is safe for concurrent use.
type sendGate struct{ state atomic.Int32 }

// pass reports whether the attempt may be sent; it is true once at most.
func (g *sendGate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

// close prevents the send of an attempt that was not sent.
func (g *sendGate) close() { g.state.CompareAndSwap(gateOpen, gateClosed) }

// passed reports whether the attempt was sent.
func (g *sendGate) passed() bool { return g.state.Load() == gatePassed }

// Revoke prevents the send of a call if that has not begun.
func (c *Call) Revoke() { c.gate.close() }

// BeginSend reports whether the call may be sent, and is true once at most. It is false
//
//   - after the request's final answer,
//   - later than Options.DrainSendGrace after notice that the endpoint drains or was removed,
//   - where Request.SendAllowed or Request.ClientDisconnected says so, and
//   - for a request that is idempotent by key, after the deduplication window of an earlier attempt.
func (c *Call) BeginSend() bool { return c.begin(0) }

// BeginSendUnlessDraining is BeginSend for a call that another party sends, at sentBy on the Clock at the latest. It
// is false as soon as there is notice of the endpoint's drain, which leaves the grace to that party, and for a retry
// whose deduplication window ends before sentBy.
func (c *Call) BeginSendUnlessDraining(sentBy time.Duration) bool {
	if !c.standalone() {
		if _, draining := c.drain.since(); draining {
			c.Revoke()
		}
	}
	return c.begin(sentBy)
}

// begin is BeginSend for a call whose first byte leaves at sentBy, on the Clock, at the latest; 0: now.
func (c *Call) begin(sentBy time.Duration) bool {
	if c.standalone() {
		return c.gate.pass()
	}
	now := c.clock.Now()
	if c.drain.graceOver(now) || c.sendAllowed != nil && !c.sendAllowed() ||
		c.clientDisconnected != nil && c.clientDisconnected() {
		c.Revoke()
	}
	if !c.passGate(now, max(now, sentBy)) {
		return false
	}
	if c.onSend != nil {
		c.onSend(c.endpoint, now)
	}
	return true
}

// passGate passes the gate within the request's deduplication window, if it has one.
func (c *Call) passGate(now, sentBy time.Duration) bool {
	if c.dedupWindow != nil {
		return c.dedupWindow.begin(c, now, sentBy)
	}
	return c.gate.pass()
}

// endpointDrain is the time since which an endpoint drains. It is safe for concurrent use.
type endpointDrain struct {
	grace    time.Duration // Options.DrainSendGrace
	notified atomic.Int64  // on the Clock, when the engine was notified of the drain or removal; 0: it was not
}

// start records notice of a drain; the first one counts.
func (d *endpointDrain) start(at time.Duration) { d.notified.CompareAndSwap(0, int64(max(1, at))) }

// since returns when the drain began; false if it has not.
func (d *endpointDrain) since() (at time.Duration, draining bool) {
	notified := d.notified.Load()
	return time.Duration(notified), notified != 0
}

// graceOver reports whether sends that were decided before the drain may not begin any more.
func (d *endpointDrain) graceOver(now time.Duration) bool {
	at, draining := d.since()
	return draining && now > at+d.grace
}
