package h1server

// This file reads request bodies of clients other than the platform's. A short body of a known length is read before
// the request is passed to its cluster. Any other body becomes an upload, which is read while the request is in flight.

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"yokestall/internal/upstream/h1client"
)

// readBody reads a short body of a known length within readTimeout, and creates an upload for any other body. With
// Strict, readPlatformBody does this by rules of its own. A request for whose upload there is no memory is rejected with
// retryAfter.
func (s *Server) readBody(
	r *http.Request, control *http.ResponseController, retryAfter time.Duration, memory *bodyReservation, out *h1client.Request,
) error {
	if r.ContentLength == 0 {
		return nil
	}
	if s.options.Strict {
		return s.readPlatformBody(r, control, retryAfter, memory, out)
	}
	trailers := allowedTrailers(r.Trailer)
	short := r.ContentLength > 0 && r.ContentLength <= h1client.MaxBody && len(trailers) == 0
	from := &pacedReader{from: s.limitedBody(r), control: control, stallTimeout: s.options.StallTimeout}
	var upload io.Reader = from
	if short {
		control.SetReadDeadline(time.Now().Add(readTimeout))
		rest, err := readShortBody(r.Body, r.ContentLength, memory, out)
		if rest == nil {
			return err
		}
		upload = rest
	}
	if !memory.hold(arrivingBytes) {
		return bodyMemoryExhausted(retryAfter)
	}
	out.Upload, out.Length = h1client.NewUpload(upload, h1client.MaxBody), r.ContentLength
	out.Upload.Memory = memory
	if out.TrailerNames = trailers; len(trailers) > 0 {
		out.Upload.Trailer = func() http.Header { return receivedTrailers(r, trailers) }
	}
	return nil
}

// readShortBody reads a body of a known length as a whole into out. Its memory grows with the bytes that arrive, because
// announcing a length costs a client nothing. If the memory can't grow, readShortBody returns a reader of the whole body, which
// is to become an upload. If the body is shorter, the error is that of io.ErrUnexpectedEOF.
func readShortBody(from io.Reader, length int64, memory *bodyReservation, out *h1client.Request) (upload io.Reader, err error) {
	body := make([]byte, 0, min(length, minBodyBuffer))
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			size := min(length, int64(2*cap(body)))
			if !memory.Grow(int(size) - cap(body)) {
				memory.Shrink(max(0, cap(body)-minBodyBuffer))
				return io.MultiReader(bytes.NewReader(body), from), nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && int64(len(body)) < length {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, uploadError(err)
		}
	}
	out.Body = body
	return nil, nil
}

// limitedBody returns a request's body. Reading it fails beyond Options.MaxBodyBytes.
func (s *Server) limitedBody(r *http.Request) io.Reader {
	if s.options.MaxBodyBytes > 0 {
		return http.MaxBytesReader(nil, r.Body, s.options.MaxBodyBytes)
	}
	return r.Body
}

// forbiddenTrailers lists fields that may not follow a body as trailers, besides those that net/http never accepts as
// trailers.
var forbiddenTrailers = []string{
	"Authorization", "Cache-Control", "Connection", "Content-Encoding", "Content-Length", "Content-Range", "Content-Type",
	"Cookie", "Expect", "Forwarded", "Host", "Idempotency-Key", "Keep-Alive", "Max-Forwards", "Pragma",
	"Proxy-Authorization", "Proxy-Connection", "Range", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id",
	"X-Tenant-Id", "X-Timeout-Ms",
}

// allowedTrailers returns, sorted, the names of the announced trailers that may follow a body. Fields that frame, route
// or authenticate a request, and conditions, must be in its header (RFC 9110, 6.5.1).
func allowedTrailers(announced http.Header) (names []string) {
	for name := range announced {
		conditional := strings.HasPrefix(name, "If-") || strings.HasPrefix(name, "X-Forwarded-")
		if !conditional && !slices.Contains(forbiddenTrailers, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// receivedTrailers returns the received trailers that are in names. It must be called after the body has been read to
// its end.
func receivedTrailers(r *http.Request, names []string) http.Header {
	trailers := http.Header{}
	for _, name := range names {
		if values := r.Trailer[name]; len(values) > 0 {
			trailers[name] = values
		}
	}
	return trailers
}
