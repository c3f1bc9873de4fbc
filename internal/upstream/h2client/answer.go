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

// errBodyTooLong is the error of a response body that is longer than its Content-Length.
var errBodyTooLong = errors.New("h2client: response body is longer than its Content-Length")

// readAnswer returns an answer with its whole body if the body is short and arrives soon. Otherwise the answer's body is s as
// a stream, which then belongs to the answer. In all other cases readAnswer closes s.
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
	case resp.StatusCode >= 500: // a long or slow body of an error is not forwarded
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

// readBody reads a body that is short and arrives soon. For any other body complete is false, and body is the start that was
// read, which may be empty.
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

// readKnownLength reads a body of length bytes. After each read it checks the time: if the body is incomplete after more than
// AnswerTransferTimeout, it returns the bytes that have arrived, and complete is false.
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
	var end [1]byte // the end of the stream and the trailers may come in a frame of their own
	switch _, err = s.resp.Body.Read(end[:]); err {
	case io.EOF:
		return body, true, nil
	case nil:
		err = errBodyTooLong
	}
	return nil, false, err
}

// readBuffered reads a body of unknown length into the buffer of an h1client.Upload, for at most UploadBufferTimeout. If the
// body is not complete by then, s reads the whole body from the upload.
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
