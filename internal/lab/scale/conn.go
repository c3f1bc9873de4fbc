package scale

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// conn counts what it carries. One to another region carries nothing, either way, while that is apart: nobody is
// told, as by a network that loses all.
type conn struct {
	net.Conn
	meter       *Meter
	traffic     *traffic
	crossRegion bool
	once        sync.Once
	closed      chan struct{}
}

// wrap has a connection counted, and cut while the regions are apart if it is to another one.
func (m *Meter) wrap(c net.Conn, count *traffic, far bool) *conn {
	w := &conn{Conn: c, meter: m, traffic: count, crossRegion: far, closed: make(chan struct{})}
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

func (c *conn) awaitHealed() error {
	if !c.crossRegion {
		return nil
	}
	return c.meter.awaitHealed(c.closed)
}

// Read gives what came.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gone := c.awaitHealed(); gone != nil {
		return 0, gone
	}
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write sends.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitHealed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}

// Close ends it.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.traffic.remove(c)
	})
	return c.Conn.Close()
}
