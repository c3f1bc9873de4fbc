package adminstate

import "time"

const (
	// UnreadyPropagationDelay is how long new connections still arrive after the node has become unready. The
	// platform's front end polls readiness every 0.1 s and stops sending connections 0.2 s after an
	// unready response; the rest of the time is a margin.
	UnreadyPropagationDelay = 600 * time.Millisecond
	// LameDuckIdleDelay is how long idle connections stay open after the node has become unready. By
	// the end of the delay, their clients have received a response that announces the close, so few
	// clients send a request on a connection while the node closes it.
	LameDuckIdleDelay = 1200 * time.Millisecond
)

// LameDuckMode decides what a node in lame duck mode does with its clients' connections. The zero value
// is off. Times are on the caller's monotonic clock. A LameDuckMode is not safe for concurrent use.
type LameDuckMode struct {
	active bool
	since  time.Duration
}

// Enter turns the mode on. While the mode is on, a further call does not restart LameDuckIdleDelay.
func (m *LameDuckMode) Enter(now time.Duration) {
	if !m.active {
		m.active, m.since = true, now
	}
}

// Exit turns the mode off. It may be called at any time.
func (m *LameDuckMode) Exit() { m.active = false }

// Ready reports whether the node may report that it accepts clients.
func (m *LameDuckMode) Ready() bool { return !m.active }

// ClosesIdle reports whether the node has to close connections without a request in flight now.
func (m *LameDuckMode) ClosesIdle(now time.Duration) bool {
	return m.active && now >= m.since+LameDuckIdleDelay
}
