package h1client

import (
	"io"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/policy"
)

// DefaultStallTimeout is the default of StreamLimits.StallTimeout. An event stream without events for longer sends
// comments, as HTML's server-sent events advise every 15 s or so.
const DefaultStallTimeout = time.Minute

// StreamLimits limit bodies that are forwarded while they arrive, and upgraded connections. 0 is no limit, except for
// StallTimeout.
type StreamLimits struct {
	// StallTimeout is how long an endpoint may send nothing, or read nothing of an upload; 0: DefaultStallTimeout.
	StallTimeout time.Duration
	MaxDuration  time.Duration // from the answer's head
	DrainTimeout time.Duration // from the update that the endpoint drains or is removed
}

// Stream is the body of an answer that is forwarded while it arrives. Its owner closes it once, at any time; its
// connection or HTTP/2 stream is in use until then.
//
// Read returns io.EOF at the body's end. After any other error what was read must not be taken for the complete body.
type Stream interface {
	io.ReadCloser
	// Abort has a Read in progress, and all later ones, return an error.
	Abort()
	// Trailer returns the fields behind the body once Read has returned io.EOF; nil: none.
	Trailer() http.Header
}

// stream is a Stream over HTTP/1.1.
type stream struct {
	pool         *Pool
	conn         *conn
	stallTimeout time.Duration
	resp         *http.Response
	start        []byte        // of the body, already read
	sender       *uploadSender // of the request's upload, which goes on beside; nil: none
	reusable     bool          // the connection can serve a further request after the body's end
	// lacksFraming has the end of the connection count as an error: it may be the end of a part (conn.lacksFraming).
	lacksFraming bool
	closeOnce    sync.Once
	ended        bool // the body was read to its end
}

var _ Stream = (*stream)(nil)

// streamAnswer returns the result of an answer whose body follows as a stream, behind start. The stream owns the
// connection. A failure, from status 500 on, is returned without its body.
func (p *Pool) streamAnswer(
	c *conn, r *Request, resp *http.Response, start []byte, sender *uploadSender,
) engine.Result {
	a := &Answer{Status: resp.StatusCode, Header: EndToEndHeader(resp.Header)}
	if resp.StatusCode >= 500 {
		a.Length = -1
		return engine.Result{Status: FailureStatus(resp), Answer: a}
	}
	c.limitTransfer(false)
	a.Length = resp.ContentLength
	a.Stream = &stream{
		pool: p, conn: c, stallTimeout: r.StallTimeout(), resp: resp, start: start, sender: sender,
		reusable: !resp.Close, lacksFraming: !p.anyStatus && c.lacksFraming(resp),
	}
	return engine.Result{Status: policy.OK, Answer: a}
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
	s.conn.readBudget = maxAnswerBytes // limits one Read, not the body
	s.conn.SetReadDeadline(time.Now().Add(s.stallTimeout))
	n, err := s.resp.Body.Read(p)
	switch {
	case err == io.EOF && s.lacksFraming:
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

// Close releases the connection, which is closed unless the body was read to its end.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		uploaded := s.sender.stop(s.conn)
		s.conn.SetReadDeadline(time.Time{})
		s.conn.transferLimit = false
		s.pool.release(s.conn, s.ended && uploaded && s.reusable && s.conn.reader.Buffered() == 0)
	})
	return nil
}
