package scale

import (
	"sync"
	"sync/atomic"
)

// Traffic is what connections have carried. Bytes are those that the program reads and writes on its sockets:
// messages with gRPC's and HTTP/2's frames and, with TLS, its records and handshakes. Packets are TCP's segments by
// the kernel's count, acknowledgements among them.
type Traffic struct {
	In          int64 `json:"in"` // bytes
	Out         int64 `json:"out"`
	PacketsIn   int64 `json:"packets_in"`
	PacketsOut  int64 `json:"packets_out"`
	Connections int64 `json:"connections"` // that were made so far
}

func (t *Traffic) packets() int64 { return t.PacketsIn + t.PacketsOut }

// packetHeaderBytes are the bytes of a packet's headers: IPv4, TCP and TCP's timestamps.
const packetHeaderBytes = 20 + 20 + 12

// wireBytes returns the bytes in both directions, with the packets' headers.
func (t *Traffic) wireBytes() int64 { return t.In + t.Out + packetHeaderBytes*t.packets() }

// trafficCounter counts what connections carry. The zero value is ready to use.
type trafficCounter struct {
	in, out, connections atomic.Int64

	mu                    sync.Mutex
	open                  map[*conn]struct{}
	packetsIn, packetsOut int64 // of connections that are closed
}

// total returns what all connections have carried so far.
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

// remove drops a connection that is about to be closed, and retains the count of its packets.
func (t *trafficCounter) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in, out := c.packets()
	t.packetsIn += in
	t.packetsOut += out
	delete(t.open, c)
}
