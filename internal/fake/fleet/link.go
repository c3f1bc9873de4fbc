package fleet

import "time"

// Link is the state of a link. Its zero value is a link without faults.
type Link struct {
	DropOutbound bool          // bytes to the target are discarded while connections stay open
	DropInbound  bool          // bytes from the target are discarded while connections stay open
	Reset        bool          // connections are reset, new ones too
	Delay        time.Duration // the wait before each piece of a connection is forwarded
	Rate         int           // the limit of each direction of a connection in bytes per second; 0: no limit
	Buffer       bool          // nothing is forwarded while Buffer is set
}

// merge adds the faults of another link state to the link.
func (l *Link) merge(o Link) {
	l.DropInbound, l.DropOutbound = l.DropInbound || o.DropInbound, l.DropOutbound || o.DropOutbound
	l.Reset, l.Buffer = l.Reset || o.Reset, l.Buffer || o.Buffer
	l.Delay, l.Rate = max(l.Delay, o.Delay), max(l.Rate, o.Rate)
}

// reversed returns the link state with inbound and outbound swapped.
func (l Link) reversed() Link {
	l.DropInbound, l.DropOutbound = l.DropOutbound, l.DropInbound
	return l
}

// lossy reports whether the link discards bytes in either direction.
func (l Link) lossy() bool { return l.DropInbound || l.DropOutbound }

// wait returns how long a piece of n bytes is delayed before it is forwarded.
func (l Link) wait(n int) time.Duration {
	wait := l.Delay
	if l.Rate > 0 {
		wait += time.Duration(n) * time.Second / time.Duration(l.Rate)
	}
	return wait
}
