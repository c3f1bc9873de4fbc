package fleet

import "time"

// Link is the state of a link. Its zero value is a link without faults.
type Link struct {
	DropOutbound bool          // bytes towards the target are lost without notice
	DropInbound  bool          // bytes from the target are lost without notice
	Reset        bool          // connections are reset, new ones too
	Delay        time.Duration // before each piece of a connection is forwarded
	Rate         int           // bytes per second; 0: no limit
	Buffer       bool          // nothing is forwarded until this ends
}

// merge adds the faults of another state.
func (l *Link) merge(o Link) {
	l.DropInbound, l.DropOutbound = l.DropInbound || o.DropInbound, l.DropOutbound || o.DropOutbound
	l.Reset, l.Buffer = l.Reset || o.Reset, l.Buffer || o.Buffer
	l.Delay, l.Rate = max(l.Delay, o.Delay), max(l.Rate, o.Rate)
}

// reversed is the same link, seen from its other end.
func (l Link) reversed() Link {
	l.DropInbound, l.DropOutbound = l.DropOutbound, l.DropInbound
	return l
}

// lossy reports whether connections lose bytes.
func (l Link) lossy() bool { return l.DropInbound || l.DropOutbound }

// wait is how long a piece of n bytes waits before it is forwarded.
func (l Link) wait(n int) time.Duration {
	wait := l.Delay
	if l.Rate > 0 {
		wait += time.Duration(n) * time.Second / time.Duration(l.Rate)
	}
	return wait
}
