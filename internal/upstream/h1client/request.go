package h1client

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/engine"
)

// Request is what of a client's request goes on to a server.
type Request struct {
	Method string
	Target string // path and query as they came; begins with /
	Host   string
	Header http.Header // end-to-end ones, with names and values as net/http lets them in
	Body   []byte
	// Upload is the body where it is not at hand; nil: Body is all of it.
	Upload        *Upload
	Length        int64 // of Upload in bytes; -1: not known
	ReservedBytes int64 // bytes that are reserved for the body in the front's memory
	// Upgrade is the protocol that the client wants to go on with (RFC 9110, 7.8); "": none.
	Upgrade string
	// TrailerNames names the fields behind the body that the client has announced, sorted; nil: none.
	TrailerNames []string
	Limits       StreamLimits
	// AcceptsTrailers says that the client takes fields behind the answer's body (RFC 9110, 10.1.4).
	AcceptsTrailers bool
}

// StallTimeout is Limits.Stall, or what stands for it.
func (o *Request) StallTimeout() time.Duration {
	if o.Limits.StallTimeout > 0 {
		return o.Limits.StallTimeout
	}
	return DefaultStallTimeout
}

// chunked tells whether the body goes to a server over HTTP/1.1 in chunks: its length is not
// known, or fields follow it (RFC 9112, 7.1.2).
func (o *Request) chunked() bool { return o.Length < 0 || len(o.TrailerNames) > 0 }

var _ engine.StreamingPayload = (*Request)(nil)

// Streaming implements engine.StreamingPayload.
func (o *Request) Streaming() bool { return o.Upload != nil }

// Consumed implements engine.StreamingPayload.
func (o *Request) Consumed() bool { return o.Upload != nil && o.Upload.Consumed() }

// append writes the request, with the time that is left for it. Names and values have
// come through net/http, which lets no line end in.
func (o *Request) append(b []byte, left time.Duration) []byte {
	b = append(b, o.Method...)
	b = append(b, ' ')
	b = append(b, o.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, o.Host...)
	for name, values := range o.Header {
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
	if o.Upgrade != "" {
		b = append(b, "\r\nConnection: Upgrade\r\nUpgrade: "...)
		b = append(b, o.Upgrade...)
	}
	b = append(b, "\r\nX-Timeout-Ms: "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	if o.Upload != nil && o.chunked() {
		if len(o.TrailerNames) > 0 {
			b = append(b, "\r\nTrailer: "...)
			b = append(b, strings.Join(o.TrailerNames, ", ")...)
		}
		return append(b, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	} else if o.Upload != nil {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, o.Length, 10)
	} else if len(o.Body) > 0 || o.Method != http.MethodGet && o.Method != http.MethodHead {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(o.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	if len(o.Body) > MaxBody { // is written by itself
		return b
	}
	return append(b, o.Body...)
}
