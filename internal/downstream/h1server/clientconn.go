package h1server

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"yokestall/internal/connlimit"
	"yokestall/internal/fairshare"
)

// clientConn is a client's connection that has a place in the table of client connections. net/http reads requests from
// it.
type clientConn struct {
	net.Conn
	conns   *clientConns
	rawConn syscall.RawConn // nil if the connection does not implement syscall.Conn

	// framing scans the bytes that Read returns. It is guarded by conns.mu, except for its counters, which are atomic.
	framing      framingScan
	share        fairshare.Account // of conns.shares
	end          connEnd
	reported     bool // the first Read has reported that bytes were received
	countsFields bool // the connection's bytes are HTTP/1 in clear text, so that the fields of a header can be counted
	// requestLengths counts the requests so far that had a Content-Length. It is used only with Options.Strict, by the
	// handlers of the connection's requests, which run one at a time.
	requestLengths int

	entry *connlimit.Conn // the connection's entry in the table; guarded by conns.mu

	bodyUnread atomic.Bool // the open request has a body that was not read to its end
	lingers    atomic.Bool // the last request was answered while bodyUnread was set, so that Close lets the connection linger

	// readMu guards readState. It may be locked while conns.mu is held; conns.mu must not be locked while readMu is
	// held.
	readMu sync.Mutex
	readState
}

// Read implements net.Conn. If the connection was closed while the bytes were read, Read returns none of them: the
// client sends the request again elsewhere, so it must not be served here too.
func (c *clientConn) Read(p []byte) (int, error) {
	if !c.reported && !c.reportFirstBytes() {
		return 0, net.ErrClosed
	}
	n, readSocket, err := c.takeReadAhead(p)
	if readSocket {
		n, err = c.readSocket(p)
		c.endSocketRead(err)
	}
	if n == 0 {
		return n, err
	}
	if !c.scan(p[:n]) {
		c.endsBecause(endTooManyFields)
		c.cutOffHeader()
		return 0, io.EOF
	}
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.end.requestArrives()
	open := cs.bytesReceived(c)
	c.markReported()
	if !open {
		return 0, net.ErrClosed
	}
	if c.framing.completeWithoutBody() {
		cs.table.RequestBuffered(cs.now(), c.entry)
	}
	return n, err
}

// scan scans bytes that were read. It returns false if the header that is being read has too many fields.
func (c *clientConn) scan(p []byte) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.framing.scan(p)
	return !c.countsFields || c.framing.fieldLines <= maxFields
}

// reportFirstBytes waits for the first bytes of a new connection and reports them to the table before they are read, so
// that a connection for which there is no place is closed unread: its client may send the request again elsewhere. It
// returns false if the connection was closed. If there are no bytes, the next read returns the reason.
func (c *clientConn) reportFirstBytes() (open bool) {
	c.reported = true
	if !c.awaitByte() {
		return true
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.bytesReceived(c)
}

// Close implements net.Conn. It returns at once and lets the connection linger if the client may still be sending the body of a
// request that was answered.
func (c *clientConn) Close() error {
	if c.lingers.CompareAndSwap(true, false) {
		go c.linger()
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection and frees its place in the table.
func (c *clientConn) closeNow() error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.close(c)
}

// CloseWrite closes the sending side of a TCP connection, so that a client that is still sending sees the end of its
// response.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// beginRequest reports to the table that a request was received, except for the rest of its body if the body is an
// upload. open is false if the connection was closed before: the client sends the request again elsewhere. overflow is
// true if the connection exceeds the limit on active connections, so that its client only gets a response with
// Retry-After.
func (c *clientConn) beginRequest() (open, overflow bool) {
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.framing.startRequest()
	cs.table.RequestComplete(cs.now(), c.entry)
	cs.notifyChanged()
	return !c.entry.Removed(), c.entry.Overflow()
}

// mustFreePlace reports whether the connection should be closed with its response to make room for another client.
func (c *clientConn) mustFreePlace() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.table.Saturated()
}

// resetUnlessComplete resets the connection if its response is not complete: it makes the later close a TCP reset, and
// panics with http.ErrAbortHandler.
func (c *clientConn) resetUnlessComplete(complete bool) {
	if complete {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// hasAmbiguousFraming reports whether a request has a transfer coding and the connection's bytes so far had more
// Content-Length lines than requests with a Content-Length. The surplus line may be in this request's header, from which
// net/http has removed it, but also in a body or in the bytes after this request. hasAmbiguousFraming must be called
// once for each request of a connection, in their order.
func (c *clientConn) hasAmbiguousFraming(r *http.Request) bool {
	if len(r.Header["Content-Length"]) > 0 {
		c.requestLengths++
	}
	return len(r.TransferEncoding) > 0 && int(c.framing.contentLengths.Load()) > c.requestLengths
}

// sentTransferCoding reports whether the bytes of the connection held a Transfer-Encoding line.
func (c *clientConn) sentTransferCoding() bool { return c.framing.transferEncodings.Load() > 0 }

// clientConnOf returns the connection on which a request came, or nil if the connection has no place in the table.
func clientConnOf(r *http.Request) *clientConn {
	nc, _ := r.Context().Value(connKey{}).(net.Conn)
	return unwrapClientConn(nc)
}

// unwrapClientConn returns the clientConn that nc wraps, directly or through other layers, or nil if there is none.
func unwrapClientConn(nc net.Conn) *clientConn {
	for {
		switch c := nc.(type) {
		case *clientConn:
			return c
		case interface{ NetConn() net.Conn }: // a TLS connection
			nc = c.NetConn()
		case interface{ Raw() net.Conn }: // a connection that begins with a PROXY protocol header
			nc = c.Raw()
		default:
			return nil
		}
	}
}
