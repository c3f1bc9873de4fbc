package h1server

// This file detects that a client has disconnected while its request is open. It uses the next byte of the socket, the
// bytes that were read ahead of net/http's Reads, and the kernel's state of the connection. No attempt may begin for a
// client later than 0.1 s after the client has disconnected.

import (
	"context"
	"errors"
	"syscall"
	"time"
	"unsafe"
)

const (
	// disconnectCheckInterval is how often a connection with an open request is checked. It is half of the 0.1 s after a
	// disconnect in which an attempt may still begin. The other half is for scheduling delays of the machine.
	disconnectCheckInterval = 50 * time.Millisecond
	// dropCheckInterval is the interval between checks once bytes were dropped. It is shorter because each check drops
	// at most maxDropPerCheck bytes.
	dropCheckInterval = 10 * time.Millisecond
)

// watchDisconnect returns a context that ends within disconnectCheckInterval after the client has disconnected, and a
// function that checks for the disconnect immediately. stop ends the watch and the context. dropExcess says that no
// request may follow the open one before its response, so that bytes beyond the read-ahead limits are dropped.
func (c *clientConn) watchDisconnect(
	parent context.Context, dropExcess bool,
) (ctx context.Context, disconnected func() bool, stop func()) {
	ctx, cancel := context.WithCancel(parent)
	c.readMu.Lock()
	c.dropExcess = dropExcess
	c.readMu.Unlock()
	disconnected = func() bool {
		if ctx.Err() == nil && c.checkDisconnected() {
			cancel()
		}
		return ctx.Err() != nil
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		switch {
		case disconnected():
		case c.hasDropped():
			timer.Reset(dropCheckInterval)
		default:
			timer.Reset(disconnectCheckInterval)
		}
	})
	timer.Reset(disconnectCheckInterval)
	stop = func() {
		cancel() // a check in progress does not reset the timer
		timer.Stop()
	}
	return ctx, disconnected, stop
}

// checkDisconnected reports whether the client has closed its sending side or reset the connection, whatever it sent
// after its request. It does not wait. It also detects clients that disconnected while their requests were queued in
// the socket, for example while the machine was stopped.
func (c *clientConn) checkDisconnected() bool {
	ended, received := c.readAheadToEnd()
	if received {
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		c.conns.bytesReceived(c) // so that the connection is not idle after its response
	}
	return ended
}

// readAheadToEnd reads ahead towards the end of the client's data. ended reports that the end was found or is known to
// the kernel, received that bytes were read ahead.
func (c *clientConn) readAheadToEnd() (ended, received bool) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.ended || c.rawConn == nil {
		return c.ended, false
	}
	more, before := false, len(c.readAhead)
	c.rawConn.Control(func(fd uintptr) { // RawConn.Read would wait for net/http's Read
		if c.inSocketRead {
			ended, more = peekEnd(int(fd))
		} else {
			ended, more = c.fillReadAhead(int(fd))
		}
		if more && !ended {
			ended = closedByPeer(int(fd))
		}
	})
	c.ended = ended && !c.inSocketRead && !more
	return ended, len(c.readAhead) > before
}

// streamDisconnected returns a function that reports whether the client has ended the connection or reset the HTTP/2
// stream whose context is stream. It detects a reset only once the RST_STREAM frame was read. It does not wait.
func (c *clientConn) streamDisconnected(stream context.Context) func() bool {
	return func() bool { return stream.Err() != nil || c.clientEnded() }
}

// clientEnded reports whether the client has closed its sending side or reset the connection, also where unread bytes
// precede the end. It reads nothing.
func (c *clientConn) clientEnded() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.ended || c.rawConn == nil {
		return c.ended
	}
	closed := false
	c.rawConn.Control(func(fd uintptr) {
		ended, more := peekEnd(int(fd))
		closed = ended || more && closedByPeer(int(fd))
	})
	return closed
}

// peekEnd looks at what a socket returns next without consuming it (MSG_PEEK, recv(2)). ended reports that it is the
// end of the data or a reset, more that it is a byte.
func peekEnd(fd int) (ended, more bool) {
	var next [1]byte
	n, _, err := syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET), n > 0
}

// closedByPeer reports whether the kernel knows that the other side has ended the connection (tcp(7), TCP_INFO), even
// where unread bytes precede the end. It returns false if the kernel does not provide the state.
func closedByPeer(fd int) bool {
	const closed, closeWait, lastAck, closing = 7, 8, 9, 11 // enum tcp_state of linux/tcp_states.h
	var info [8]byte
	size := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size == 0 {
		return false
	}
	state := info[0]
	return state == closed || state == closeWait || state == lastAck || state == closing
}
