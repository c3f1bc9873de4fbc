package h1client

// This file reads the endpoints' answers. A short answer that arrives in time is read as a whole; the body of any other
// answer is returned as a Stream. An incomplete answer must never be taken for a complete one.

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
	// MaxBody is the maximum length, in bytes, of an answer's body that is read as a whole. It is also the default size
	// of an Upload's buffer.
	MaxBody = 64 << 10
	// maxAnswerBytes is the maximum size of an answer that is read as a whole, including its heads and its framing. For
	// a body that may be longer, the limit applies to each single Read.
	maxAnswerBytes = MaxBody + 64<<10
	// AnswerTransferTimeout is how long an answer that has begun may send nothing before that is a pause. It starts again
	// whenever data of an unfinished head arrives, and with Options.StreamLargeBodies also whenever data of the body
	// arrives. A pause in the head, and with Options.StreamLargeBodies in the body of an answer with status 200, is
	// reported to the attempt (engine.Call.ReportStall) and the answer is waited for; any other pause ends the attempt or,
	// with Options.AnyStatus, makes the body a Stream.
	AnswerTransferTimeout = 150 * time.Millisecond
)

// Answer is an endpoint's HTTP response. Its receiver must either close it or take over its Stream or Tunnel.
type Answer struct {
	Status int         // 200, or 101 after an upgrade; any status with Options.AnyStatus
	Header http.Header // end-to-end fields
	Body   []byte
	// Length is the length of the body in bytes as the head states it, or -1 if it is not known. The answer to a HEAD
	// request may have a Length although it has no body (RFC 9110, 9.3.2).
	Length int64
	Stream Stream // replaces Body; nil if Body is complete
	// Tunnel is the connection to the endpoint after an upgrade (status 101); nil if there was no upgrade.
	Tunnel  net.Conn
	Upgrade string // protocol of Tunnel
	// Trailer holds the trailer fields after Body (RFC 9110, 6.5); nil if there are none. The trailer fields of a stream
	// are returned by Stream.Trailer.
	Trailer http.Header
}

// Close closes the answer's stream or tunnel, if it has one.
func (a *Answer) Close() error {
	switch {
	case a.Stream != nil:
		return a.Stream.Close()
	case a.Tunnel != nil:
		return a.Tunnel.Close()
	}
	return nil
}

var _ engine.Refuser = (*Answer)(nil)

// notProcessed is the header field, with the value 1, by which an endpoint states that it did not process the request.
const notProcessed = "X-Not-Processed"

// Refuses implements engine.Refuser. By the platform's protocol, a client may send a request again after status 429 or
// 503, and a proxy may after status 504 with X-Not-Processed: 1.
func (a *Answer) Refuses() bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	case http.StatusGatewayTimeout:
		return a.Header.Get(notProcessed) == "1"
	}
	return false
}

// FailureStatus returns the status of an attempt whose answer is a failure: policy.Rejected if the endpoint states, with
// status 503 or 504 and X-Not-Processed: 1, that it did not process the request, and policy.ErrorResponse otherwise.
func FailureStatus(resp *http.Response) policy.Status {
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(notProcessed) == "1" {
		return policy.Rejected
	}
	return policy.ErrorResponse
}

// readAnswer reads the answer to a request. sender writes the request's upload; it is nil if there is no upload. reusable
// reports whether the connection can serve a further request.
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
	if !p.streamLargeBodies || resp.StatusCode != http.StatusOK {
		c.call = nil
	}
	noBody := r.Method == http.MethodHead // even if the head states a length
	if resp.ContentLength > MaxBody && !noBody {
		return p.readLongAnswer(c, r, resp, sender), false
	}
	source := c.bodyOf(resp)
	body, streams, err := p.readBody(c, resp, source, noBody)
	if streams {
		return p.streamAnswer(c, r, resp, source, body, sender), false
	}
	return p.completeAnswer(c, resp, body, err, noBody)
}

// readLongAnswer returns the result for an answer with a length of more than MaxBody. With Options.StreamLargeBodies, it
// waits for the first byte of the body: a client whose deadline applies to that byte must not depend on a head alone.
func (p *Pool) readLongAnswer(c *conn, r *Request, resp *http.Response, sender *uploadSender) engine.Result {
	switch {
	case p.anyStatus:
		return p.streamAnswer(c, r, resp, resp.Body, nil, sender)
	case !p.streamLargeBodies || resp.StatusCode != http.StatusOK:
		return engine.Result{Status: FailureStatus(resp)}
	}
	if err := c.awaitBody(); err != nil {
		return engine.Result{Status: c.readFailure()}
	}
	return p.streamAnswer(c, r, resp, resp.Body, nil, sender)
}

// readBody reads a body as a whole, or reports with streams that the body must be returned as a stream, after the
// beginning that readBody has read. It does not close resp.Body, because Close would read the body to its end; a connection
// whose answer was not read to its end is closed instead.
func (p *Pool) readBody(
	c *conn, resp *http.Response, source io.Reader, noBody bool,
) (body []byte, streams bool, err error) {
	switch length := resp.ContentLength; {
	case noBody:
	case length >= 0 && len(resp.TransferEncoding) == 0:
		body, err = p.readKnownLength(c, resp, length)
		return body, p.anyStatus && errors.Is(err, os.ErrDeadlineExceeded), err
	case p.streamLargeBodies && resp.StatusCode == http.StatusOK:
		return c.bufferBody(source)
	case p.streamLargeBodies:
		body, err = io.ReadAll(io.LimitReader(progressReader{source, c}, MaxBody+1))
	case p.anyStatus:
		var complete bool
		body, complete, err = c.readBuffered(source)
		return body, err == nil && !complete, err
	default:
		c.setTransferDeadline(true)
		body, err = io.ReadAll(io.LimitReader(source, MaxBody+1))
	}
	return body, false, err
}

// readKnownLength reads a body of length bytes. With an error, it returns the bytes that it has read.
func (p *Pool) readKnownLength(c *conn, resp *http.Response, length int64) ([]byte, error) {
	if length > int64(c.reader.Buffered()) {
		c.setTransferDeadline(true)
	}
	var source io.Reader = resp.Body
	if p.streamLargeBodies {
		source = progressReader{resp.Body, c}
	}
	body := make([]byte, length)
	n, err := io.ReadFull(source, body)
	return body[:n], err
}

// completeAnswer returns the result for an answer whose body was read as a whole, or for a body whose reading failed with
// err.
func (p *Pool) completeAnswer(
	c *conn, resp *http.Response, body []byte, err error, noBody bool,
) (result engine.Result, reusable bool) {
	switch {
	case err != nil:
		return engine.Result{Status: c.readFailure()}, false
	// With anyStatus, a complete body may exceed MaxBody by up to the 4 KiB that readBuffered reads at a time.
	case len(body) > MaxBody && !p.anyStatus:
		return engine.Result{Status: policy.ErrorResponse}, false
	case !noBody && !p.bodyEndConfirmed(c, resp):
		return engine.Result{Status: policy.Reset}, false
	}
	c.setTransferDeadline(false)
	reusable = !resp.Close && c.reader.Buffered() == 0 // no bytes follow the answer
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

// bodyEndConfirmed reports whether the body that was read is known to be complete: because it has a length or chunks, or
// because the end of the connection delimits it. With anyStatus, the end of the connection delimits every body without
// length and chunks; with streamLargeBodies, it does so only for an HTTP/1.0 answer or one that announced the close (see
// lacksFraming).
func (p *Pool) bodyEndConfirmed(c *conn, resp *http.Response) bool {
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

// lacksFraming reports whether an HTTP/1.1 answer has neither a length nor chunks and does not announce that the connection
// will be closed (RFC 9112, 6.3). Such an answer may have lost its length in transit, so it may be truncated as well.
func (c *conn) lacksFraming(resp *http.Response) bool {
	unknownLength := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return unknownLength && !c.announcedClose && resp.ProtoAtLeast(1, 1)
}

// readBuffered reads the part of a body of unknown length that is in the connection's read buffer, and reports whether it
// is the whole body. It does not wait for more data, because that would delay a stream that pauses.
func (c *conn) readBuffered(source io.Reader) (body []byte, complete bool, err error) {
	if c.reader.Buffered() == 0 {
		return nil, false, nil
	}
	c.SetReadDeadline(expiredDeadline)
	defer c.SetReadDeadline(time.Time{})
	piece := make([]byte, 4<<10)
	for len(body) <= MaxBody {
		n, err := source.Read(piece)
		body = append(body, piece[:n]...)
		switch {
		case err == io.EOF:
			return body, true, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return body, false, nil
		case err != nil:
			return body, false, err
		}
	}
	return body, false, nil
}

// progressReader reads the body of an answer and applies AnswerTransferTimeout to each read from the connection, so that
// the whole body may take longer.
type progressReader struct {
	io.Reader
	conn *conn
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	p.conn.readBudget = maxAnswerBytes // per Read, not per body
	if p.conn.reader.Buffered() == 0 {
		p.conn.extendTransferDeadline()
	}
	return p.Reader.Read(b)
}

// readFailure returns the status for an answer that could not be read: policy.Reset if the connection ended or failed, and
// policy.ErrorResponse if the answer is invalid, too large or too slow.
func (c *conn) readFailure() policy.Status {
	if c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		return policy.Reset
	}
	return policy.ErrorResponse
}
