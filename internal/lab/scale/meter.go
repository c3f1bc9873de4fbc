package scale

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"yokestall/internal/fleet/agent"
)

// Meter counts a process's control traffic, and parts it from other regions. Create it with NewMeter.
type Meter struct {
	dialed, accepted traffic
	sent, received   atomic.Int64
	regions          map[string]int // by voter's address

	mu          sync.Mutex
	partitioned bool
	healed      chan struct{} // closed when the regions hear of each other
}

// NewMeter makes a meter of a process among voters that are spread over so many regions in turn.
func NewMeter(voters []agent.Voter, regions int) *Meter {
	m := &Meter{regions: map[string]int{}, healed: make(chan struct{})}
	close(m.healed)
	for i, v := range voters {
		m.regions[v.Address] = i % regions
	}
	return m
}

// Hooks gives what counts a node's traffic that stands in a region.
func (m *Meter) Hooks(region int) agent.Hooks {
	return agent.Hooks{Dial: m.Dialer(region), Listen: m.Listener, Stats: (*messageCounter)(m)}
}

// SetPartitioned parts the regions, or joins them again. What was sent meanwhile over a connection that outlives it arrives
// then.
func (m *Meter) SetPartitioned(apart bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if apart == m.partitioned {
		return
	}
	if m.partitioned = apart; apart {
		m.healed = make(chan struct{})
	} else {
		close(m.healed)
	}
}

// Dialer gives what connects a node of a region to voters.
func (m *Meter) Dialer(region int) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		far := m.regions[address] != region
		if far {
			if err := m.awaitHealed(ctx.Done()); err != nil {
				return nil, ctx.Err()
			}
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return m.wrap(c, &m.dialed, far), nil
	}
}

// awaitHealed waits until the regions hear of each other.
func (m *Meter) awaitHealed(closed <-chan struct{}) error {
	m.mu.Lock()
	healed := m.healed
	m.mu.Unlock()
	select {
	case <-healed:
		return nil
	default:
	}
	select {
	case <-healed:
		return nil
	case <-closed:
		return net.ErrClosed
	}
}

// Listener has what a listener accepts counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{l, m} }

type listener struct {
	net.Listener
	meter *Meter
}

// Accept gives the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(c, &l.meter.accepted, false), nil
}

// messageCounter counts those of RPCs, as gRPC tells them.
type messageCounter Meter

// HandleRPC counts a message.
func (m *messageCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.OutPayload:
		m.sent.Add(1)
	case *stats.InPayload:
		m.received.Add(1)
	}
}

// TagRPC adds nothing to a call.
func (m *messageCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn adds nothing to a connection.
func (m *messageCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn takes no notice of connections.
func (m *messageCounter) HandleConn(context.Context, stats.ConnStats) {}
