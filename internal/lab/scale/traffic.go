package scale

import (
	"sync"
	"sync/atomic"
)

// Traffic is the traffic that connections have carried. Bytes are counted where the program reads and writes its sockets,
// and include the frames of gRPC and HTTP/2 and, with TLS, its records and handshakes. Packets are TCP segments as the
// kernel counts them, including acknowledgements.
type Traffic struct {
	In          int64 `json:"in"`  // bytes received
	Out         int64 `json:"out"` // bytes sent
	PacketsIn   int64 `json:"packets_in"`
	PacketsOut  int64 `json:"packets_out"`
	Connections int64 `json:"connections"` // number of connections made so far
}

func (t *Traffic) packets() int64 { return t.PacketsIn + t.PacketsOut }

// packetHeaderBytes is the size of a packet's headers: IPv4, TCP, and the TCP option for timestamps.
const packetHeaderBytes = 20 + 20 + 12

// wireBytes returns the bytes in both directions, including the packets' headers.
func (t *Traffic) wireBytes() int64 { return t.In + t.Out + packetHeaderBytes*t.packets() }

// trafficCounter counts the traffic of connections. The zero value is ready to use.
type trafficCounter struct {
	in, out, connections atomic.Int64

	mu                    sync.Mutex
	open                  map[*conn]struct{}
	packetsIn, packetsOut int64 // packets of connections that are closed
}

// total returns the traffic that all connections, open and closed, have carried so far.
func (t *trafficCounter) total() Traffic {
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

// add counts a new connection.
func (t *trafficCounter) add(c *conn) {
	t.connections.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[*conn]struct{}{}
	}
	t.open[c] = struct{}{}
}

// remove removes a connection that is about to be closed, and adds its packets to the totals of closed connections.
func (t *trafficCounter) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in, out := c.packets()
	t.packetsIn += in
	t.packetsOut += out
	delete(t.open, c)
}
