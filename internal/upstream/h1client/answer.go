package h1client

// Reading an answer: as a whole where it is short and arrives soon, otherwise its body follows as a stream. An answer
// that is incomplete must never be taken for a complete one.

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"yokestall/internal/engine"
	"yokestall/policy"
)

const (
	// MaxBody is the length up to which an answer's body is read as a whole, in bytes, and the default buffer of an
	// Upload.
	MaxBody = 64 << 10
	// maxAnswerBytes limits an answer with head and framing, or one part of a stream.
	maxAnswerBytes = MaxBody + 64<<10
	// AnswerTransferTimeout is the longest time from an answer's first byte to its last.
	AnswerTransferTimeout = 150 * time.Millisecond
)

// Answer is an endpoint's answer. Whoever gets it closes it unless its Stream or Tunnel is used.
type Answer struct {
	Status int         // 200, unless Options.AnyStatus is set
	Header http.Header // end-to-end fields
	Body   []byte
	// Length is the length in the head of an answer to a HEAD request (RFC 9110, 9.3.2), or of the stream, in bytes;
	// -1: not known.
	Length int64
	Stream Stream // in place of Body; nil: Body is complete
	// Tunnel is the connection to the endpoint after an upgrade (status 101) to the protocol Upgrade; nil: none.
	Tunnel  net.Conn
	Upgrade string
	// Trailer are the fields behind the body (RFC 9110, 6.5); nil: none. Those of a stream are in Stream.Trailer.
	Trailer http.Header
}

// Close closes an answer's stream or tunnel that is not used.
func (a *Answer) Close() error {
	switch {
	case a.Stream != nil:
		return a.Stream.Close()
	case a.Tunnel != nil:
		return a.Tunnel.Close()
	}
	return nil
}

// FailureStatus returns the status of an attempt whose answer does not serve the request.
func FailureStatus(resp *http.Response) policy.Status {
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1" {
		return policy.Rejected
	}
	return policy.ErrorResponse
}

// readAnswer reads the answer to a request. sender writes the request's upload; nil: there is none. reusable reports
// whether the connection can serve a further request.
func (p *Pool) readAnswer(c *conn, r *Request, sender *uploadSender) (result engine.Result, reusable bool) {
	c.readBudget = maxAnswerBytes
	resp, err := c.readFinalHead(r)
	switch {
	case errors.Is(err, errUnexpectedInterim):
		return engine.Result{Status: policy.ErrorResponse}, false
	case err != nil:
		return engine.Result{Status: c.readFailure()}, false
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return engine.Result{Status: policy.OK, Answer: &Answer{
			Status: resp.StatusCode, Header: EndToEndHeader(resp.Header),
			Upgrade: r.Upgrade, Tunnel: &tunnel{pool: p, conn: c},
		}}, false
	}
	noBody := r.Method == http.MethodHead // whatever the head says of one
	if resp.ContentLength > MaxBody && !noBody {
		if p.anyStatus || p.streamLargeBodies && resp.StatusCode == http.StatusOK {
			return p.streamAnswer(c, r, resp, nil, sender), false
		}
		return engine.Result{Status: FailureStatus(resp)}, false
	}
	body, streams, err := p.readBody(c, resp, noBody)
	if streams {
		return p.streamAnswer(c, r, resp, body, sender), false
	}
	return p.completeAnswer(c, resp, body, err, noBody)
}

// readBody reads a body as far as it is not to follow as a stream: then it returns its beginning, and streams is true.
// resp.Body is never closed, which would read it to its end; the connection is, unless the body was read.
func (p *Pool) readBody(c *conn, resp *http.Response, noBody bool) (body []byte, streams bool, err error) {
	switch length := resp.ContentLength; {
	case noBody:
	case length >= 0 && len(resp.TransferEncoding) == 0:
		body, err = p.readKnownLength(c, resp, length)
	case p.streamLargeBodies:
		body, err = io.ReadAll(io.LimitReader(progressReader{resp.Body, c}, MaxBody+1))
		if len(body) > MaxBody && resp.StatusCode == http.StatusOK {
			return body, true, nil
		}
	case p.anyStatus:
		var complete bool
		if body, complete, err = c.readBuffered(resp.Body); err == nil && !complete {
			return body, true, nil
		}
	default:
		c.limitTransfer(true)
		body, err = io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	}
	return body, p.anyStatus && errors.Is(err, os.ErrDeadlineExceeded), err
}

// readKnownLength reads a body of length bytes. With an error it returns what was read.
func (p *Pool) readKnownLength(c *conn, resp *http.Response, length int64) ([]byte, error) {
	if length > int64(c.reader.Buffered()) {
		c.limitTransfer(true)
	}
	var from io.Reader = resp.Body
	if p.streamLargeBodies {
		from = progressReader{resp.Body, c}
	}
	body := make([]byte, length)
	n, err := io.ReadFull(from, body)
	return body[:n], err
}

// completeAnswer returns the result of an answer whose body was read, or whose reading ended with err.
func (p *Pool) completeAnswer(
	c *conn, resp *http.Response, body []byte, err error, noBody bool,
) (result engine.Result, reusable bool) {
	switch {
	case err != nil:
		return engine.Result{Status: c.readFailure()}, false
	case len(body) > MaxBody && !p.anyStatus: // with anyStatus by one read of readBuffered at most
		return engine.Result{Status: policy.ErrorResponse}, false
	case !noBody && !p.endIsMarked(c, resp):
		return engine.Result{Status: policy.Reset}, false
	}
	c.limitTransfer(false)
	reusable = !resp.Close && c.reader.Buffered() == 0 // no bytes behind the answer
	if resp.StatusCode != http.StatusOK && !p.anyStatus {
		return engine.Result{Status: FailureStatus(resp)}, reusable
	}
	result = engine.Result{Status: policy.OK, Answer: &Answer{
		Status: resp.StatusCode, Header: EndToEndHeader(resp.Header),
		Body: body, Length: resp.ContentLength, Trailer: resp.Trailer,
	}}
	if resp.StatusCode >= 500 {
		result.Status = FailureStatus(resp)
	}
	return result, reusable
}

// endIsMarked reports whether the body that was read is known to be complete: by its length or chunks, or because its
// head says that it ends with the connection.
func (p *Pool) endIsMarked(c *conn, resp *http.Response) bool {
	switch {
	case resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0:
		return true
	case p.anyStatus && resp.Close && c.readErr == io.EOF:
		return true
	case p.streamLargeBodies && c.readErr == io.EOF:
		return !c.lacksFraming(resp)
	}
	return false
}

// lacksFraming reports whether an HTTP/1.1 answer has neither a length nor chunks, and does not announce that it ends
// with its connection (RFC 9112, 6.3): its length may have been lost on the way, and its end too.
func (c *conn) lacksFraming(resp *http.Response) bool {
	unknownLength := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return unknownLength && !c.announcedClose && resp.ProtoAtLeast(1, 1)
}

// readBuffered reads what has arrived of a body of unknown length, and reports whether that is all. Waiting for more
// would delay a stream that pauses.
func (c *conn) readBuffered(from io.Reader) (body []byte, complete bool, err error) {
	part := make([]byte, 4<<10)
	for c.reader.Buffered() > 0 && len(body) <= MaxBody {
		n, err := from.Read(part)
		body = append(body, part[:n]...)
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// progressReader reads a body of which each part must arrive within AnswerTransferTimeout, whatever time all of it
// takes.
type progressReader struct {
	io.Reader
	conn *conn
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	p.conn.readBudget = maxAnswerBytes // limits one Read, not the body
	if p.conn.reader.Buffered() == 0 {
		p.conn.extendTransferLimit()
	}
	return p.Reader.Read(b)
}

// readFailure returns the status for an answer whose reading failed: Reset if the connection ended, ErrorResponse if
// the answer is invalid or too slow.
func (c *conn) readFailure() policy.Status {
	if c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		return policy.Reset
	}
	return policy.ErrorResponse
}
