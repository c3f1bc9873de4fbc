package h1client

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// maxInterimResponses limits the 1xx responses before the final one (RFC 9110, 15.2).
const maxInterimResponses = 8

// versionPrefix begins each answer (RFC 9112, 4).
const versionPrefix = "HTTP/1."

var (
	headEnd = []byte("\r\n\r\n")

	errNotHTTP           = errors.New("h1client: not an HTTP/1 answer")
	errUnexpectedInterim = errors.New("h1client: too many interim responses, or an upgrade that was not requested")
)

// readFinalHead reads the head of an answer, behind its interim responses. Status 101 is final where it upgrades to the
// protocol that the request asks for. The error is errUnexpectedInterim, or that of reading.
func (c *conn) readFinalHead(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method} // whether an answer has a body depends on it
	resp, err := c.readHead(req)
	for n := 0; err == nil && resp.StatusCode/100 == 1; n++ {
		upgrades := resp.StatusCode == http.StatusSwitchingProtocols
		if upgrades && r.Upgrade != "" && strings.EqualFold(resp.Header.Get("Upgrade"), r.Upgrade) {
			c.limitTransfer(false)
			return resp, nil
		}
		if upgrades || n == maxInterimResponses {
			return nil, errUnexpectedInterim
		}
		c.limitTransfer(false)
		resp, err = c.readHead(req)
	}
	return resp, err
}

// readHead reads the head of an answer or interim response. Its first byte may take as long as the request has; what
// follows must arrive within AnswerTransferTimeout, or waiting for the rest of a broken answer would take the time of a
// further attempt.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if !bytes.Contains(c.buffered(), headEnd) {
		c.limitTransfer(true)
	}
	start, err := c.reader.Peek(len(versionPrefix))
	if err != nil {
		return nil, err
	}
	if string(start) != versionPrefix {
		return nil, errNotHTTP // which may never end its line
	}
	c.awaitHead()
	return http.ReadResponse(c.reader, req)
}

// awaitHead waits until the head is complete, while it makes progress, and sets announcedClose. It gives up on a head
// that is longer than the buffer or does not arrive: http.ReadResponse reports the error.
func (c *conn) awaitHead() {
	for {
		head := c.buffered()
		if end := bytes.Index(head, headEnd); end >= 0 {
			c.announcedClose = announcesClose(head[:end])
			return
		}
		c.extendTransferLimit()
		if _, err := c.reader.Peek(len(head) + 1); err != nil {
			c.announcedClose = false
			return
		}
	}
}

// buffered returns what the reader has read, without consuming it.
func (c *conn) buffered() []byte {
	b, _ := c.reader.Peek(c.reader.Buffered())
	return b
}

// announcesClose reports whether a raw head announces the end of the connection (RFC 9112, 9.6). net/http removes the
// field, and an answer whose length was lost on its way would look the same.
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
