package scale

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// conn is a connection that counts its bytes and packets. During a partition, a connection that crosses regions carries
// nothing in either direction and neither end gets an error, as on a network that drops all packets.
type conn struct {
	net.Conn
	meter       *Meter
	traffic     *trafficCounter
	crossRegion bool
	once        sync.Once
	closed      chan struct{}
}

// wrap returns c as a connection whose traffic counter counts. A partition blocks the connection if crossRegion is set.
func (m *Meter) wrap(c net.Conn, counter *trafficCounter, crossRegion bool) *conn {
	counted := &conn{Conn: c, meter: m, traffic: counter, crossRegion: crossRegion, closed: make(chan struct{})}
	counter.add(counted)
	return counted
}

// packets returns how many TCP segments the kernel has received and sent on the connection, or zeros if the counts are
// not available.
func (c *conn) packets() (in, out int64) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
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

// awaitHealed returns nil for a connection within a region. On a connection that crosses regions it waits while there is
// a partition, and returns net.ErrClosed if the connection is closed first.
func (c *conn) awaitHealed() error {
	if !c.crossRegion {
		return nil
	}
	return c.meter.awaitHealed(c.closed)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if closed := c.awaitHealed(); closed != nil {
		return 0, closed
	}
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitHealed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.traffic.remove(c)
	})
	return c.Conn.Close()
}
