package h2client

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/upstream/h1client"
)

// stream is an attempt on a connection, and the h1client.Stream of its answer.
type stream struct {
	pool     *Pool
	endpoint *endpoint
	conn     *conn
	cancel   context.CancelFunc // resets the HTTP/2 stream

	// Set by readAnswer.
	resp         *http.Response
	start        []byte           // of the body, already read
	buffer       *h1client.Upload // of a body of unknown length; nil: none
	bufferRun    sync.WaitGroup   // buffer.Run
	reader       io.Reader        // of the body behind start
	stallTimer   *time.Timer      // cancels a Read that takes stallTimeout; nil: the answer is no stream
	stallTimeout time.Duration

	ended     atomic.Bool // the body was read to its end
	closeOnce sync.Once
}

var _ h1client.Stream = (*stream)(nil)

// Read implements h1client.Stream.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.start) > 0 {
		n := copy(p, s.start)
		s.start = s.start[n:]
		return n, nil
	}
	s.stallTimer.Reset(s.stallTimeout)
	n, err := s.reader.Read(p)
	s.stallTimer.Stop() // the time that the client takes is not the endpoint's
	if err == io.EOF {
		s.ended.Store(true)
	}
	return n, err
}

// Abort implements h1client.Stream.
func (s *stream) Abort() { s.cancel() }

// Trailer implements h1client.Stream.
func (s *stream) Trailer() http.Header { return s.resp.Trailer }

// Close implements h1client.Stream. It resets a stream whose body was not read to its end, and releases its place on
// the connection.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		if s.stallTimer != nil {
			s.stallTimer.Stop()
		}
		if s.resp != nil {
			s.closeBody()
		}
		s.cancel()
		s.pool.release(s.endpoint, s.conn)
	})
	return nil
}

// closeBody ends the reading of the body.
func (s *stream) closeBody() {
	if !s.ended.Load() {
		s.cancel()
	}
	if s.buffer != nil {
		s.buffer.Close()
	}
	s.resp.Body.Close()
	s.bufferRun.Wait()
}
