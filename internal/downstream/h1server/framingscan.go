package h1server

import (
	"bytes"
	"sync/atomic"
)

// framingScan finds the header lines that frame a message (RFC 9112, 6) in the bytes of a connection, since net/http
// removes some of them. Lines of bodies that look like one count too: a scan may find too many, never too few.
type framingScan struct {
	lineStart       [len("transfer-encoding") + 1]byte // of the line that is being read
	lineStartLength int

	// Lines of all requests so far.
	contentLengths    atomic.Int32
	transferEncodings atomic.Int32

	// State of the request that is being read.
	headerLines    int
	headerComplete bool
	announcesBody  bool // its header so far has a framing field
}

// completeWithoutBody reports whether the request that is being read is complete at the end of its header.
func (s *framingScan) completeWithoutBody() bool { return s.headerComplete && !s.announcesBody }

// startRequest has the scan expect the next request's header.
func (s *framingScan) startRequest() {
	s.headerLines, s.headerComplete, s.announcesBody = 0, false, false
}

// scan goes on with the next bytes of the connection.
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

// endLine evaluates the line that has come to its end.
func (s *framingScan) endLine() {
	name, _, _ := bytes.Cut(s.lineStart[:s.lineStartLength], []byte(":"))
	switch name = bytes.TrimRight(name, " \t\r"); {
	case bytes.EqualFold(name, []byte("content-length")):
		s.contentLengths.Add(1)
		s.announcesBody = s.announcesBody || !s.headerComplete
	case bytes.EqualFold(name, []byte("transfer-encoding")):
		s.transferEncodings.Add(1)
		s.announcesBody = s.announcesBody || !s.headerComplete
	case len(name) == 0 && s.headerLines > 0: // empty lines before a request are ignored (RFC 9112, 2.2)
		s.headerComplete = true
	}
	s.headerLines++
	s.lineStartLength = 0
}
