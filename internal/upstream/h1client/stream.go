package h1client

import (
	"io"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/policy"
)

// DefaultStallTimeout is the default of StreamLimits.StallTimeout. It does not interrupt an event stream that has no events
// for longer, provided that the stream sends comments, as the HTML standard advises for server-sent events (about every
// 15 s).
const DefaultStallTimeout = time.Minute

// StreamLimits holds the time limits of bodies that are forwarded while they arrive, and of upgraded connections. A value of
// 0 means no limit, except for StallTimeout.
type StreamLimits struct {
	// StallTimeout is how long an endpoint may send no data, or read no data of an upload; 0 means DefaultStallTimeout.
	StallTimeout time.Duration
	MaxDuration  time.Duration // maximum duration, from the answer's head on
	DrainTimeout time.Duration // maximum duration after the endpoint update that makes the endpoint draining or removed
}

// Stream is the body of an answer that is forwarded while it arrives. The owner of a Stream must close it once, at any time.
// Until then, the connection or HTTP/2 stream remains in use.
//
// Read returns io.EOF at the end of the body. After any other error, the body is incomplete.
type Stream interface {
	io.ReadCloser
	// Abort makes a Read in progress and all later ones return an error.
	Abort()
	// Trailer returns the trailer fields after the body, or nil if there are none. It is valid once Read has returned
	// io.EOF.
	Trailer() http.Header
}

// stream is a Stream over HTTP/1.1.
type stream struct {
	pool         *Pool
	conn         *conn
	stallTimeout time.Duration
	resp         *http.Response
	source       io.Reader     // the rest of the body
	prefix       []byte        // beginning of the body that was read before; Read returns it first
	sender       *uploadSender // writes the rest of the request's upload; nil if the request has none
	reusable     bool          // the connection can serve a further request after the body's end
	// lacksFraming makes the end of the connection an error, because the body may be truncated (see conn.lacksFraming).
	lacksFraming bool
	closeOnce    sync.Once
	ended        bool // the body was read to its end
}

var _ Stream = (*stream)(nil)

// streamAnswer returns the result for an answer whose body is returned as a stream. The stream begins with prefix, the part
// of the body that was read from source before, and owns the connection. An answer with a status of 500 or more is returned
// without its body and without a stream.
func (p *Pool) streamAnswer(
	c *conn, r *Request, resp *http.Response, source io.Reader, prefix []byte, sender *uploadSender,
) engine.Result {
	a := &Answer{Status: resp.StatusCode, Header: EndToEndHeader(resp.Header)}
	if resp.StatusCode >= 500 {
		a.Length = -1
		return engine.Result{Status: FailureStatus(resp), Answer: a}
	}
	c.setTransferDeadline(false)
	a.Length = resp.ContentLength
	body := &stream{
		pool: p, conn: c, stallTimeout: r.StallTimeout(), resp: resp, source: source, prefix: prefix, sender: sender,
		reusable: !resp.Close, lacksFraming: !p.anyStatus && c.lacksFraming(resp),
	}
	a.Stream = body
	return engine.Result{Status: policy.OK, Answer: a}
}

// Read implements Stream.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	if s.ended {
		return 0, io.EOF
	}
	s.conn.readBudget = maxAnswerBytes // per Read, not per body
	s.conn.SetReadDeadline(time.Now().Add(s.stallTimeout))
	n, err := s.source.Read(p)
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

// Close stops the upload and releases the connection. The connection is reused only if the body was read to its end and the
// upload was written to its end.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		uploaded := s.sender.stop(s.conn)
		s.conn.SetReadDeadline(time.Time{})
		s.conn.transferDeadlineSet = false
		s.pool.release(s.conn, s.ended && uploaded && s.reusable && s.conn.reader.Buffered() == 0)
	})
	return nil
}
