package adminstate

import "time"

const (
	// LameDuckNotice is how long new connections still arrive after the node has become unready: the
	// platform's front polls readiness every 0.1 s and stops sending connections 0.2 s after an
	// unready response; the rest is margin.
	LameDuckNotice = 600 * time.Millisecond
	// LameDuckIdleDelay is how long idle connections stay open after the node has become unready, so
	// that their clients have had a response that announces the close; a close then meets few requests.
	LameDuckIdleDelay = 1200 * time.Millisecond
)

// LameDuckMode decides what a node that is being emptied does with its clients' connections. The
// zero value is off. Times are on a monotonic clock of the caller's. It is not safe for concurrent use.
type LameDuckMode struct {
	active bool
	since  time.Duration
}

// Enter turns the mode on. While it is on, a further call does not restart its delays.
func (m *LameDuckMode) Enter(now time.Duration) {
	if !m.active {
		m.active, m.since = true, now
	}
}

// Exit turns the mode off, at any point of the emptying.
func (m *LameDuckMode) Exit() { m.active = false }

// Ready reports whether the node may report that it accepts clients.
func (m *LameDuckMode) Ready() bool { return !m.active }

// ClosesIdle reports whether connections without a request in flight are to be closed now.
func (m *LameDuckMode) ClosesIdle(now time.Duration) bool {
	return m.active && now >= m.since+LameDuckIdleDelay
}
