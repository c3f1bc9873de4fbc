package h1server

// How request bodies are taken from clients other than the platform's: a short one of a known length is read before the
// request is decided, any other becomes an upload, which is read while the request is in flight.

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"yokestall/internal/upstream/h1client"
)

// minBodyBuffer is what an upload may buffer where Options.BodyMemory is used up, in bytes.
const minBodyBuffer = 4 << 10

// readBody reads a short body of a known length within readTimeout, and makes an upload of any other.
func (s *Server) readBody(r *http.Request, control *http.ResponseController, to *h1client.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if s.options.Strict {
		return s.readPlatformBody(r, control, to)
	}
	trailers := allowedTrailers(r.Trailer)
	short := r.ContentLength > 0 && r.ContentLength <= h1client.MaxBody && len(trailers) == 0
	buffered := s.reserveBuffer(r, to, short)
	if short && buffered {
		control.SetReadDeadline(time.Now().Add(readTimeout))
		to.Body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, to.Body); err != nil {
			s.releaseBuffer(to)
			return uploadError(err)
		}
		return nil
	}
	from := &pacedReader{from: s.limitedBody(r), control: control, stallTimeout: s.options.StallTimeout}
	to.Upload, to.Length = h1client.NewUpload(from, int(to.ReservedBytes)), r.ContentLength
	if to.TrailerNames = trailers; len(trailers) > 0 {
		to.Upload.Trailer = func() http.Header { return receivedTrailers(r, trailers) }
	}
	return nil
}

// reserveBuffer reserves memory for a body: all of it for a short one, otherwise the part of an upload that can be sent
// again. It returns false where the memory is used up and only minBodyBuffer is reserved.
func (s *Server) reserveBuffer(r *http.Request, to *h1client.Request, short bool) bool {
	to.ReservedBytes = int64(h1client.MaxBody)
	if short {
		to.ReservedBytes = r.ContentLength
	}
	if s.bufferedBytes.Add(to.ReservedBytes) <= s.options.BodyMemory {
		return true
	}
	s.bufferedBytes.Add(minBodyBuffer - to.ReservedBytes)
	to.ReservedBytes = minBodyBuffer
	return false
}

// releaseBuffer releases the memory that is reserved for a request's body.
func (s *Server) releaseBuffer(r *h1client.Request) {
	s.bufferedBytes.Add(-r.ReservedBytes)
	r.ReservedBytes = 0
}

// limitedBody returns a request's body, which fails beyond Options.MaxBodyBytes.
func (s *Server) limitedBody(r *http.Request) io.Reader {
	if s.options.MaxBodyBytes > 0 {
		return http.MaxBytesReader(nil, r.Body, s.options.MaxBodyBytes)
	}
	return r.Body
}

// forbiddenTrailers are fields that may not follow a body, besides those that net/http accepts nowhere.
var forbiddenTrailers = []string{
	"Authorization", "Cache-Control", "Connection", "Content-Encoding", "Content-Length", "Content-Range", "Content-Type",
	"Cookie", "Expect", "Forwarded", "Host", "Idempotency-Key", "Keep-Alive", "Max-Forwards", "Pragma",
	"Proxy-Authorization", "Proxy-Connection", "Range", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id",
	"X-Tenant-Id", "X-Timeout-Ms",
}

// allowedTrailers returns the names of the announced trailers that may follow a body: what frames, routes or
// authenticates a request must be in its header (RFC 9110, 6.5.1).
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

// receivedTrailers returns the trailers of these names, once the body has been read to its end.
func receivedTrailers(r *http.Request, names []string) http.Header {
	trailers := http.Header{}
	for _, name := range names {
		if values := r.Trailer[name]; len(values) > 0 {
			trailers[name] = values
		}
	}
	return trailers
}
