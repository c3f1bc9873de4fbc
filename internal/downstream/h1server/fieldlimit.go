package h1server

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"yokestall/internal/ingress"
)

// maxFields limits the fields of a request's header, because net/http needs many times the bytes of a short field to
// store it. Clients and proxies send a few dozen.
const maxFields = 128

// errTooManyFields is the rejection of a request with more than maxFields fields.
var errTooManyFields = &ingress.Rejection{
	Status: http.StatusRequestHeaderFieldsTooLarge, Message: "the request has too many header fields",
}

// checkFields rejects a request with more than maxFields fields. Over HTTP/1 in clear text, such a header is already cut
// off while it is read.
func checkFields(r *http.Request) error {
	if len(r.Header) > maxFields || len(r.Trailer) > maxFields {
		return errTooManyFields
	}
	return nil
}

const (
	// tooManyFieldsResponse is the response to a header that is cut off.
	tooManyFieldsResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nContent-Length: 39\r\n\r\nthe request has too many header fields\n"
	// cutOffWriteTimeout is how long the client may take to accept tooManyFieldsResponse.
	cutOffWriteTimeout = 100 * time.Millisecond
	// cutOffDelay is how long a client waits for the response. It slows clients down that open one such connection after
	// the other, and is less than connlimit.PartialGrace, after which others may take the place.
	cutOffDelay = 100 * time.Millisecond
	// cutOffCheckInterval is how often the client's disconnect is looked for meanwhile.
	cutOffCheckInterval = 10 * time.Millisecond
	// maxDiscardAfterCutOff limits the bytes that are read and dropped before the connection is closed.
	maxDiscardAfterCutOff = 64 << 10
)

// cutOffHeader answers a header with too many fields that is still being read. The caller then ends the connection. What
// the client has sent already is dropped: TCP would reset a connection that is closed with unread bytes, and the client
// could lose the response. net/http would hold the connection, and its place, for longer.
func (c *clientConn) cutOffHeader() {
	if c.conns.events != nil {
		c.conns.events.headerCutOff(c.RemoteAddr().String())
	}
	for waited := time.Duration(0); waited < cutOffDelay; waited += cutOffCheckInterval {
		time.Sleep(cutOffCheckInterval)
		if c.clientEnded() {
			return
		}
	}
	c.Conn.SetWriteDeadline(time.Now().Add(cutOffWriteTimeout))
	io.WriteString(c.Conn, tooManyFieldsResponse)
	if c.rawConn == nil {
		return
	}
	c.rawConn.Control(func(fd uintptr) {
		var dropped [4 << 10]byte
		for total := 0; total < maxDiscardAfterCutOff; total += len(dropped) {
			if n, err := syscall.Read(int(fd), dropped[:]); n <= 0 || err != nil {
				return
			}
		}
	})
}
