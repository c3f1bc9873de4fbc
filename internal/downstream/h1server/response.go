package h1server

// This file writes answers, streams and rejections to clients.

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// copyBufferBytes is the memory of a stream, or of one direction of a tunnel, in addition to the buffers of the
// sockets.
const copyBufferBytes = 32 << 10

// reject answers a request that is not forwarded. It does not wait for the rest of the request's body: a connection on
// which a body may follow is closed.
func reject(w http.ResponseWriter, r *http.Request, err error) {
	var rejection *ingress.Rejection
	if !errors.As(err, &rejection) {
		rejection = &ingress.Rejection{Status: http.StatusBadRequest, Message: "the body can't be read"}
	}
	if r.ContentLength != 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
	if rejection.AllowedMethods != "" {
		w.Header().Set("Allow", rejection.AllowedMethods)
	}
	if rejection.Location != "" {
		w.Header().Set("Location", rejection.Location)
	}
	if rejection.RetryAfter > 0 {
		w.Header().Set("Retry-After", ingress.FormatRetryAfter(rejection.RetryAfter))
	}
	writeText(w, rejection.Status, rejection.Message+"\n")
}

// writeText writes a short text as an answer. It states the length, so that the answer has no end that would be sent after the
// wait for the connection's turn.
func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// rejectLogged rejects a request and logs it. A direct response of a route is no rejection to log.
func (s *Server) rejectLogged(w http.ResponseWriter, r *http.Request, err error) {
	var rejection *ingress.Rejection
	switch {
	case !errors.As(err, &rejection):
		s.events.rejected(r, http.StatusBadRequest, err.Error())
	case rejection.Status >= http.StatusBadRequest:
		s.events.rejected(r, rejection.Status, rejection.Message)
	}
	reject(w, r, err)
}

// writeAnswer writes the final answer, except for the body of a stream. isHead says that the request's method is HEAD.
func writeAnswer(w http.ResponseWriter, isHead bool, a engine.Answer) {
	h := w.Header()
	status, body, length := http.StatusBadGateway, []byte(nil), int64(-1)
	if a.Verdict == engine.Rejected {
		status = http.StatusServiceUnavailable
	}
	if answer, ok := a.Value.(*h1client.Answer); ok { // the request was served, or this is the last answer of an endpoint
		status, body = answer.Status, answer.Body
		maps.Copy(h, answer.Header)
		if len(body) == 0 {
			length = answer.Length
		}
	}
	if a.Verdict == engine.Rejected && a.RetryAfter > 0 && len(h["Retry-After"]) == 0 {
		h.Set("Retry-After", ingress.FormatRetryAfter(a.RetryAfter))
	}
	switch stream := isStream(a); {
	case (isHead || stream) && length >= 0:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case !isHead && !stream && !hasTrailers(a): // trailers need the chunked transfer coding (RFC 9112, 7.1.2)
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	w.Write(body)
	if hasTrailers(a) {
		http.NewResponseController(w).Flush() // otherwise net/http would set a Content-Length
	}
}

// isStream reports whether an answer's body follows as a stream.
func isStream(a engine.Answer) bool {
	answer, ok := a.Value.(*h1client.Answer)
	return ok && answer.Stream != nil
}

// hasTrailers reports whether trailers follow an answer's body.
func hasTrailers(a engine.Answer) bool {
	answer, ok := a.Value.(*h1client.Answer)
	return ok && len(answer.Trailer) > 0
}

// copyStream forwards a stream through one buffer, and returns the number of bytes that it has forwarded. If the stream
// breaks, it returns an error: the caller must then abort the client's connection or HTTP/2 stream, so that the client does
// not take a part of the body for the complete one.
func (s *Server) copyStream(
	ctx context.Context, w http.ResponseWriter, control *http.ResponseController, stream h1client.Stream,
) (sent int64, err error) {
	defer stream.Close()
	defer context.AfterFunc(ctx, stream.Abort)() // ends a Read if the client disconnects while the endpoint pauses
	if !s.options.Strict {                       // with Strict, a stream begins with bytes of its body
		if err := control.Flush(); err != nil {
			return 0, err
		}
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, readErr := stream.Read(*buffer)
		if n > 0 {
			control.SetWriteDeadline(time.Now().Add(s.options.StallTimeout))
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return sent, err // the client has disconnected, or has read nothing for StallTimeout
			}
			sent += int64(n)
			if n < len(*buffer) { // the endpoint has no more data for now
				if err := control.Flush(); err != nil {
					return sent, err
				}
			}
		}
		if readErr == io.EOF {
			writeTrailers(w, stream.Trailer())
			return sent, nil
		}
		if readErr != nil {
			return sent, readErr
		}
	}
}

// copyBuffers holds the buffers of streams and tunnels that are not in use.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// closeAnswer closes an answer that is not sent to the client.
func closeAnswer(a engine.Answer) {
	if c, ok := a.Value.(io.Closer); ok {
		c.Close()
	}
}

// writeTrailers sets the trailers that net/http writes after the body.
func writeTrailers(w http.ResponseWriter, fields http.Header) {
	for name, values := range fields {
		w.Header()[http.TrailerPrefix+name] = values
	}
}
