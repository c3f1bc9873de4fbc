package h1client

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/engine"
)

// Request is what is forwarded of a client's request. It is the payload of an attempt.
type Request struct {
	Method string
	Target string // path and query as the client sent them; begins with /
	Host   string
	Header http.Header // end-to-end fields, with names and values as net/http accepts them
	Body   []byte
	// Upload is the body where it was not read before the request; nil: Body is complete.
	Upload        *Upload
	Length        int64 // of Upload in bytes; -1: not known
	ReservedBytes int64 // of the downstream server's memory for bodies
	// Upgrade is the protocol that the client asks for (RFC 9110, 7.8); "": none.
	Upgrade string
	// TrailerNames are the fields behind Upload that the client has announced, sorted; nil: none.
	TrailerNames []string
	Limits       StreamLimits
	// AcceptsTrailers reports that the client accepts fields behind the answer's body (RFC 9110, 10.1.4).
	AcceptsTrailers bool
}

var _ engine.StreamingPayload = (*Request)(nil)

// StallTimeout returns Limits.StallTimeout or its default.
func (r *Request) StallTimeout() time.Duration {
	if r.Limits.StallTimeout > 0 {
		return r.Limits.StallTimeout
	}
	return DefaultStallTimeout
}

// Streaming implements engine.StreamingPayload.
func (r *Request) Streaming() bool { return r.Upload != nil }

// Consumed implements engine.StreamingPayload.
func (r *Request) Consumed() bool { return r.Upload != nil && r.Upload.Consumed() }

// chunked reports whether the upload is sent in chunks over HTTP/1.1: its length is not known, or trailers follow it
// (RFC 9112, 7.1.2).
func (r *Request) chunked() bool { return r.Length < 0 || len(r.TrailerNames) > 0 }

// appendTo appends the request to b, with the remaining time, up to its body. A Body of at most MaxBody is included.
// Names and values were read by net/http, which accepts no line end in them.
func (r *Request) appendTo(b []byte, remaining time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	for name, values := range r.Header {
		if name == "X-Timeout-Ms" || name == "Host" {
			continue
		}
		for _, v := range values {
			b = append(b, "\r\n"...)
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
		}
	}
	if r.Upgrade != "" {
		b = append(b, "\r\nConnection: Upgrade\r\nUpgrade: "...)
		b = append(b, r.Upgrade...)
	}
	b = append(b, "\r\nX-Timeout-Ms: "...)
	b = strconv.AppendInt(b, max(1, remaining.Milliseconds()), 10)
	return r.appendBody(b)
}

// appendBody appends the fields that frame the body, the end of the head, and a Body of at most MaxBody.
func (r *Request) appendBody(b []byte) []byte {
	switch {
	case r.Upload != nil && r.chunked():
		if len(r.TrailerNames) > 0 {
			b = append(b, "\r\nTrailer: "...)
			b = append(b, strings.Join(r.TrailerNames, ", ")...)
		}
		return append(b, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	case r.Upload != nil:
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, r.Length, 10)
	case len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	if len(r.Body) > MaxBody { // exchange writes it
		return b
	}
	return append(b, r.Body...)
}
