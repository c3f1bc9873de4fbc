package h1client

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// chunkSizeLineBytes is the space in bytes that is reserved for the line with a chunk's size (RFC 9112, 7.1).
const chunkSizeLineBytes = 8

// uploadSender writes an upload to an endpoint while the answer is read.
type uploadSender struct {
	upload       *Upload
	body         io.ReadCloser // reader of upload for this attempt
	chunked      bool          // the body is written with chunked transfer coding
	stallTimeout time.Duration // timeout of a single Write

	done chan struct{} // closed when the goroutine of startUpload ends
	// The fields below are set before done is closed.
	err          error // error of reading or writing the body; nil if the body was written to its end
	clientFailed bool  // err is an error of reading the body; stop may cause it as well
}

// startUpload starts a goroutine that writes an upload to the endpoint, with or without chunked transfer coding. The caller
// must call stop on the returned sender.
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

// run writes the body until its end, an error of reading or writing, or a call of stop.
func (s *uploadSender) run(c *conn) {
	buffer := make([]byte, chunkSizeLineBytes+uploadReadBytes+len("\r\n"))
	for {
		n, err := s.body.Read(buffer[chunkSizeLineBytes : chunkSizeLineBytes+uploadReadBytes])
		data := buffer[chunkSizeLineBytes : chunkSizeLineBytes+n]
		if s.chunked {
			data = s.chunk(buffer, n, err == io.EOF)
		}
		if len(data) > 0 {
			c.SetWriteDeadline(time.Now().Add(s.stallTimeout))
			if _, writeErr := c.Conn.Write(data); writeErr != nil {
				s.err = writeErr
				return
			}
		}
		if err == io.EOF {
			c.SetWriteDeadline(time.Time{})
			return
		}
		if err != nil { // the endpoint must not take the part that it has for the whole body
			s.err, s.clientFailed = err, true
			c.Conn.Close()
			return
		}
	}
}

// chunk encodes n bytes of the body as a chunk and returns it. The bytes begin at offset chunkSizeLineBytes of buffer, and
// the chunk is built in place around them. If the body has ended, chunk also appends the last chunk and the trailer fields.
func (s *uploadSender) chunk(buffer []byte, n int, ended bool) []byte {
	data := buffer[chunkSizeLineBytes : chunkSizeLineBytes+n]
	if n > 0 {
		size := strconv.AppendInt(nil, int64(n), 16)
		start := chunkSizeLineBytes - len(size) - len("\r\n")
		copy(buffer[start:], size)
		copy(buffer[chunkSizeLineBytes-len("\r\n"):], "\r\n")
		copy(buffer[chunkSizeLineBytes+n:], "\r\n")
		data = buffer[start : chunkSizeLineBytes+n+len("\r\n")]
	}
	if !ended {
		return data
	}
	data = append(data, "0\r\n"...)
	if s.upload.Trailer != nil {
		data = appendFields(data, s.upload.Trailer())
	}
	return append(data, "\r\n"...)
}

// appendFields appends each field to b as a field line (RFC 9112, 5). Names and values need no check here: net/http has read
// them, and accepts no line ends in them.
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

// stop ends the writing of the body and waits for the end of its goroutine. It returns true if the body was written to its
// end, so that the connection can serve a further request. For a nil sender, which has nothing to write, it returns true.
func (s *uploadSender) stop(c *conn) (complete bool) {
	if s == nil {
		return true
	}
	select {
	case <-s.done:
	default:
		s.body.Close()
		c.Conn.SetWriteDeadline(time.Unix(1, 0)) // ends a Write in progress
		<-s.done
	}
	return s.err == nil
}
