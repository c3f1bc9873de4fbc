package h1client

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"yokestall/internal/engine"
	"yokestall/policy"
)

// receive reads the answer.
func (u *Pool) receive(c *conn, o *Request, up *sending) (engine.Result, bool) {
	c.budget = maxAnswer
	req := &http.Request{Method: o.Method} // whether an answer has a body depends on it
	resp, err := c.answer(req)
	for n := 0; err == nil && resp.StatusCode/100 == 1; n++ {
		if resp.StatusCode == http.StatusSwitchingProtocols && o.Upgrade != "" && strings.EqualFold(resp.Header.Get("Upgrade"), o.Upgrade) {
			c.limit(false)
			return engine.Result{Status: policy.OK, Answer: &Answer{
				Status: resp.StatusCode, Header: EndToEndHeader(resp.Header), Upgrade: o.Upgrade, Tunnel: &tunnel{pool: u, conn: c},
			}}, false
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || n == maxInterim {
			return engine.Result{Status: policy.ErrorResponse}, false
		}
		c.limit(false)
		resp, err = c.answer(req)
	}
	if err != nil {
		return engine.Result{Status: c.broken()}, false
	}
	head := o.Method == http.MethodHead
	if resp.ContentLength > MaxBody && !head { // not even looked at: it may have gigabytes
		if u.anyAnswer || u.large && resp.StatusCode == http.StatusOK {
			return u.streaming(c, o, resp, nil, nil, up), false
		}
		return engine.Result{Status: FailureStatus(resp)}, false
	}
	// The body is never closed, which would read it to its end; the connection is,
	// unless the body was read.
	var body []byte
	switch n := resp.ContentLength; {
	case head: // no body, whatever the head says of one
	case n >= 0 && len(resp.TransferEncoding) == 0:
		if n > int64(c.reader.Buffered()) {
			c.limit(true)
		}
		body = make([]byte, n)
		var got int
		if u.large {
			got, err = io.ReadFull(moving{resp.Body, c}, body)
		} else {
			got, err = io.ReadFull(resp.Body, body)
		}
		body = body[:got]
	case u.large:
		if body, err = io.ReadAll(io.LimitReader(moving{resp.Body, c}, MaxBody+1)); len(body) > MaxBody && resp.StatusCode == http.StatusOK {
			return u.streaming(c, o, resp, body, nil, up), false
		}
	case u.anyAnswer:
		var whole bool
		if body, whole, err = c.atHand(resp.Body); err == nil && !whole {
			return u.streaming(c, o, resp, body, nil, up), false
		}
	default:
		c.limit(true)
		body, err = io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	}
	if u.anyAnswer && errors.Is(err, os.ErrDeadlineExceeded) { // slow to come, and its length is known
		return u.streaming(c, o, resp, body, err, up), false
	}
	switch {
	case err != nil:
		return engine.Result{Status: c.broken()}, false
	case len(body) > MaxBody && !u.anyAnswer: // by 4 KB at most else
		return engine.Result{Status: policy.ErrorResponse}, false
	case head, u.anyAnswer && resp.Close && c.ended == io.EOF:
	case u.large && c.ended == io.EOF && !c.untold(resp):
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return engine.Result{Status: policy.Reset}, false // ends with the connection: nothing tells that it is whole
	}
	c.limit(false)
	keep := !resp.Close && c.reader.Buffered() == 0 // more than the answer: out of step
	if resp.StatusCode != http.StatusOK && !u.anyAnswer {
		return engine.Result{Status: FailureStatus(resp)}, keep
	}
	out := engine.Result{Status: policy.OK, Answer: &Answer{
		Status: resp.StatusCode, Header: EndToEndHeader(resp.Header), Body: body, Length: resp.ContentLength, Trailer: resp.Trailer,
	}}
	if resp.StatusCode >= 500 {
		out.Status = FailureStatus(resp)
	}
	return out, keep
}

// untold tells of an answer over HTTP/1.1 with neither a length nor chunks that does not say either that it
// ends with its connection (RFC 9112, 6.3): its length may have been lost on the way, and its end too.
func (c *conn) untold(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !c.saidClose && resp.ProtoAtLeast(1, 1)
}

// moving reads a body whose every part has to come within AnswerSpan, however long the whole takes.
type moving struct {
	io.Reader
	conn *conn
}

// Read implements io.Reader.
func (m moving) Read(p []byte) (int, error) {
	m.conn.budget = maxAnswer // bounds what one look may read, not the whole
	if m.conn.reader.Buffered() == 0 {
		m.conn.SetReadDeadline(time.Now().Add(AnswerTransferTimeout))
		m.conn.limited = true
	}
	return m.Reader.Read(p)
}

// saysClose tells whether a server says that the connection ends with its answer (RFC 9112, 9.6),
// by the raw head: net/http takes the field away, and an answer whose length was lost on its way
// looks the same to it.
func saysClose(head []byte) bool {
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(bytes.TrimSpace(name), []byte("Connection")) {
			continue
		}
		for token := range bytes.SplitSeq(value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(token), []byte("close")) {
				return true
			}
		}
	}
	return false
}

// FailureStatus tells what an answer that does not serve its request says of the attempt.
func FailureStatus(resp *http.Response) policy.Status {
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1" {
		return policy.Rejected
	}
	return policy.ErrorResponse
}

// atHand reads what has come of a body of no known length, and tells whether that is all.
// To wait for more would hold back a stream that pauses.
func (c *conn) atHand(from io.Reader) (body []byte, whole bool, err error) {
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

// limit has what is still to be read come within AnswerSpan, or within no time.
func (c *conn) limit(on bool) {
	switch {
	case on && !c.limited:
		c.SetReadDeadline(time.Now().Add(AnswerTransferTimeout))
	case !on && c.limited:
		c.SetReadDeadline(time.Time{})
	}
	c.limited = on
}

var headEnd = []byte("\r\n\r\n")

// answer reads the head of an answer. A server may think for as long as the
// request has; but once it speaks, the whole answer has to follow soon. One that
// was spoilt leaves its connection open and says no more: to wait for the rest
// would take the time of a further attempt.
func (c *conn) answer(req *http.Request) (*http.Response, error) {
	_, err := c.reader.Peek(1)
	if err != nil {
		return nil, err
	}
	if here, _ := c.reader.Peek(c.reader.Buffered()); !bytes.Contains(here, headEnd) {
		c.limit(true) // there is more to come
	}
	start, err := c.reader.Peek(len(answerStart))
	if err != nil {
		return nil, err
	}
	if string(start) != answerStart {
		return nil, errNoAnswer // which need not even end its line
	}
	here, _ := c.reader.Peek(c.reader.Buffered())
	for end := bytes.Index(here, headEnd); ; end = bytes.Index(here, headEnd) {
		if end >= 0 {
			c.saidClose = saysClose(here[:end])
			break
		}
		c.SetReadDeadline(time.Now().Add(AnswerTransferTimeout)) // a head may come in pieces, so long as it moves
		c.limited = true
		if _, err := c.reader.Peek(len(here) + 1); err != nil { // also of a head that is longer than the buffer
			c.saidClose = false
			break
		}
		here, _ = c.reader.Peek(c.reader.Buffered())
	}
	return http.ReadResponse(c.reader, req)
}

// broken tells a connection that ended from an answer that makes no sense.
func (c *conn) broken() policy.Status {
	if c.ended != nil && !errors.Is(c.ended, os.ErrDeadlineExceeded) {
		return policy.Reset
	}
	return policy.ErrorResponse
}
