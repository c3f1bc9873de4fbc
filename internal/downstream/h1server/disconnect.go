package h1server

// Whether a client has disconnected while its request is open. Its inputs are the socket's next byte, what was read
// ahead of net/http's Reads, and the kernel's state of the connection. No attempt may begin for a client 0.1 s after it
// has disconnected.

import (
	"context"
	"errors"
	"syscall"
	"time"
	"unsafe"
)

const (
	// disconnectCheckInterval is how often a connection with an open request is checked. It leaves half of the 0.1 s
	// for delays of the machine.
	disconnectCheckInterval = 50 * time.Millisecond
	// dropCheckInterval is the interval once bytes were dropped, so that more of them can be.
	dropCheckInterval = 10 * time.Millisecond
)

// watch returns a context that ends when the client disconnects, within disconnectCheckInterval, and a function that
// checks it immediately. stop ends the watch. With dropExcess no request may follow the open one before its response.
func (c *clientConn) watch(
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

// checkDisconnected reports whether the client has ended its sending side, whatever it sent behind its request. It does
// not wait. It also finds clients that disconnected while their requests were queued in the socket, as on a machine
// that was stopped for a while.
func (c *clientConn) checkDisconnected() bool {
	ended, received := c.readToEnd()
	if received {
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		c.conns.bytesReceived(c) // the connection is not idle after its response
	}
	return ended
}

// readToEnd reads ahead towards the client's end. ended reports that it was found, received that bytes were read.
func (c *clientConn) readToEnd() (ended, received bool) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.ended || c.rawConn == nil {
		return c.ended, false
	}
	more, before := false, len(c.readAhead)
	c.rawConn.Control(func(fd uintptr) { // not RawConn.Read, which would wait for net/http's Read
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

// streamDisconnected returns a function that reports whether the client of an HTTP/2 stream has reset it, as far as its
// frames were read, or ended the connection. It does not wait.
func (c *clientConn) streamDisconnected(stream context.Context) func() bool {
	return func() bool { return stream.Err() != nil || c.hasEnded() }
}

// hasEnded reports whether the client has ended the connection, whatever lies before its end. It reads nothing.
func (c *clientConn) hasEnded() bool {
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

// peekEnd reports whether a socket's next item is the end (MSG_PEEK, recv(2)), or a byte: more.
func peekEnd(fd int) (ended, more bool) {
	var next [1]byte
	n, _, err := syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET), n > 0
}

// closedByPeer reports whether the kernel knows that the other side has ended the connection (tcp(7), TCP_INFO), where
// unread bytes hide the end. It returns false where the kernel does not say.
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
