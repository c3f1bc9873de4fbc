package h1server

// This file reads a client's socket, both for net/http's Read and ahead of it.

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/upstream/h1client"
)

const (
	// maxReadAhead and maxTotalReadAhead limit the bytes that are read ahead of net/http on one connection, and on all
	// connections of a server. Where no request may follow the open one (Options.Strict), the bytes beyond the limits
	// are dropped. Otherwise they stay in the socket, and the kernel is queried for the end of the client's data, which
	// it knows once the client's last byte has been received.
	maxReadAhead      = 64 << 10
	maxTotalReadAhead = 2 << 20
	// readAheadChunk is the most bytes that are read ahead at once.
	readAheadChunk = 4 << 10
	// maxDropPerCheck limits the bytes that one check drops, and so the work that a client can cause by a flood of
	// bytes.
	maxDropPerCheck = 1 << 20
)

// readState is the state of reading a client's socket: the bytes that were read ahead, and the end of the client's
// data.
//
// net/http detects a disconnect by a Read that runs beside the handler. This Read returns with the first byte that
// follows the request, so that net/http does not see the end of the data after that byte. Therefore the connection is
// read ahead, within limits, while a request is open.
type readState struct {
	inSocketRead bool   // a Read of the socket is in progress; it will see the end, so nothing is read ahead
	readAhead    []byte // bytes that were read from the socket but not returned by Read yet
	ended        bool   // the client's data ends after readAhead
	dropExcess   bool   // no request may follow the open one, so bytes beyond the limits are dropped
	dropped      bool   // bytes were dropped, so Read returns nothing after readAhead

	body *bodyArrival // arrival of the body of the open request; nil if it is not tracked

	handled       bool          // a handler has the latest request, and its answer was not finished yet
	readsBody     bool          // the handler reads the request's body, as far as it knows not to its end
	bodyWaitSince time.Duration // start of that read, or arrival of the latest byte if that was later

	unreported   bool                  // bytes were read that were not reported to the table yet
	readingEnded bool                  // the connection is being closed, so nothing more is read
	target       []byte                // buffer of the Read in progress
	targetLength int                   // bytes that the Read in progress put into target
	targetErr    error                 // error of the Read in progress
	readFunc     func(fd uintptr) bool // readAvailable, allocated once
}

// takeReadAhead returns bytes that were read ahead. If there are none and the end of the data was not seen, readSocket
// is true: the caller may read the socket, and must call endSocketRead afterwards.
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

// readSocket reads the socket. It takes bytes from the socket and sets unreported under one lock: if the connection
// could be closed as idle in between, a request that was read would get no response.
func (c *clientConn) readSocket(p []byte) (int, error) {
	if c.rawConn == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	c.readMu.Lock()
	c.target = p
	c.readMu.Unlock()
	if err := c.readRaw(c.readFunc); err != nil { // the read deadline has passed, or the connection was closed
		var op *net.OpError
		if errors.As(err, &op) {
			op.Op = "read"
		}
		return 0, err
	}
	return c.targetLength, c.targetErr
}

// readRaw is rawConn.Read, but calls read once more after the read deadline: the deadline bounds how long the client may take,
// and what is there by now may have come before, while this process was held up.
func (c *clientConn) readRaw(read func(fd uintptr) (done bool)) error {
	err := c.rawConn.Read(read)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	done := false
	if c.rawConn.Control(func(fd uintptr) { done = read(fd) }) == nil && done {
		return nil
	}
	return err
}

// awaitByte waits until the socket has a byte to read and returns true, or returns false if the data has ended, the wait
// has failed or the connection gives no access to its socket.
func (c *clientConn) awaitByte() (received bool) {
	if c.rawConn == nil {
		return false
	}
	c.readRaw(func(fd uintptr) bool {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		received = n > 0
		c.unreported = c.unreported || received
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return received
}

// readAvailable reads the socket's available bytes into target. It returns false if there are none and the caller has
// to wait (syscall.RawConn).
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
	c.trackRead(n, err)
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
		c.bodyWaitSince = c.conns.sinceStart()
	}
	return true
}

// trackRead tells the arrival of the open request's body of a read by net/http. The caller holds readMu.
func (c *clientConn) trackRead(n int, err error) {
	switch {
	case c.body == nil:
	case errors.Is(err, syscall.EAGAIN):
		c.body.readerWaits(c.conns.sinceStart())
	case n > 0:
		c.body.readerGotBytes(c.conns.sinceStart())
		c.body.took(n)
	}
}

// endSocketRead records that a Read of the socket has returned err.
func (c *clientConn) endSocketRead(err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.inSocketRead = false
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.ended = true
	}
}

// markReported records that the bytes that were read have been reported to the table.
func (c *clientConn) markReported() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.unreported = false
}

// handlerBegins records that a handler has the latest request.
func (c *clientConn) handlerBegins() {
	if c != nil {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		c.handled, c.readsBody = true, false
	}
}

// answerFinished records that the answer to the latest request was sent.
func (c *clientConn) answerFinished() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.handled = false
}

// bodyReadBegins records that the handler reads the request's body.
func (c *clientConn) bodyReadBegins() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.readsBody, c.bodyWaitSince = true, c.conns.sinceStart()
}

// bodyReadEnds records that the handler's read of the request's body has returned.
func (c *clientConn) bodyReadEnds() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.readsBody = false
}

// awaitsClient reports whether the client has not sent the whole request, as far as this process can tell. Without a handler, the
// client is waited for while a Read is in progress; if none is, all that has arrived may be a whole request that this process has
// not come to yet. With a handler, that says nothing: net/http reads on to detect a disconnect once the request is whole. The
// client is waited for then if it has sent nothing for connlimit.PartialGrace of a read of the body.
func (c *clientConn) awaitsClient(now time.Duration) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.handled {
		return c.inSocketRead
	}
	return c.readsBody && now-c.bodyWaitSince >= connlimit.PartialGrace
}

// stopReadingIfIdle reports whether the connection is idle: neither bytes nor the end of the data were received without
// being reported to the table. If it is idle, nothing more is read from it: a request that arrives later finds the
// connection closed, and its client sends it again elsewhere.
func (c *clientConn) stopReadingIfIdle() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.unreported || len(c.readAhead) > 0 || !h1client.NothingToRead(c.Conn) {
		return false
	}
	c.readingEnded = true
	return true
}

// fillReadAhead reads the socket's available bytes, within the limits. ended reports that the end of the data was
// reached, more that the socket may have more bytes. Where excess bytes are dropped, one chunk is retained even if
// maxTotalReadAhead is exceeded: otherwise net/http's Read beside the handler would return the end without a byte, and
// net/http would take that for the client's disconnect. The caller holds readMu.
func (c *clientConn) fillReadAhead(fd int) (ended, more bool) {
	for droppedNow := 0; ; {
		retain := c.reserveReadAhead()
		if !retain && (!c.dropExcess || droppedNow >= maxDropPerCheck) {
			_, more = peekEnd(fd)
			return false, more
		}
		var chunk [readAheadChunk]byte
		n, err := syscall.Read(fd, chunk[:])
		if errors.Is(err, syscall.EAGAIN) && c.body != nil {
			c.body.readAheadEmptied(c.conns.sinceStart(), int64(len(c.readAhead)))
		}
		if retain {
			c.conns.readAheadBytes.Add(int64(max(n, 0)) - readAheadChunk)
		}
		switch {
		case n > 0 && retain:
			c.readAhead = append(c.readAhead, chunk[:n]...)
			if c.body != nil {
				c.body.took(n)
			}
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

// reserveReadAhead reserves memory for reading one chunk ahead. It returns false if the limits do not allow it. The
// caller holds readMu.
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

// discardReadAhead releases the bytes that were read ahead on a connection that is closed.
func (c *clientConn) discardReadAhead() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.conns.readAheadBytes.Add(-int64(len(c.readAhead)))
	c.readAhead = nil
}

// allowNextRequest ends the dropping of excess bytes: the answer of the open request is known, and the next request may
// follow.
func (c *clientConn) allowNextRequest() {
	c.readMu.Lock() // waits for the end of a check in progress
	defer c.readMu.Unlock()
	c.dropExcess = false
}

// hasDropped reports whether bytes of the client were dropped. The connection must then be closed with the response.
func (c *clientConn) hasDropped() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.dropped
}
