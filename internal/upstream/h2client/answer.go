package h2client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// errBodyTooLong ends the reading of a body that exceeds its Content-Length.
var errBodyTooLong = errors.New("h2client: body longer than its Content-Length")

// readAnswer returns an answer as a whole where it is short and arrives soon, and as a stream otherwise. The stream is
// closed unless the answer has it.
func (s *stream) readAnswer(ctx context.Context, r *h1client.Request, resp *http.Response) engine.Result {
	s.resp, s.reader = resp, resp.Body
	a := &h1client.Answer{Status: resp.StatusCode, Length: resp.ContentLength}
	body, complete, err := s.readBody(r)
	a.Header = h1client.EndToEndHeader(resp.Header)
	switch {
	case err != nil:
		status := failureStatus(ctx, err, r)
		s.Close()
		return engine.Result{Status: status}
	case complete:
		a.Body, a.Trailer = body, resp.Trailer
		s.ended.Store(true)
		s.Close()
	case resp.StatusCode >= 500: // is returned without its body
		a.Length = -1
		s.Close()
	default:
		s.start = body
		s.stallTimeout = r.StallTimeout()
		s.stallTimer = time.AfterFunc(s.stallTimeout, s.cancel)
		a.Stream = s
		return engine.Result{Status: policy.OK, Answer: a}
	}
	if resp.StatusCode >= 500 {
		return engine.Result{Status: h1client.FailureStatus(resp), Answer: a}
	}
	status, final := grpcOutcome(a)
	return engine.Result{Status: status, Answer: a, Final: final}
}

// readBody reads a body that is short and arrives soon. Of any other it returns what was read, and complete is false.
func (s *stream) readBody(r *h1client.Request) (body []byte, complete bool, err error) {
	switch length := s.resp.ContentLength; {
	case r.Method == http.MethodHead || length == 0:
		return nil, true, nil
	case length < 0:
		return s.readBuffered()
	case length <= h1client.MaxBody:
		return s.readKnownLength(int(length))
	}
	return nil, false, nil
}

// readKnownLength reads a body of length bytes while its parts arrive within AnswerTransferTimeout of the first read.
func (s *stream) readKnownLength(length int) (body []byte, complete bool, err error) {
	body = make([]byte, length)
	read, start := 0, time.Now()
	for read < length {
		n, err := s.resp.Body.Read(body[read:])
		read += n
		if read < length && err != nil {
			return nil, false, err
		}
		if read < length && time.Since(start) > h1client.AnswerTransferTimeout {
			return body[:read], false, nil
		}
	}
	var end [1]byte // the end, and with it the trailers, may be a frame of its own
	switch _, err = s.resp.Body.Read(end[:]); err {
	case io.EOF:
		return body, true, nil
	case nil:
		err = errBodyTooLong
	}
	return nil, false, err
}

// readBuffered reads a body of unknown length as far as it arrives within UploadBufferTimeout. An h1client.Upload
// buffers it; if there is more, the stream reads on from the upload.
func (s *stream) readBuffered() (body []byte, complete bool, err error) {
	s.buffer = h1client.NewUpload(s.resp.Body, h1client.MaxBody)
	s.bufferRun.Go(func() { s.buffer.Run(false) })
	s.buffer.AwaitBufferFor(h1client.UploadBufferTimeout)
	body, complete = s.buffer.Complete()
	if err = s.buffer.Err(); err != nil || complete {
		return body, complete, err
	}
	s.reader = s.buffer.Reader()
	return nil, false, nil
}
