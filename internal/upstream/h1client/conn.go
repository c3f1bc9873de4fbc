package h1client

import (
	"bufio"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"
)

// errTooLarge ends the reading of an answer that exceeds conn.readBudget.
var errTooLarge = errors.New("h1client: answer too large")

// conn is a connection to an endpoint. It belongs to one attempt, stream or tunnel at a time, or is idle.
type conn struct {
	net.Conn
	endpoint *endpoint
	reader   *bufio.Reader // of Read
	message  []byte        // buffer of the request's head and short body

	readBudget int   // bytes that may still be read of the present answer
	readErr    error // of the last Read
	// announcedClose reports that the present answer's head announces the end of the connection.
	announcedClose bool
	transferLimit  bool // a deadline of limitTransfer is set

	reused        bool          // it was idle before
	idleSince     time.Time     // where it was
	exchangeStart time.Time     // of the latest exchange
	exchangeTime  time.Duration // of the latest complete exchange

	tls     bool            // a new one has session tickets to read, behind the handshake (RFC 8446, 4.6.1)
	rawConn syscall.RawConn // nil if the connection has none
	empty   bool            // result of checkEmpty
	// Functions that are allocated once.
	checkEmpty func(fd uintptr)
	abort      func() // closes the connection
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

// Read implements net.Conn, within readBudget.
func (c *conn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readBudget)])
	c.readBudget -= n
	c.readErr = err
	return n, err
}

// limitTransfer sets AnswerTransferTimeout as the deadline for what is still to be read, or removes the deadline.
func (c *conn) limitTransfer(on bool) {
	switch {
	case on && !c.transferLimit:
		c.SetReadDeadline(time.Now().Add(AnswerTransferTimeout))
	case !on && c.transferLimit:
		c.SetReadDeadline(time.Time{})
	}
	c.transferLimit = on
}

// extendTransferLimit sets AnswerTransferTimeout from now on as the deadline of the next read.
func (c *conn) extendTransferLimit() {
	c.SetReadDeadline(time.Now().Add(AnswerTransferTimeout))
	c.transferLimit = true
}

// nothingToRead is NothingToRead without allocations.
func (c *conn) nothingToRead() bool {
	return c.rawConn != nil && c.rawConn.Control(c.checkEmpty) == nil && c.empty
}

// NothingToRead reports whether a connection is open and has nothing to read, neither a byte nor the end. It does not
// wait for a Read in progress.
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
	// Not raw.Read, which would wait for a Read in progress.
	err = raw.Control(func(fd uintptr) { empty = socketEmpty(fd) })
	return err == nil && empty
}

func socketEmpty(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}
