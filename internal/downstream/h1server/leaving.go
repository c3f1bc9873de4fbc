package h1server

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"

	"yokestall/internal/upstream/h1client"
)

const (
	// leaveLook is how often a connection is looked at while its request is open. From the moment a
	// client leaves no attempt may begin for it 0.1 s later; half of that is for a late machine.
	leaveLook = 50 * time.Millisecond
	// maxAhead is how many bytes are read ahead of a connection to see its end behind them, and
	// maxAheadAll how many of a front's connections together. What lies behind that is dropped
	// where nobody may send it (Options.Strict); else it stays in the socket, and the end is asked
	// of the kernel, which knows of it once the client's last byte has found room here.
	maxAhead    = 64 << 10
	maxAheadAll = 2 << 20
	aheadPart   = 4 << 10
	// dropMost is how many bytes are dropped at a look, which bounds what a flood costs: where
	// there is more the next look comes after dropLook.
	dropMost = 1 << 20
	dropLook = 10 * time.Millisecond
)

// reading is what a clientConn knows of its client's side: bytes that were read ahead, and the end.
//
// net/http looks out for a client's end by a Read beside the handler, which ends with the first byte
// that comes behind the request: whoever has sent more and leaves would not be seen by anybody. So
// while a request is open the connection is read ahead, as far as is allowed.
type reading struct {
	busy  bool   // a Read of the socket is under way: it sees the end, nothing is read ahead
	ahead []byte // read, and not given to any Read yet
	ended bool   // the client's end lies behind ahead
	alone bool   // nothing may come behind the request that is open: what does not fit ahead is dropped
	gap   bool   // something was: nothing comes behind ahead any more

	came bool // bytes were read that the table has not been told of yet
	shut bool // the connection is to be closed: nothing is read from it any more
	// The Read that is under way: where to, and what came of it.
	into []byte
	got  int
	fail error
	read func(fd uintptr) bool // readNow
}

// take gives what was read ahead; where that is nothing and the end is not known the caller may read
// the socket, and has to call gave then.
func (c *clientConn) take(p []byte) (n int, socket bool, err error) {
	c.side.Lock()
	defer c.side.Unlock()
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
		c.conns.ahead.Add(-int64(n))
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.came = true
		return n, false, nil
	}
	if c.ended || c.gap {
		return 0, false, io.EOF
	}
	c.busy = true
	return 0, true, nil
}

// readSocket reads the socket. To take bytes from it and to say so is one step: whoever closes a connection
// because nothing has come over it must not do so in between, or a request that was read would get no answer.
func (c *clientConn) readSocket(p []byte) (int, error) {
	if c.raw == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	c.side.Lock()
	c.into = p
	c.side.Unlock()
	if err := c.raw.Read(c.read); err != nil { // its time is over, or it was closed
		var op *net.OpError
		if errors.As(err, &op) {
			op.Op = "read"
		}
		return 0, err
	}
	return c.got, c.fail
}

// readNow takes what there is; false if there is nothing yet (syscall.RawConn).
func (c *clientConn) readNow(fd uintptr) bool {
	c.side.Lock()
	defer c.side.Unlock()
	c.got, c.fail = 0, nil
	if c.shut {
		c.fail = net.ErrClosed
		return true
	}
	n, err := syscall.Read(int(fd), c.into)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), c.into)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		c.fail = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0:
		c.fail = io.EOF
	default:
		c.got, c.came = n, true
	}
	return true
}

// noted says that the table was told of what has come.
func (c *clientConn) noted() {
	c.side.Lock()
	defer c.side.Unlock()
	c.came = false
}

// rests tells whether nothing has come over the connection, no byte and no end, that the table was not told of. If so
// nothing is read from it any more: what comes now finds it closed, unread, and its client asks again elsewhere.
func (c *clientConn) rests() bool {
	c.side.Lock()
	defer c.side.Unlock()
	if c.came || len(c.ahead) > 0 || !h1client.Quiet(c.Conn) {
		return false
	}
	c.shut = true
	return true
}

// gave ends a Read of the socket.
func (c *clientConn) gave(err error) {
	c.side.Lock()
	defer c.side.Unlock()
	c.busy = false
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.ended = true
	}
}

// left tells whether the client has ended its side, whatever it has sent behind its request. It does
// not wait. A process that was stopped, or that has too much to do, takes requests that lay in the
// socket past their time, and nothing in them says so; but their clients have left, and the end of the
// connection lies behind them.
func (c *clientConn) left() bool {
	ended, came := c.lookAhead()
	if came {
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		c.conns.spoke(c) // it is no idle one when its answer is out
	}
	return ended
}

// lookAhead is left, and tells whether bytes came.
func (c *clientConn) lookAhead() (ended, came bool) {
	c.side.Lock()
	defer c.side.Unlock()
	if c.ended || c.raw == nil {
		return c.ended, false
	}
	more, before := false, len(c.ahead)
	c.raw.Control(func(fd uintptr) { // not Read, which would wait for net/http's
		if c.busy {
			ended, more = peekEnd(int(fd))
		} else {
			ended, more = c.readAhead(int(fd))
		}
		if more && !ended {
			ended = closedByPeer(int(fd))
		}
	})
	c.ended = ended && !c.busy && !more
	return ended, len(c.ahead) > before
}

// drop forgets what was read ahead, once the connection is closed.
func (c *clientConn) drop() {
	c.side.Lock()
	defer c.side.Unlock()
	c.conns.ahead.Add(-int64(len(c.ahead)))
	c.ahead = nil
}

// streamLeft gives what tells whether the client of an HTTP/2 stream has given it up, as far as its
// frames have been read, or ended its connection. It does not wait.
func (c *clientConn) streamLeft(stream context.Context) func() bool {
	return func() bool { return stream.Err() != nil || c.over() }
}

// over tells whether the client has ended the connection, whatever lies before its end. Nothing is read.
func (c *clientConn) over() bool {
	c.side.Lock()
	defer c.side.Unlock()
	if c.ended || c.raw == nil {
		return c.ended
	}
	over := false
	c.raw.Control(func(fd uintptr) {
		ended, more := peekEnd(int(fd))
		over = ended || more && closedByPeer(int(fd))
	})
	return over
}

// peekEnd looks for the end right ahead (MSG_PEEK, recv(2)); more: bytes lie before it.
func peekEnd(fd int) (ended, more bool) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET), n > 0
}

// readAhead reads what has come, within the bounds; more: there may be more than that. Where the rest is
// dropped a first part is kept whatever the others hold: net/http takes a Read beside the handler that
// gives an end, and no byte, for the client's end. c.side is held.
func (c *clientConn) readAhead(fd int) (ended, more bool) {
	for dropped := 0; ; {
		keep := !c.gap && len(c.ahead) < maxAhead
		if keep && c.conns.ahead.Add(aheadPart) > maxAheadAll && !(c.alone && len(c.ahead) == 0) {
			c.conns.ahead.Add(-aheadPart)
			keep = false
		}
		if !keep && (!c.alone || dropped >= dropMost) {
			_, more = peekEnd(fd)
			return false, more
		}
		var part [aheadPart]byte
		n, err := syscall.Read(fd, part[:])
		if keep {
			c.conns.ahead.Add(int64(max(n, 0)) - aheadPart)
		}
		switch {
		case n > 0 && keep:
			c.ahead = append(c.ahead, part[:n]...)
		case n > 0:
			c.gap = true
			dropped += n
		case n == 0 && err == nil, errors.Is(err, syscall.ECONNRESET):
			return true, false
		case !errors.Is(err, syscall.EINTR):
			return false, false
		}
	}
}

// answered tells that the request that was alone has its answer: the next one may come from now on.
func (c *clientConn) answered() {
	c.side.Lock() // a look that is under way ends first
	defer c.side.Unlock()
	c.alone = false
}

// cut tells whether bytes of the client's were dropped: its connection has to end with the answer.
func (c *clientConn) cut() bool {
	c.side.Lock()
	defer c.side.Unlock()
	return c.gap
}

// closedByPeer asks the kernel whether the other side has ended the connection (tcp(7), TCP_INFO),
// where bytes that are not read hide it.
func closedByPeer(fd int) bool {
	const closed, closeWait, lastAck, closing = 7, 8, 9, 11 // enum tcp_state of linux/tcp_states.h
	var info [8]byte
	size := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size == 0 {
		return false // it is not known here
	}
	state := info[0]
	return state == closed || state == closeWait || state == lastAck || state == closing
}

// watch gives a context that ends when the client leaves, at the latest leaveLook and a moment after
// it did, and what asks the same at once. done ends the watch. alone: the request is whole, and nothing
// may come behind it before its answer.
func (c *clientConn) watch(ctx context.Context, alone bool) (here context.Context, left func() bool, done func()) {
	here, cancel := context.WithCancel(ctx)
	c.side.Lock()
	c.alone = alone
	c.side.Unlock()
	left = func() bool {
		if here.Err() == nil && c.left() {
			cancel()
		}
		return here.Err() != nil
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		switch {
		case left():
		case c.cut():
			timer.Reset(dropLook)
		default:
			timer.Reset(leaveLook)
		}
	})
	timer.Reset(leaveLook)
	return here, left, func() {
		cancel() // a look that is under way sets the timer no more
		timer.Stop()
	}
}
