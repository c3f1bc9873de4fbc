package h1client

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/policy"
)

// DefaultStallTimeout is how long a server may leave a stream with nothing to read, unless the
// request's class says otherwise. An event stream
// that has nothing to say for longer sends a comment, as HTML's server-sent events advise
// every 15 seconds or so.
const DefaultStallTimeout = time.Minute

// Stream is the body of an answer that is passed on while it comes. Whoever has it closes
// it, once, at whatever time; what carries it is held until then.
//
// Of Read, io.EOF is the body's end; any other error tells that the rest will not come, and
// that the part that did must not be taken for the whole.
type Stream interface {
	io.ReadCloser
	// Abort has a Read that waits, and all later ones, end with an error.
	Abort()
	// Trailer gives the fields behind the body once Read has given io.EOF; nil: none.
	Trailer() http.Header
}

// stream is one over HTTP/1.1.
type stream struct {
	pool  *Pool
	conn  *conn
	stall time.Duration
	resp  *http.Response
	start []byte // read already
	body  io.Reader
	up    *sending // the request's body, which goes on beside; nil: it is through
	keep  bool     // the connection may be used again after the body's end
	close sync.Once
	ended bool // the body was read to its end
	// untold: nothing said where the body ends. The connection's end may be a part's (see receive).
	untold bool
}

// Read implements Stream.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.start) > 0 {
		n := copy(p, s.start)
		s.start = s.start[n:]
		return n, nil
	}
	if s.ended {
		return 0, io.EOF
	}
	s.conn.budget = maxAnswer // bounds what one look may read, not the whole
	s.conn.SetReadDeadline(time.Now().Add(s.stall))
	n, err := s.body.Read(p)
	switch {
	case err == io.EOF && s.untold:
		return n, io.ErrUnexpectedEOF
	case err == io.EOF:
		s.ended = true
	}
	return n, err
}

// Abort implements Stream.
func (s *stream) Abort() { s.conn.Conn.Close() }

// Trailer implements Stream.
func (s *stream) Trailer() http.Header { return s.resp.Trailer }

// Close gives the connection back where the body was read to its end, and ends it else.
func (s *stream) Close() error {
	s.close.Do(func() {
		whole := s.up.stop(s.conn)
		s.conn.SetReadDeadline(time.Time{})
		s.conn.limited = false
		s.pool.put(s.conn, s.ended && whole && s.keep && s.conn.reader.Buffered() == 0)
	})
	return nil
}

// streaming is the outcome of an answer whose body is not whole yet: start is what was
// read of it, err why no more was. The connection is the answer's from then on.
func (u *Pool) streaming(c *conn, o *Request, resp *http.Response, start []byte, err error, up *sending) engine.Result {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return engine.Result{Status: c.broken()}
	}
	if resp.StatusCode >= 500 { // not worth a connection: it is what is said where nothing better comes
		return engine.Result{Status: FailureStatus(resp), Answer: &Answer{Status: resp.StatusCode, Header: EndToEndHeader(resp.Header), Length: -1}}
	}
	c.limit(false)
	return engine.Result{Status: policy.OK, Answer: &Answer{
		Status: resp.StatusCode, Header: EndToEndHeader(resp.Header), Length: resp.ContentLength,
		Stream: &stream{pool: u, conn: c, stall: o.StallTimeout(), resp: resp, start: start, body: resp.Body, up: up, keep: !resp.Close,
			untold: !u.anyAnswer && c.untold(resp)},
	}}
}
