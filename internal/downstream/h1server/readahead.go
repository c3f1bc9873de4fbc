package h1server

// Reading a client's socket, by net/http's Read and ahead of it.

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"yokestall/internal/upstream/h1client"
)

const (
	// maxReadAhead and maxTotalReadAhead limit the bytes that are read ahead of a connection, and of all connections of
	// a server. What lies behind is dropped where no request may follow (Options.Strict). Otherwise it stays in the
	// socket, and the kernel is queried for the end, which it knows of once the client's last byte has been received.
	maxReadAhead      = 64 << 10
	maxTotalReadAhead = 2 << 20
	readAheadChunk    = 4 << 10
	// maxDropPerCheck limits the bytes that one check drops, and so the work that a flood causes.
	maxDropPerCheck = 1 << 20
)

// readState is what a clientConn knows of its client's sending side: bytes that were read ahead, and the end.
//
// net/http detects a client's end by a Read beside the handler, which returns with the first byte that follows the
// request; the end behind it goes unseen. So while a request is open the connection is read ahead, within limits.
type readState struct {
	inSocketRead bool   // a Read of the socket is in progress: it sees the end, and nothing is read ahead
	readAhead    []byte // read, and not returned by Read yet
	ended        bool   // the client's end lies behind readAhead
	dropExcess   bool   // no request may follow the open one: what exceeds the limits is dropped
	dropped      bool   // bytes were dropped: nothing is returned behind readAhead

	unreported   bool // bytes were read that the table does not know of
	readingEnded bool // the connection is being closed: nothing more is read
	target       []byte
	targetLength int                   // bytes that the Read in progress put into target
	targetErr    error                 // error of the Read in progress
	readFunc     func(fd uintptr) bool // readAvailable, allocated once
}

// takeReadAhead returns bytes that were read ahead. If there are none and the end was not seen, readSocket is true: the
// caller may read the socket, and must call endSocketRead then.
func (c *clientConn) takeReadAhead(p []byte) (n int, readSocket bool, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.readAhead) > 0 {
		n = copy(p, c.readAhead)
		c.conns.readAheadBytes.Add(-int64(n))
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.readAhead = nil
		}
		c.unreported = true
		return n, false, nil
	}
	if c.ended || c.dropped {
		return 0, false, io.EOF
	}
	c.inSocketRead = true
	return 0, true, nil
}

// readSocket reads the socket. Taking bytes from it and setting unreported is one step: whoever closes an idle
// connection must not do so in between, or a request that was read would get no response.
func (c *clientConn) readSocket(p []byte) (int, error) {
	if c.rawConn == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	c.readMu.Lock()
	c.target = p
	c.readMu.Unlock()
	if err := c.rawConn.Read(c.readFunc); err != nil { // the deadline has passed, or the connection was closed
		var op *net.OpError
		if errors.As(err, &op) {
			op.Op = "read"
		}
		return 0, err
	}
	return c.targetLength, c.targetErr
}

// readAvailable reads into target what the socket has. It returns false if that is nothing (syscall.RawConn).
func (c *clientConn) readAvailable(fd uintptr) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.targetLength, c.targetErr = 0, nil
	if c.readingEnded {
		c.targetErr = net.ErrClosed
		return true
	}
	n, err := syscall.Read(int(fd), c.target)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), c.target)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		c.targetErr = &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err),
		}
	case n == 0:
		c.targetErr = io.EOF
	default:
		c.targetLength, c.unreported = n, true
	}
	return true
}

// endSocketRead notes the end of a Read of the socket, which returned err.
func (c *clientConn) endSocketRead(err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.inSocketRead = false
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.ended = true
	}
}

// markReported notes that the table knows of the bytes that were read.
func (c *clientConn) markReported() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.unreported = false
}

// stopReadingIfIdle reports whether nothing was received, neither a byte nor the end, that the table does not know of.
// If so nothing more is read: what arrives now finds the connection closed, and its client sends it again elsewhere.
func (c *clientConn) stopReadingIfIdle() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.unreported || len(c.readAhead) > 0 || !h1client.NothingToRead(c.Conn) {
		return false
	}
	c.readingEnded = true
	return true
}

// fillReadAhead reads what the socket has, within the limits. more reports that it may have more. Where excess bytes
// are dropped, a first chunk is retained whatever the other connections use: net/http takes a Read beside the handler
// that returns the end, and no byte, for the client's disconnect. readMu is locked.
func (c *clientConn) fillReadAhead(fd int) (ended, more bool) {
	for droppedNow := 0; ; {
		retain := c.reserveReadAhead()
		if !retain && (!c.dropExcess || droppedNow >= maxDropPerCheck) {
			_, more = peekEnd(fd)
			return false, more
		}
		var chunk [readAheadChunk]byte
		n, err := syscall.Read(fd, chunk[:])
		if retain {
			c.conns.readAheadBytes.Add(int64(max(n, 0)) - readAheadChunk)
		}
		switch {
		case n > 0 && retain:
			c.readAhead = append(c.readAhead, chunk[:n]...)
		case n > 0:
			c.dropped = true
			droppedNow += n
		case n == 0 && err == nil, errors.Is(err, syscall.ECONNRESET):
			return true, false
		case !errors.Is(err, syscall.EINTR):
			return false, false
		}
	}
}

// reserveReadAhead reserves memory for a chunk to be read ahead, if the limits allow it. readMu is locked.
func (c *clientConn) reserveReadAhead() bool {
	if c.dropped || len(c.readAhead) >= maxReadAhead {
		return false
	}
	withinTotal := c.conns.readAheadBytes.Add(readAheadChunk) <= maxTotalReadAhead
	if withinTotal || c.dropExcess && len(c.readAhead) == 0 {
		return true
	}
	c.conns.readAheadBytes.Add(-readAheadChunk)
	return false
}

// discardReadAhead releases what was read ahead, once the connection is closed.
func (c *clientConn) discardReadAhead() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.conns.readAheadBytes.Add(-int64(len(c.readAhead)))
	c.readAhead = nil
}

// allowNextRequest ends the dropping of excess bytes: the open request has its response, and the next may follow.
func (c *clientConn) allowNextRequest() {
	c.readMu.Lock() // a check in progress ends first
	defer c.readMu.Unlock()
	c.dropExcess = false
}

// hasDropped reports whether bytes of the client were dropped: the connection must end with the response.
func (c *clientConn) hasDropped() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.dropped
}
