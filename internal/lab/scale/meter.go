package scale

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"yokestall/internal/fleet/agent"
)

// Meter counts the control traffic of a process, and can simulate a partition between regions. Create it with NewMeter.
type Meter struct {
	dialed, accepted trafficCounter
	sent, received   atomic.Int64
	regions          map[string]int // region of each voter, by the voter's address

	mu          sync.Mutex
	partitioned bool
	healed      chan struct{} // closed while there is no partition; replaced when one begins
}

// NewMeter returns a meter for a process of a fleet whose voters are assigned to regions round-robin. regions is the
// number of regions.
func NewMeter(voters []agent.VoterAddress, regions int) *Meter {
	m := &Meter{regions: map[string]int{}, healed: make(chan struct{})}
	close(m.healed)
	for i, v := range voters {
		m.regions[v.Address] = i % regions
	}
	return m
}

// Hooks returns agent hooks through which the meter counts the traffic of a node in a region.
func (m *Meter) Hooks(region int) agent.Hooks {
	return agent.Hooks{Dial: m.Dialer(region), Listen: m.Listener, Stats: (*messageCounter)(m)}
}

// SetPartitioned begins or ends a partition between the regions. Data sent to another region during the partition arrives
// after its end, unless the connection is closed before.
func (m *Meter) SetPartitioned(partitioned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if partitioned == m.partitioned {
		return
	}
	m.partitioned = partitioned
	if partitioned {
		m.healed = make(chan struct{})
	} else {
		close(m.healed)
	}
}

// Dialer returns a function that connects a node of a region to voters. During a partition, a connection to another
// region is made only after the partition's end.
func (m *Meter) Dialer(region int) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		crossRegion := m.regions[address] != region
		if crossRegion {
			if err := m.awaitHealed(ctx.Done()); err != nil {
				return nil, ctx.Err()
			}
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return m.wrap(c, &m.dialed, crossRegion), nil
	}
}

// awaitHealed waits until there is no partition and returns nil, or returns net.ErrClosed if closed is closed first.
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

// Listener returns a listener that accepts connections from l and counts their traffic.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{l, m} }

type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(c, &l.meter.accepted, false), nil
}

// messageCounter is the meter as a stats.Handler of gRPC, which counts the messages of RPCs.
type messageCounter Meter

// HandleRPC implements stats.Handler.
func (m *messageCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.OutPayload:
		m.sent.Add(1)
	case *stats.InPayload:
		m.received.Add(1)
	}
}

// TagRPC implements stats.Handler.
func (m *messageCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (m *messageCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (m *messageCounter) HandleConn(context.Context, stats.ConnStats) {}
