package h1client

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// maxInterimResponses is the maximum number of interim (1xx) responses before the final one (RFC 9110, 15.2).
const maxInterimResponses = 8

// versionPrefix is the beginning of every HTTP/1 answer (RFC 9112, 4).
const versionPrefix = "HTTP/1."

var (
	headEnd = []byte("\r\n\r\n")

	errNotHTTP           = errors.New("h1client: the endpoint's answer does not begin with \"HTTP/1.\"")
	errUnexpectedInterim = errors.New("h1client: endpoint sent too many interim responses or an upgrade that was not requested")
)

// readFinalHead skips an answer's interim responses and reads the head of its final response. Status 101 is final if it
// upgrades to the protocol that the request asks for. The error is errUnexpectedInterim for too many interim responses or
// for any other status 101, and otherwise the error of reading.
func (c *conn) readFinalHead(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method} // the method decides whether the answer has a body
	resp, err := c.readHead(req)
	for n := 0; err == nil && resp.StatusCode/100 == 1; n++ {
		upgrades := resp.StatusCode == http.StatusSwitchingProtocols
		if upgrades && r.Upgrade != "" && strings.EqualFold(resp.Header.Get("Upgrade"), r.Upgrade) {
			c.setTransferDeadline(false)
			return resp, nil
		}
		if upgrades || n == maxInterimResponses {
			return nil, errUnexpectedInterim
		}
		c.setTransferDeadline(false)
		resp, err = c.readHead(req)
	}
	return resp, err
}

// readHead reads the head of an answer or of an interim response. The wait for the first byte has no timeout and ends
// at the latest when the call is stopped. After the first byte, a read that takes longer than AnswerTransferTimeout is a
// pause of the answer.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	first, err := c.reader.Peek(1)
	if err != nil {
		return nil, err
	}
	if first[0] != versionPrefix[0] {
		return nil, errNotHTTP
	}
	if !bytes.Contains(c.buffered(), headEnd) {
		c.setTransferDeadline(true)
	}
	start, err := c.reader.Peek(len(versionPrefix))
	if err != nil {
		return nil, err
	}
	if string(start) != versionPrefix {
		return nil, errNotHTTP // http.ReadResponse could wait for a line end that never comes
	}
	c.awaitHead()
	return http.ReadResponse(c.reader, req)
}

// awaitHead waits until the whole head is buffered, and sets announcedClose. If the head does not fit the buffer or does
// not arrive, awaitHead returns early; http.ReadResponse then reads the rest of the head or reports the error.
func (c *conn) awaitHead() {
	for {
		head := c.buffered()
		if end := bytes.Index(head, headEnd); end >= 0 {
			c.announcedClose = announcesClose(head[:end])
			return
		}
		c.extendTransferDeadline()
		if _, err := c.reader.Peek(len(head) + 1); err != nil {
			c.announcedClose = false
			return
		}
	}
}

// buffered returns the bytes in the read buffer without consuming them.
func (c *conn) buffered() []byte {
	b, _ := c.reader.Peek(c.reader.Buffered())
	return b
}

// announcesClose reports whether a raw head announces that the connection will be closed (RFC 9112, 9.6). It examines the
// raw head because net/http removes the Connection field: http.Response does not tell an announced close from an answer
// that lost its length in transit.
func announcesClose(head []byte) bool {
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
