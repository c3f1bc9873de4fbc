package h1server

// This file closes connections whose client may still be sending. A request may be answered before the end of its body: it is
// rejected, its endpoint answers early, or it fails. If the connection was closed then, TCP would reset it because of the bytes
// that nobody reads, and the client could lose the answer (RFC 9112, 9.6). So the sending side is closed first, and what comes is
// dropped, within limits.

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// lingerPause is how long a client may pause while its connection lingers, and how long the connection of a client that sends
	// more slowly than minPlatformUploadRate lingers.
	lingerPause = 3 * time.Second
	// shortLinger is how long a connection lingers where another client wants its place.
	shortLinger = 500 * time.Millisecond
	// lingerCheckInterval is how often that is looked for.
	lingerCheckInterval = 100 * time.Millisecond
	// maxLingerBytes is the most that is dropped.
	maxLingerBytes = 64 << 20
	// lingerBufferBytes is the memory that a lingering connection reads into.
	lingerBufferBytes = 4 << 10
)

// watchedBody is a request's body that tells its connection when it was read to its end.
type watchedBody struct {
	io.ReadCloser
	conn      *clientConn
	remaining int64 // bytes that are not read yet; negative if the length is not known
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.conn.bodyReadBegins()
	n, err := b.ReadCloser.Read(p)
	b.conn.bodyReadEnds()
	if b.remaining > 0 {
		b.remaining -= int64(n)
	}
	if err == io.EOF || b.remaining == 0 {
		b.conn.bodyUnread.Store(false)
	}
	return n, err
}

// watchBody makes the connection linger if the request's body was not read to its end when the handler has answered it. The
// answer is then sent at once, without net/http's reading the body first.
func (c *clientConn) watchBody(w http.ResponseWriter, r *http.Request) {
	if c == nil || r.ProtoMajor != 1 || r.ContentLength == 0 {
		return
	}
	c.bodyUnread.Store(true)
	r.Body = &watchedBody{r.Body, c, r.ContentLength}
	http.NewResponseController(w).EnableFullDuplex()
}

// answered records that the handler has answered the open request.
func (c *clientConn) answered() {
	if c != nil {
		c.lingers.Store(c.bodyUnread.Load())
	}
}

// linger closes the sending side of the connection, drops what the client still sends, and closes the connection.
func (c *clientConn) linger() {
	defer c.closeNow()
	if c.CloseWrite() != nil {
		return
	}
	start, lastByte, dropped := time.Now(), time.Now(), int64(0)
	var buffer [lingerBufferBytes]byte
	for dropped < maxLingerBytes {
		now := time.Now()
		if cause := c.endsLinger(now.Sub(start), now.Sub(lastByte), dropped); cause != "" {
			c.logLinger(dropped, cause)
			return
		}
		c.Conn.SetReadDeadline(now.Add(lingerCheckInterval))
		n, err := c.Conn.Read(buffer[:])
		dropped += int64(n)
		switch {
		case n > 0:
			lastByte = time.Now()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return
		}
	}
}

// endsLinger returns why a connection that has lingered for a time, the last part of it without a byte, is closed. The result is
// empty if it goes on.
func (c *clientConn) endsLinger(lingered, silent time.Duration, dropped int64) (cause string) {
	switch {
	case silent > lingerPause:
		return "the client sends nothing"
	case lingered > lingerPause+time.Duration(dropped)*time.Second/minPlatformUploadRate:
		return "the client sends too slowly"
	case lingered > shortLinger && c.mustFreePlace():
		return "another client wants the place"
	}
	return ""
}

// logLinger logs that a lingering connection is closed.
func (c *clientConn) logLinger(dropped int64, cause string) {
	if c.conns.events != nil {
		c.conns.events.lingerEnded(c.RemoteAddr().String(), dropped, cause)
	}
}
