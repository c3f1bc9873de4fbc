package h1server

import (
	"net"
	"net/http"
	"sync"
	"syscall"

	"yokestall/internal/connlimit"
)

// clientConn is a client's connection with a place in the table. net/http reads from it.
type clientConn struct {
	net.Conn
	conns   *clientConns
	rawConn syscall.RawConn // nil if the connection has none

	// framing scans what is read. It is guarded by conns.mu, except for its counters.
	framing framingScan
	// requestLengths counts the requests so far that had a Content-Length. Only their handlers use it, one at a time.
	requestLengths int

	entry *connlimit.Conn // in the table; guarded by conns.mu
	http2 bool            // a request came over HTTP/2; guarded by conns.mu

	// readMu guards readState. It may be locked under conns.mu; conns.mu is not locked under it.
	readMu sync.Mutex
	readState
}

// Read implements net.Conn. Bytes that were read from a connection that was closed meanwhile count as not read: the
// client sends the request again elsewhere, so it must not be served here too.
func (c *clientConn) Read(p []byte) (int, error) {
	n, readSocket, err := c.takeReadAhead(p)
	if readSocket {
		n, err = c.readSocket(p)
		c.endSocketRead(err)
	}
	if n == 0 {
		return n, err
	}
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.framing.scan(p[:n])
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

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.close(c)
}

// CloseWrite ends the sending side: a client that still sends sees the end of its response.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// beginRequest reports to the table that a request is complete. open is false if the connection was closed before: the
// client sends the request again elsewhere. overflow reports that the client only gets a response with Retry-After.
func (c *clientConn) beginRequest(http2 bool) (open, overflow bool) {
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.http2 = http2
	c.framing.startRequest()
	cs.table.RequestComplete(cs.now(), c.entry)
	cs.notifyChanged()
	return !c.entry.Removed(), c.entry.Overflow()
}

// mustFreePlace reports whether the connection should end with its response, to make room for another client.
func (c *clientConn) mustFreePlace() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.table.Saturated()
}

// resetUnlessComplete ends the connection with a reset where its response is not complete. It panics then with
// http.ErrAbortHandler.
func (c *clientConn) resetUnlessComplete(complete bool) {
	if complete {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// hasAmbiguousFraming reports whether a request has a transfer coding and the connection's bytes held a Content-Length
// that belongs to no request so far: this one has both, or the length is in its body or behind it. It must be called
// once for each request, in their order.
func (c *clientConn) hasAmbiguousFraming(r *http.Request) bool {
	if len(r.Header["Content-Length"]) > 0 {
		c.requestLengths++
	}
	return len(r.TransferEncoding) > 0 && int(c.framing.contentLengths.Load()) > c.requestLengths
}

// sentTransferCoding reports whether the connection's bytes held a Transfer-Encoding.
func (c *clientConn) sentTransferCoding() bool { return c.framing.transferEncodings.Load() > 0 }

// clientConnOf returns the connection of a request; nil if it has no place in the table.
func clientConnOf(r *http.Request) *clientConn {
	nc, _ := r.Context().Value(connKey{}).(net.Conn)
	return unwrapClientConn(nc)
}

// unwrapClientConn returns the clientConn below the layers on it; nil if there is none.
func unwrapClientConn(nc net.Conn) *clientConn {
	for {
		switch c := nc.(type) {
		case *clientConn:
			return c
		case interface{ NetConn() net.Conn }: // TLS
			nc = c.NetConn()
		case interface{ Raw() net.Conn }: // the PROXY protocol
			nc = c.Raw()
		default:
			return nil
		}
	}
}
