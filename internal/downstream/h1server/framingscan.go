package h1server

import (
	"bytes"
	"sync/atomic"
)

// framingScan finds the header lines that frame a message (RFC 9112, 6) in the bytes of a connection, since net/http
// removes some of them. It also counts lines of bodies that look like such header lines, so the counts may be too high
// but never too low.
type framingScan struct {
	lineStart       [len("transfer-encoding") + 1]byte // first bytes of the line that is being read
	lineStartLength int                                // bytes used of lineStart

	// Numbers of Content-Length and Transfer-Encoding lines in all bytes of the connection so far.
	contentLengths    atomic.Int32
	transferEncodings atomic.Int32

	// The fields below describe the request that is being read.
	headerLines    int
	headerComplete bool
	announcesBody  bool // the header so far has a framing field

	// fieldLines counts the lines of a header from expectHeader on. inHeader says that the bytes that are read belong to
	// the header, as far as it was not read before expectHeader.
	fieldLines int
	inHeader   bool
	http2      bool // the connection began with the preface of HTTP/2, so that its bytes are frames
}

// http2PrefaceLine is the first line of a connection on which a client begins HTTP/2 in clear text (RFC 9113, 3.4).
var http2PrefaceLine = []byte("PRI * HTTP/2.0")

// expectHeader makes the scan count the lines of a header, which begins with the next byte or has begun with bytes that
// were read before.
func (s *framingScan) expectHeader() { s.fieldLines, s.inHeader = 0, !s.http2 }

// completeWithoutBody reports whether the header of the request that is being read is complete and announces no body. The
// preface of HTTP/2 is no request.
func (s *framingScan) completeWithoutBody() bool {
	return s.headerComplete && !s.announcesBody && !s.http2
}

// startRequest makes the scan expect the header of the next request.
func (s *framingScan) startRequest() {
	s.headerLines, s.headerComplete, s.announcesBody = 0, false, false
	s.inHeader = false
}

// scan processes the next bytes of the connection.
func (s *framingScan) scan(p []byte) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		s.lineStartLength += copy(s.lineStart[s.lineStartLength:], line)
		if end < 0 {
			return
		}
		s.endLine()
		p = p[end+1:]
	}
}

// endLine evaluates the line that has just ended.
func (s *framingScan) endLine() {
	if s.headerLines == 0 && bytes.HasPrefix(s.lineStart[:s.lineStartLength], http2PrefaceLine) {
		s.http2, s.inHeader = true, false
	}
	if s.inHeader {
		s.fieldLines++
	}
	name, _, _ := bytes.Cut(s.lineStart[:s.lineStartLength], []byte(":"))
	switch name = bytes.TrimRight(name, " \t\r"); {
	case bytes.EqualFold(name, []byte("content-length")):
		s.contentLengths.Add(1)
		s.announcesBody = s.announcesBody || !s.headerComplete
	case bytes.EqualFold(name, []byte("transfer-encoding")):
		s.transferEncodings.Add(1)
		s.announcesBody = s.announcesBody || !s.headerComplete
	case len(name) == 0 && s.headerLines > 0: // empty lines before a request are ignored (RFC 9112, 2.2)
		s.headerComplete, s.inHeader = true, false
	}
	s.headerLines++
	s.lineStartLength = 0
}
