package h1client

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/engine"
)

// Request holds the forwarded parts of a client's request. It is the payload of an attempt.
type Request struct {
	Method string
	Target string // path and query as sent by the client; begins with a slash
	Host   string
	Header http.Header // end-to-end fields, with valid names and values, as net/http accepts them
	Body   []byte
	// Upload is the body if it is still arriving; nil if Body is complete.
	Upload *Upload
	Length int64 // length of Upload in bytes; -1 if it is not known
	// Upgrade is the protocol that the client asks to upgrade to (RFC 9110, 7.8); empty if there is none.
	Upgrade string
	// TrailerNames lists the trailer fields of Upload that the client has announced, sorted; nil if there are none.
	TrailerNames []string
	Limits       StreamLimits
	// AcceptsTrailers is set if the client accepts trailer fields after the answer's body (RFC 9110, 10.1.4).
	AcceptsTrailers bool
}

var (
	_ engine.StreamingPayload = (*Request)(nil)
	_ engine.ArrivingPayload  = (*Request)(nil)
)

// StallTimeout returns Limits.StallTimeout, or DefaultStallTimeout if that is not set.
func (r *Request) StallTimeout() time.Duration {
	if r.Limits.StallTimeout > 0 {
		return r.Limits.StallTimeout
	}
	return DefaultStallTimeout
}

// Streaming implements engine.StreamingPayload.
func (r *Request) Streaming() bool { return r.Upload != nil }

// OnArrived implements engine.ArrivingPayload.
func (r *Request) OnArrived(f func()) (arriving bool) {
	return r.Upload != nil && r.Upload.onArrived(f)
}

// Consumed implements engine.StreamingPayload.
func (r *Request) Consumed() bool { return r.Upload != nil && r.Upload.Consumed() }

// chunked reports whether the upload is sent with chunked transfer coding over HTTP/1.1: its length is not known, or trailer
// fields follow it (RFC 9112, 7.1.2).
func (r *Request) chunked() bool { return r.Length < 0 || len(r.TrailerNames) > 0 }

// appendTo appends the request's head to b, with the time remaining in X-Timeout-Ms, and also Body if it has at most MaxBody
// bytes. Field names and values need no check here: net/http has read them, and accepts no line ends in them.
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

// appendBody appends the header fields that frame the body, the end of the head, and Body if it has at most MaxBody bytes.
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
	if len(r.Body) > MaxBody { // Pool.exchange writes a longer Body by itself
		return b
	}
	return append(b, r.Body...)
}
