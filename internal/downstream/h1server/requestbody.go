package h1server

// This file reads request bodies of clients other than the platform's. A short body of a known length is read before
// the request is passed to its cluster. Any other body becomes an upload, which is read while the request is in flight.

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"yokestall/internal/upstream/h1client"
)

// minBodyBuffer is the least buffer of an upload, in bytes. An upload gets it even if Options.BodyMemory is used up.
const minBodyBuffer = 4 << 10

// readBody reads a short body of a known length within readTimeout, and creates an upload for any other body. With
// Strict, readPlatformBody does this by rules of its own.
func (s *Server) readBody(r *http.Request, control *http.ResponseController, out *h1client.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if s.options.Strict {
		return s.readPlatformBody(r, control, out)
	}
	trailers := allowedTrailers(r.Trailer)
	short := r.ContentLength > 0 && r.ContentLength <= h1client.MaxBody && len(trailers) == 0
	buffered := s.reserveBuffer(r, out, short)
	if short && buffered {
		control.SetReadDeadline(time.Now().Add(readTimeout))
		out.Body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, out.Body); err != nil {
			s.releaseBuffer(out)
			return uploadError(err)
		}
		return nil
	}
	from := &pacedReader{from: s.limitedBody(r), control: control, stallTimeout: s.options.StallTimeout}
	out.Upload, out.Length = h1client.NewUpload(from, int(out.ReservedBytes)), r.ContentLength
	if out.TrailerNames = trailers; len(trailers) > 0 {
		out.Upload.Trailer = func() http.Header { return receivedTrailers(r, trailers) }
	}
	return nil
}

// reserveBuffer reserves memory for a body: its length for a short body, otherwise h1client.MaxBody, the part of an
// upload that can be sent again. If the memory is used up, it reserves only minBodyBuffer and returns false.
func (s *Server) reserveBuffer(r *http.Request, out *h1client.Request, short bool) bool {
	out.ReservedBytes = int64(h1client.MaxBody)
	if short {
		out.ReservedBytes = r.ContentLength
	}
	if s.bufferedBytes.Add(out.ReservedBytes) <= s.options.BodyMemory {
		return true
	}
	s.bufferedBytes.Add(minBodyBuffer - out.ReservedBytes)
	out.ReservedBytes = minBodyBuffer
	return false
}

// releaseBuffer releases the memory that is reserved for a request's body.
func (s *Server) releaseBuffer(r *h1client.Request) {
	s.bufferedBytes.Add(-r.ReservedBytes)
	r.ReservedBytes = 0
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
