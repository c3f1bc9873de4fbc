package h1client

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// chunkHeadRoom is the room for a chunk's size and the end of its line, in bytes (RFC 9112, 7.1).
const chunkHeadRoom = 8

// uploadSender writes an upload to an endpoint, beside the reading of the answer.
type uploadSender struct {
	upload       *Upload
	body         io.ReadCloser // of upload, for this attempt
	chunked      bool
	stallTimeout time.Duration // of one Write

	done chan struct{} // closed when nothing is written any more
	// Set before done is closed.
	err          error // nil: the body was written to its end
	clientFailed bool  // err is that of reading the body
}

// startUpload starts to write an upload, in chunks or as it is. The caller must call stop.
func (c *conn) startUpload(u *Upload, chunked bool, stallTimeout time.Duration) *uploadSender {
	s := &uploadSender{
		upload: u, body: u.Reader(), chunked: chunked, stallTimeout: stallTimeout, done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.run(c)
	}()
	return s
}

// run writes the body until its end, an error, or stop.
func (s *uploadSender) run(c *conn) {
	buffer := make([]byte, chunkHeadRoom+uploadPartBytes+len("\r\n"))
	for {
		n, err := s.body.Read(buffer[chunkHeadRoom : chunkHeadRoom+uploadPartBytes])
		part := buffer[chunkHeadRoom : chunkHeadRoom+n]
		if s.chunked {
			part = s.chunk(buffer, n, err == io.EOF)
		}
		if len(part) > 0 {
			c.SetWriteDeadline(time.Now().Add(s.stallTimeout))
			if _, writeErr := c.Conn.Write(part); writeErr != nil {
				s.err = writeErr
				return
			}
		}
		if err == io.EOF {
			c.SetWriteDeadline(time.Time{})
			return
		}
		if err != nil { // the endpoint must not take what it has for the complete body
			s.err, s.clientFailed = err, true
			c.Conn.Close()
			return
		}
	}
}

// chunk returns the n bytes behind chunkHeadRoom in the buffer as a chunk, followed by the last chunk and the trailers
// if the body has ended.
func (s *uploadSender) chunk(buffer []byte, n int, ended bool) []byte {
	part := buffer[chunkHeadRoom : chunkHeadRoom+n]
	if n > 0 {
		size := strconv.AppendInt(nil, int64(n), 16)
		start := chunkHeadRoom - len(size) - len("\r\n")
		copy(buffer[start:], size)
		copy(buffer[chunkHeadRoom-len("\r\n"):], "\r\n")
		copy(buffer[chunkHeadRoom+n:], "\r\n")
		part = buffer[start : chunkHeadRoom+n+len("\r\n")]
	}
	if !ended {
		return part
	}
	part = append(part, "0\r\n"...)
	if s.upload.Trailer != nil {
		part = appendFields(part, s.upload.Trailer())
	}
	return append(part, "\r\n"...)
}

// appendFields appends fields as lines (RFC 9112, 5). Names and values were read by net/http, which accepts no line end
// in them.
func appendFields(b []byte, fields http.Header) []byte {
	for name, values := range fields {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// stop ends the sending and waits for its goroutine. It returns true if the body was written to its end, so that the
// connection can serve a further request. A nil sender has nothing to write.
func (s *uploadSender) stop(c *conn) (complete bool) {
	if s == nil {
		return true
	}
	select {
	case <-s.done:
	default:
		s.body.Close()
		c.Conn.SetWriteDeadline(time.Unix(1, 0)) // ends a Write that waits for the endpoint
		<-s.done
	}
	return s.err == nil
}
