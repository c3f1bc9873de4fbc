package h1server

// How answers, streams and refusals are written to clients.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// refuse answers a request that no server gets to see. What may be left of its
// body is not waited for: the connection ends.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	var bad *ingress.Rejection
	if !errors.As(err, &bad) {
		bad = &ingress.Rejection{Status: http.StatusBadRequest, Text: "the body can't be read"}
	}
	if r.ContentLength != 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
	if bad.Allow != "" {
		w.Header().Set("Allow", bad.Allow)
	}
	if bad.Location != "" {
		w.Header().Set("Location", bad.Location)
	}
	if bad.RetryAfter > 0 {
		w.Header().Set("Retry-After", ingress.Seconds(bad.RetryAfter))
	}
	http.Error(w, bad.Text, bad.Status)
}

// write writes an answer but for the rest of a stream.
func write(w http.ResponseWriter, head bool, a engine.Answer) {
	h := w.Header()
	status, body, length := http.StatusBadGateway, []byte(nil), int64(-1)
	if a.Verdict == engine.Rejected {
		status = http.StatusServiceUnavailable
	}
	if answer, ok := a.Value.(*h1client.Answer); ok { // served, or the last word of a server
		status, body = answer.Status, answer.Body
		for name, values := range answer.Header {
			h[name] = values
		}
		if len(body) == 0 {
			length = answer.Length
		}
	}
	if a.Verdict == engine.Rejected && a.RetryAfter > 0 && len(h["Retry-After"]) == 0 {
		h.Set("Retry-After", ingress.Seconds(a.RetryAfter))
	}
	switch stream := isStream(a); {
	case (head || stream) && length >= 0:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case !head && !stream && !trailing(a): // fields behind a body go with chunks alone (RFC 9112, 7.1.2)
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	w.Write(body)
	if trailing(a) {
		http.NewResponseController(w).Flush() // or net/http would find the length by itself
	}
}

// isStream reports whether an answer goes on behind its head as a stream.
func isStream(a engine.Answer) bool {
	answer, ok := a.Value.(*h1client.Answer)
	return ok && answer.Stream != nil
}

// trailing reports whether fields follow an answer's body.
func trailing(a engine.Answer) bool {
	answer, ok := a.Value.(*h1client.Answer)
	return ok && len(answer.Trailer) > 0
}

// pass passes a stream on, as fast as both sides are, through one buffer. What has begun
// is final: of a stream that breaks (not whole) the caller cuts the client's connection, or
// its stream, so that the part that came is not taken for the whole.
func (f *Server) pass(ctx context.Context, w http.ResponseWriter, control *http.ResponseController, s h1client.Stream) (whole bool) {
	defer s.Close()
	defer context.AfterFunc(ctx, s.Abort)() // the client leaves while the server pauses
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		n, err := s.Read(*buffer)
		if n > 0 {
			control.SetWriteDeadline(time.Now().Add(f.options.StallTimeout))
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return false // the client is gone, or takes nothing
			}
			if n < len(*buffer) { // the server pauses: what there is goes out
				if err := control.Flush(); err != nil {
					return false
				}
			}
		}
		if err == io.EOF {
			trail(w, s.Trailer())
			return true
		}
		if err != nil {
			return false
		}
	}
}

// buffers are those that streams and tunnels are copied through.
var buffers = sync.Pool{New: func() any { b := make([]byte, streamBuffer); return &b }}

// discard closes an answer that the client doesn't get.
func discard(a engine.Answer) {
	if c, ok := a.Value.(io.Closer); ok {
		c.Close()
	}
}

// trail writes the fields behind an answer's body.
func trail(w http.ResponseWriter, fields http.Header) {
	for name, values := range fields {
		w.Header()[http.TrailerPrefix+name] = values
	}
}
