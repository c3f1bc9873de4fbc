package h1server

// How request bodies of the platform's clients are taken (Options.Strict). A client may send slowly, so a request's
// time begins with its last byte; until then a minimum rate applies. A body that fits into the buffer is forwarded once
// it is complete, and can be sent again from its beginning; a larger one is forwarded while it arrives.

import (
	"context"
	"io"
	"net/http"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

const (
	// maxPlatformBuffer is what a body may buffer where there is memory, in bytes.
	maxPlatformBuffer = 1 << 20
	// minPlatformUploadRate is the least rate over a whole body after platformUploadGrace, in bytes per second. Clients
	// may send at 64 kB/s.
	minPlatformUploadRate = 16 << 10
	platformUploadGrace   = 5 * time.Second
	// platformUploadStall is how long a body may pause.
	platformUploadStall = 4 * time.Second
	// bufferShrinkFactor divides the buffer that is tried next where there is too little memory.
	bufferShrinkFactor = 16
)

// readPlatformBody reads a body that fits into the buffer, and makes an upload of any other.
func (s *Server) readPlatformBody(r *http.Request, control *http.ResponseController, to *h1client.Request) error {
	from := &pacedReader{
		from: s.limitedBody(r), control: control,
		stallTimeout: platformUploadStall, minRate: minPlatformUploadRate, gracePeriod: platformUploadGrace,
	}
	s.reservePlatformBuffer(r, to)
	if r.ContentLength >= 0 && r.ContentLength <= to.ReservedBytes {
		body, err := readKnownLength(from, r.ContentLength)
		if err != nil {
			s.releaseBuffer(to)
			return uploadError(err)
		}
		to.Body = body
		return nil
	}
	to.Upload, to.Length = h1client.NewUpload(from, int(to.ReservedBytes)), r.ContentLength
	return nil
}

// reservePlatformBuffer reserves as much memory for a body as there is, minBodyBuffer at least.
func (s *Server) reservePlatformBuffer(r *http.Request, to *h1client.Request) {
	size := r.ContentLength
	if size < 0 || size > maxPlatformBuffer {
		size = maxPlatformBuffer
	}
	for s.bufferedBytes.Add(size) > s.options.BodyMemory && size > minBodyBuffer {
		s.bufferedBytes.Add(-size)
		size = max(size/bufferShrinkFactor, minBodyBuffer)
	}
	to.ReservedBytes = size
}

// readKnownLength reads a body of a known length. Its memory grows with what arrives: announcing a length costs a
// client nothing. The error of a shorter body is io.ErrUnexpectedEOF.
func readKnownLength(from io.Reader, length int64) ([]byte, error) {
	const initialCapacity = 64 << 10
	body := make([]byte, 0, min(length, initialCapacity))
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(length, int64(2*cap(body))))
			copy(grown, body)
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && int64(len(body)) < length {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// bodyCompleter is a cluster that is notified when the last byte of a request has arrived.
type bodyCompleter interface {
	BodyComplete(r *engine.Request, end time.Duration)
}

var _ bodyCompleter = (*engine.Cluster)(nil)

// runPlatformUpload starts an upload and waits until it is complete or has filled its buffer. A complete one becomes
// the payload's body. ctx and stop are those of runUpload. The error is a Rejection.
func (s *Server) runPlatformUpload(
	r *http.Request, control *http.ResponseController, to *ingress.Destination, request *engine.Request,
) (ctx context.Context, stop func(), err error) {
	payload := request.Payload.(*h1client.Request)
	upload := payload.Upload
	var onComplete func()
	if cluster, ok := to.Cluster.(bodyCompleter); ok {
		request.BodyIncomplete = true
		onComplete = func() { cluster.BodyComplete(request, s.options.Clock.Now()+request.UploadTimeout) }
	}
	ctx, stop = runUpload(r.Context(), control, upload, false, onComplete)
	upload.AwaitBuffer()
	if err := upload.Err(); err != nil {
		stop()
		return nil, nil, uploadError(err)
	}
	if body, complete := upload.Complete(); complete {
		stop() // onComplete is called before the request begins
		payload.Upload, payload.Body = nil, body
		return r.Context(), func() {}, nil
	}
	return ctx, stop, nil
}
