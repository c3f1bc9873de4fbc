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

// sendGate allows an attempt to be sent at most once, and not after the gate was closed. It is safe for concurrent use.
type sendGate struct{ state atomic.Int32 }

// pass reports whether the attempt may be sent. It returns true at most once.
func (g *sendGate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

// close prevents an attempt that was not sent from being sent.
func (g *sendGate) close() { g.state.CompareAndSwap(gateOpen, gateClosed) }

// passed reports whether the attempt was sent.
func (g *sendGate) passed() bool { return g.state.Load() == gatePassed }

// Revoke prevents the call from being sent, unless its send has begun.
func (c *Call) Revoke() { c.gate.close() }

// BeginSend reports whether the call may be sent. It returns true at most once. It returns false
//
//   - after the request has ended, by its final answer or because its client disconnected,
//   - after the outcome of the attempt was reported, for example its timeout,
//   - later than Options.DrainSendGrace after the notice that the endpoint drains or was removed,
//   - if Request.SendAllowed returns false or Request.ClientDisconnected returns true, and
//   - for a request that is idempotent by key, after the deduplication window of an earlier attempt.
func (c *Call) BeginSend() bool { return c.begin(0) }

// BeginSendUnlessDraining is BeginSend for a call whose request another process sends, such as the caller of an endpoint
// pick, at the latest at sentBy, a time on the Clock. It returns false as soon as the engine was notified of the
// endpoint's drain, so that the whole Options.DrainSendGrace is left to that process, and also for a retry if a
// deduplication window of the request ends by sentBy.
func (c *Call) BeginSendUnlessDraining(sentBy time.Duration) bool {
	if !c.standalone() {
		if _, draining := c.drain.since(); draining {
			c.Revoke()
		}
	}
	return c.begin(sentBy)
}

// begin is BeginSend for a call whose first byte leaves no later than sentBy, a time on the Clock. A sentBy of 0 means
// now.
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

// passGate passes the call's gate. If the request has a deduplication window, passGate also enforces and records it.
func (c *Call) passGate(now, sentBy time.Duration) bool {
	if c.dedupWindow != nil {
		return c.dedupWindow.begin(c, now, sentBy)
	}
	return c.gate.pass()
}

// endpointDrain is the drain state of an endpoint. It is safe for concurrent use.
type endpointDrain struct {
	grace    time.Duration // Options.DrainSendGrace
	notified atomic.Int64  // time on the Clock, in ns, of the notice of the drain or removal; 0 if there was no notice
}

// start records the time of the notice of a drain. Only the first call has an effect.
func (d *endpointDrain) start(at time.Duration) { d.notified.CompareAndSwap(0, int64(max(1, at))) }

// since returns the time on the Clock of the notice of the drain. draining is false if there was no notice.
func (d *endpointDrain) since() (at time.Duration, draining bool) {
	notified := d.notified.Load()
	return time.Duration(notified), notified != 0
}

// graceOver reports whether the grace after the notice of a drain has passed, so that no further send may begin.
func (d *endpointDrain) graceOver(now time.Duration) bool {
	at, draining := d.since()
	return draining && now > at+d.grace
}
