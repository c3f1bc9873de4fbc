package h1server

// This file reads the request bodies of the platform's clients (Options.Strict). A client may send slowly, so the time
// for a request begins with the last byte of its body, and until then a minimum rate applies. A body that fits into the
// buffer is forwarded once it is complete, and can be sent again from its beginning. A larger body is forwarded while
// it arrives.

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

const (
	// maxPlatformBuffer is the largest buffer of a body, in bytes: 1 MiB, and one byte so that its end is seen. A body gets
	// less if there is too little memory.
	maxPlatformBuffer = 1<<20 + 1
	// minPlatformUploadRate is the lowest average rate of a body, in bytes per second, not counting
	// platformUploadGrace. Clients may send at 64 kB/s.
	minPlatformUploadRate = 16 << 10
	// platformUploadGrace is added to the time that a body may take at minPlatformUploadRate.
	platformUploadGrace = 5 * time.Second
	// platformUploadStall is how long a body may pause.
	platformUploadStall = 4 * time.Second
)

// readPlatformBody reads a short body of a known length, and creates an upload for any other body. A request for whose upload
// there is no memory is rejected with retryAfter.
func (s *Server) readPlatformBody(
	r *http.Request, control *http.ResponseController, retryAfter time.Duration, memory *bodyReservation, out *h1client.Request,
) error {
	body := s.limitedBody(r)
	if conn := clientConnOf(r); conn != nil && conn.rawConn != nil {
		body = conn.trackBody(r.ContentLength, body)
	}
	var from io.Reader = &pacedReader{
		from: body, control: control,
		stallTimeout: platformUploadStall, minRate: minPlatformUploadRate, gracePeriod: platformUploadGrace,
	}
	if r.ContentLength > 0 && r.ContentLength <= h1client.MaxBody {
		rest, err := readShortBody(from, r.ContentLength, memory, out)
		if rest == nil {
			return err
		}
		from = rest
	}
	if !memory.hold(arrivingBytes) {
		return bodyMemoryExhausted(retryAfter)
	}
	out.Upload, out.Length = h1client.NewUpload(from, maxPlatformBuffer), r.ContentLength
	out.Upload.Memory = memory
	return nil
}

// bodyCompleter is a cluster that is notified when the last byte of a request body has arrived.
type bodyCompleter interface {
	BodyComplete(r *engine.Request, end time.Duration)
}

var _ bodyCompleter = (*engine.Cluster)(nil)

// runPlatformUpload starts an upload and waits until it is complete or has filled its buffer. A complete upload is
// replaced by the payload's Body. ctx and stop are those of runUpload. The error is an *ingress.Rejection.
func (s *Server) runPlatformUpload(
	r *http.Request, control *http.ResponseController, destination *ingress.Destination, memory *bodyReservation,
	request *engine.Request,
) (ctx context.Context, stop func(), err error) {
	payload := request.Payload.(*h1client.Request)
	upload := payload.Upload
	conn := clientConnOf(r)
	conn.limitBodyTime(request.UploadTimeout)
	var onComplete func()
	cluster, _ := destination.Cluster.(bodyCompleter)
	if cluster != nil {
		request.BodyIncomplete = true
		onComplete = func() {
			cluster.BodyComplete(request, s.options.Clock.Now()-conn.sinceBodyWritten()+request.UploadTimeout)
		}
	}
	ctx, endUpload := runUpload(r.Context(), control, upload, false, onComplete)
	upload.AwaitBuffer()
	if err := upload.Err(); err != nil {
		endUpload()
		return nil, nil, uploadError(err)
	}
	if body, complete := upload.Complete(); complete {
		endUpload() // it waits for onComplete, so that it is called before the request begins
		payload.Upload, payload.Body = nil, body
		memory.Shrink(arrivingBytes - minBodyBuffer)
		return r.Context(), func() {}, nil
	}
	if !memory.hold(forwardingBytes) {
		endUpload()
		return nil, nil, bodyMemoryExhausted(destination.MaxRetryAfter)
	}
	endWatch := s.watchUploadDeadline(conn, upload, cluster, request)
	return ctx, sync.OnceFunc(func() { endWatch(); endUpload() }), nil
}
