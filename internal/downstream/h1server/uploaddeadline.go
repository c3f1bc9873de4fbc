package h1server

// This file ends requests whose body an endpoint reads slowly or not at all (Options.Strict). The time of a request begins
// when its client has written the last byte of the body (see bodyArrival). While the endpoint does not read, this node does not
// either, and the last bytes stay in the kernel's buffers of both sides.

import (
	"encoding/binary"
	"io"
	"syscall"
	"time"
	"unsafe"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
)

// uploadCheckInterval is how often the deadline of an incomplete upload is checked.
const uploadCheckInterval = 20 * time.Millisecond

// arrivalReader reads a body and tells the connection's bodyArrival what net/http has parsed of it.
type arrivalReader struct {
	io.Reader
	conn *clientConn
}

// Read implements io.Reader.
func (r arrivalReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.conn.readMu.Lock()
	defer r.conn.readMu.Unlock()
	r.conn.body.bytesParsed(n)
	if err == io.EOF {
		r.conn.body.ended()
	}
	return n, err
}

// trackBody starts to track the arrival of a request's body, and returns the reader through which it must be read.
func (c *clientConn) trackBody(length int64, body io.Reader) io.Reader {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.body = newBodyArrival(length, c.conns.sinceStart())
	return arrivalReader{body, c}
}

// limitBodyTime sets the client's time for the body that is tracked.
func (c *clientConn) limitBodyTime(limit time.Duration) {
	if c == nil {
		return
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.body != nil {
		c.body.limit = limit
	}
}

// sinceBodyWritten returns the longest time that may have passed since the client wrote the last byte of its request's body. It
// looks at the socket unless the body was read to its end. It returns 0 if the body is not tracked.
func (c *clientConn) sinceBodyWritten() time.Duration {
	if c == nil {
		return 0
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.body == nil {
		return 0
	}
	now := c.conns.sinceStart()
	if c.body.open() {
		queued, window := c.receiveQueue()
		c.body.window = window
		c.body.looked(int64(len(c.readAhead)) + queued)
	}
	return c.body.elapsed(now)
}

// receiveQueue returns the number of bytes in the socket's receive buffer (SIOCINQ, tcp(7)), and half of the window that the
// kernel offers (tcpi_rcv_ssthresh in TCP_INFO), at least leastWindow. The caller holds readMu.
func (c *clientConn) receiveQueue() (queued, window int64) {
	const windowOffset = 64 // of tcpi_rcv_ssthresh in struct tcp_info
	var (
		bytes int32
		info  [windowOffset + 4]byte
		size  = uint32(len(info))
	)
	c.rawConn.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&bytes)))
		syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	})
	offered := binary.NativeEndian.Uint32(info[windowOffset:]) // 0 if the kernel does not tell
	return int64(bytes), max(leastWindow, int64(offered)/2)
}

// watchUploadDeadline ends a request at its deadline although its body is incomplete here, if its client may have written
// the whole body. The function that it returns ends the watch.
func (s *Server) watchUploadDeadline(
	conn *clientConn, upload *h1client.Upload, cluster bodyCompleter, request *engine.Request,
) (end func()) {
	if conn == nil || conn.rawConn == nil || cluster == nil {
		return func() {}
	}
	done := make(chan struct{})
	ticker := time.NewTicker(uploadCheckInterval)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if upload.ReadToEnd() || upload.Err() != nil {
				return
			}
			if conn.sinceBodyWritten() >= request.UploadTimeout {
				cluster.BodyComplete(request, s.options.Clock.Now())
				return
			}
		}
	}()
	return func() { close(done) }
}
