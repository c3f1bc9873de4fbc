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

// stream is the HTTP/2 stream of an attempt. It is also the h1client.Stream of the attempt's answer.
type stream struct {
	pool     *Pool
	endpoint *endpoint
	conn     *conn
	cancel   context.CancelFunc // resets the HTTP/2 stream

	// The following fields are set by readAnswer.
	resp         *http.Response
	start        []byte           // start of the body that was read before the first Read
	buffer       *h1client.Upload // buffers a body of unknown length; nil: the body is not buffered
	bufferRun    sync.WaitGroup   // waits for the goroutine of buffer.Run
	reader       io.Reader        // rest of the body after start
	stallTimer   *time.Timer      // resets the stream if a Read, or the wait for the first, takes stallTimeout; may be nil
	stallTimeout time.Duration

	ended     atomic.Bool // whether the body was read to its end
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
	s.stallTimer.Stop() // the timer must not count the time that the client takes between reads
	if err == io.EOF {
		s.ended.Store(true)
	}
	return n, err
}

// Abort implements h1client.Stream.
func (s *stream) Abort() { s.cancel() }

// Trailer implements h1client.Stream.
func (s *stream) Trailer() http.Header { return s.resp.Trailer }

// Close implements h1client.Stream. It resets the HTTP/2 stream if the body was not read to its end, and returns the stream to
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

// closeBody ends the reading of the body, and waits for the goroutine that reads it, if there is one.
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
