package h1client

import (
	"bufio"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"yokestall/internal/engine"
)

// errTooLarge is the error of reading an answer that exceeds conn.readBudget.
var errTooLarge = errors.New("h1client: the endpoint's answer exceeds the size limit")

// expiredDeadline is a read deadline that lets a Read return only what is buffered.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection to an endpoint. At any time, it is either idle or used by one attempt, stream or tunnel.
type conn struct {
	net.Conn
	endpoint      *endpoint
	reader        *bufio.Reader // reads through conn.Read
	requestBuffer []byte        // the request's head and its body if that is short; reused by later requests

	readBudget int   // number of bytes that Read may still return for the current answer
	readErr    error // error of the last Read
	// announcedClose is set if the current answer's head announces that the connection will be closed.
	announcedClose      bool
	transferDeadlineSet bool // setTransferDeadline or extendTransferDeadline has set a read deadline
	// call is the attempt whose answer is read, and is told of the answer's pauses. nil: a pause ends the reading.
	call      *engine.Call
	buffering bool // bufferBody reads the answer, and reports its pauses

	reused        bool          // the connection has served an exchange before
	idleSince     time.Time     // time at which the connection last became idle
	exchangeStart time.Time     // start of the latest exchange
	exchangeTime  time.Duration // duration of the latest complete exchange

	tls     bool            // uses TLS: a new connection may have session tickets to read (RFC 8446, 4.6.1)
	probe   [1]byte         // receives what bufferedByTLS reads
	rawConn syscall.RawConn // nil if the connection gives no access to its socket
	empty   bool            // result of checkEmpty
	// The functions below are fields so that they are allocated once per connection.
	checkEmpty func(fd uintptr) // sets empty
	abort      func()           // closes the connection
}

func newConn(nc net.Conn, e *endpoint) *conn {
	c := &conn{Conn: nc, endpoint: e, exchangeStart: time.Now()}
	c.reader = bufio.NewReader(c)
	c.abort = func() { c.Conn.Close() }
	c.checkEmpty = func(fd uintptr) { c.empty = socketEmpty(fd) }
	if tc, ok := nc.(*tls.Conn); ok {
		nc, c.tls = tc.NetConn(), true
	}
	if sc, ok := nc.(syscall.Conn); ok {
		c.rawConn, _ = sc.SyscallConn()
	}
	return c
}

// Read implements net.Conn. It returns at most readBudget bytes, and errTooLarge once readBudget is used up. It goes on
// after a pause that it has reported to the attempt.
func (c *conn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errTooLarge
	}
	for {
		n, err := c.Conn.Read(p[:min(len(p), c.readBudget)])
		if n == 0 && c.continuesAfterPause(err) {
			continue
		}
		if n > 0 && c.call != nil {
			c.call.ReportProgress()
		}
		c.readBudget -= n
		c.readErr = err
		return n, err
	}
}

// continuesAfterPause reports whether a Read that ended with err has only met a pause of the answer, which goes on.
func (c *conn) continuesAfterPause(err error) bool {
	if c.buffering || !c.transferDeadlineSet || !errors.Is(err, os.ErrDeadlineExceeded) || !c.reportStall() {
		return false
	}
	c.extendTransferDeadline()
	return true
}

// setTransferDeadline sets a read deadline of AnswerTransferTimeout from now if on is true and none is set, and removes the
// read deadline if on is false.
func (c *conn) setTransferDeadline(on bool) {
	switch {
	case on && !c.transferDeadlineSet:
		c.SetReadDeadline(time.Now().Add(AnswerTransferTimeout))
	case !on && c.transferDeadlineSet:
		c.SetReadDeadline(time.Time{})
	}
	c.transferDeadlineSet = on
}

// extendTransferDeadline sets the read deadline to AnswerTransferTimeout from now, also if one is set already.
func (c *conn) extendTransferDeadline() {
	c.SetReadDeadline(time.Now().Add(AnswerTransferTimeout))
	c.transferDeadlineSet = true
}

// quiet reports whether the connection is open and nothing has come from the endpoint that was not read: neither data,
// nor the endpoint's close, nor an error. A connection that is not quiet can't be used for a request.
func (c *conn) quiet() bool {
	if !c.tls {
		return c.nothingToRead()
	}
	// A new connection may have session tickets to read.
	return !c.reused || c.nothingToRead() && !c.bufferedByTLS()
}

// bufferedByTLS reports whether the TLS layer holds data that it has read from the socket and not returned yet, or has
// met the endpoint's close or an error. It reads nothing from the socket. No read deadline may be set.
func (c *conn) bufferedByTLS() bool {
	c.SetReadDeadline(expiredDeadline)
	defer c.SetReadDeadline(time.Time{})
	n, err := c.Conn.Read(c.probe[:])
	return n > 0 || !errors.Is(err, os.ErrDeadlineExceeded)
}

// nothingToRead does the same as NothingToRead, without allocations.
func (c *conn) nothingToRead() bool {
	return c.rawConn != nil && c.rawConn.Control(c.checkEmpty) == nil && c.empty
}

// NothingToRead reports whether a connection is open and its socket's receive buffer is empty: neither data, nor the peer's
// close, nor an error is pending. It does not wait for a Read in progress, and returns false if nc has no socket.
func NothingToRead(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	// Control is used because raw.Read would wait for a Read in progress.
	err = raw.Control(func(fd uintptr) { empty = socketEmpty(fd) })
	return err == nil && empty
}

// socketEmpty reports whether a socket is open and has nothing to receive.
func socketEmpty(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}
