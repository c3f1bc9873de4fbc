package scale

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc/stats"

	"yokestall/internal/fleet/agent"
)

// Traffic is what connections have carried. Bytes are those that the program reads and writes on its sockets:
// messages with gRPC's and HTTP/2's frames and, with TLS, its records and handshakes. Packets are TCP's segments by
// the kernel's count, acknowledgements among them.
type Traffic struct {
	In          int64 `json:"in"` // bytes
	Out         int64 `json:"out"`
	PacketsIn   int64 `json:"packets_in"`
	PacketsOut  int64 `json:"packets_out"`
	Connections int64 `json:"connections"` // that were made, over all time
}

// Report is what a process has used since it started.
type Report struct {
	At       time.Duration `json:"at"`     // by the machine's clock since boot
	CPU      time.Duration `json:"cpu"`    // of the process, user and system
	Memory   int64         `json:"memory"` // bytes resident at present
	Dialed   Traffic       `json:"dialed"` // by connections that the process made
	Accepted Traffic       `json:"accepted"`
	Sent     int64         `json:"sent"` // messages of RPCs
	Received int64         `json:"received"`
	Nodes    int           `json:"nodes"` // that are in the process
}

// traffic counts what connections carry.
type traffic struct {
	in, out, connections atomic.Int64

	mu                    sync.Mutex
	open                  map[*conn]struct{}
	packetsIn, packetsOut int64 // of those that are closed
}

// total gives what all connections have carried so far.
func (t *traffic) total() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Traffic{t.in.Load(), t.out.Load(), t.packetsIn, t.packetsOut, t.connections.Load()}
	for c := range t.open {
		in, out := c.packets()
		sum.PacketsIn += in
		sum.PacketsOut += out
	}
	return sum
}

func (t *traffic) add(c *conn) {
	t.connections.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[*conn]struct{}{}
	}
	t.open[c] = struct{}{}
}

// remove forgets a connection that is about to be closed, but for its packets.
func (t *traffic) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in, out := c.packets()
	t.packetsIn += in
	t.packetsOut += out
	delete(t.open, c)
}

// Meter counts a process's control traffic, and parts it from other regions. Create it with NewMeter.
type Meter struct {
	dialed, accepted traffic
	sent, received   atomic.Int64
	regions          map[string]int // by voter's address

	mu     sync.Mutex
	apart  bool
	healed chan struct{} // closed when the regions hear of each other
}

// NewMeter makes a meter of a process among voters that are spread over so many regions in turn.
func NewMeter(voters []agent.VoterAddress, regions int) *Meter {
	m := &Meter{regions: map[string]int{}, healed: make(chan struct{})}
	close(m.healed)
	for i, v := range voters {
		m.regions[v.Address] = i % regions
	}
	return m
}

// Hooks gives what counts a node's traffic that stands in a region.
func (m *Meter) Hooks(region int) agent.Hooks {
	return agent.Hooks{Dial: m.Dialer(region), Listen: m.Listener, Stats: (*messages)(m)}
}

// Apart parts the regions, or joins them again. What was sent meanwhile over a connection that outlives it arrives
// then.
func (m *Meter) Apart(apart bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if apart == m.apart {
		return
	}
	if m.apart = apart; apart {
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
			if err := m.pass(ctx.Done()); err != nil {
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

// pass waits until the regions hear of each other.
func (m *Meter) pass(closed <-chan struct{}) error {
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

// conn counts what it carries. One to another region carries nothing, either way, while that is apart: nobody is
// told, as by a network that loses all.
type conn struct {
	net.Conn
	meter  *Meter
	count  *traffic
	far    bool
	once   sync.Once
	closed chan struct{}
}

// wrap has a connection counted, and cut while the regions are apart if it is to another one.
func (m *Meter) wrap(c net.Conn, count *traffic, far bool) *conn {
	w := &conn{Conn: c, meter: m, count: count, far: far, closed: make(chan struct{})}
	count.add(w)
	return w
}

// packets gives how many segments the kernel has received and sent; none, if it doesn't say.
func (c *conn) packets() (in, out int64) {
	tcp, is := c.Conn.(*net.TCPConn)
	if !is {
		return 0, 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			in, out = int64(info.Segs_in), int64(info.Segs_out)
		}
	})
	return in, out
}

func (c *conn) pass() error {
	if !c.far {
		return nil
	}
	return c.meter.pass(c.closed)
}

// Read gives what came.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gone := c.pass(); gone != nil {
		return 0, gone
	}
	c.count.in.Add(int64(n))
	return n, err
}

// Write sends.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.count.out.Add(int64(n))
	return n, err
}

// Close ends it.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.count.remove(c)
	})
	return c.Conn.Close()
}

// messages counts those of RPCs, as gRPC tells them.
type messages Meter

// HandleRPC counts a message.
func (m *messages) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.OutPayload:
		m.sent.Add(1)
	case *stats.InPayload:
		m.received.Add(1)
	}
}

// TagRPC adds nothing to a call.
func (m *messages) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn adds nothing to a connection.
func (m *messages) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn takes no notice of connections.
func (m *messages) HandleConn(context.Context, stats.ConnStats) {}

// Report tells what the process has used.
func (m *Meter) Report() (Report, error) {
	cpu, err := cpuTime()
	if err != nil {
		return Report{}, err
	}
	memory, err := resident()
	if err != nil {
		return Report{}, err
	}
	return Report{
		At: agent.BootTime(), CPU: cpu, Memory: memory, Dialed: m.dialed.total(), Accepted: m.accepted.total(),
		Sent: m.sent.Load(), Received: m.received.Load(),
	}, nil
}

// cpuTime is what this process has used of the processors.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// resident is how much memory of this process is resident.
func resident() (int64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, os.ErrInvalid
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
