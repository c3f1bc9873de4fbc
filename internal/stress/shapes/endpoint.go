package shapes

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"yokestall/internal/testutil"
)

// smallBufferBytes is the receive buffer of an endpoint of ServeSmallBuffer.
const smallBufferBytes = 64 << 10

// ServeSmallBuffer is Serve for an endpoint that receives into a small buffer.
func ServeSmallBuffer(nc net.Conn, ended <-chan struct{}) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetReadBuffer(smallBufferBytes)
	}
	Serve(nc, ended)
}

// ServeByTurns returns the i-th of several endpoints. Every other one receives into a small buffer.
func ServeByTurns(i int) func(nc net.Conn, ended <-chan struct{}) {
	if i%2 == 0 {
		return ServeSmallBuffer
	}
	return Serve
}

// Serve serves a connection to an endpoint, which does with each request what its shape says. It returns when the connection
// is to be closed. ended ends the waits of an endpoint that has stopped reading.
func Serve(nc net.Conn, ended <-chan struct{}) {
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s, err := parseTarget(r.URL.Query())
		if err != nil { // a request without a shape, such as the test's first ones
			s = Shape{Answer: Message{Framing: Length, Size: 2}}
		}
		if !s.serve(nc, r, ended) {
			return
		}
	}
}

// serve serves one request. It returns false if the connection is to be closed.
func (s Shape) serve(nc net.Conn, r *http.Request, ended <-chan struct{}) (goesOn bool) {
	switch {
	case s.StopReading > 0:
		io.CopyN(io.Discard, r.Body, int64(s.StopReading))
		<-ended
		return false
	case s.AnswerAfter > 0:
		io.CopyN(io.Discard, r.Body, int64(s.AnswerAfter))
	default:
		body := &testutil.SlowReader{Reader: r.Body, Rate: s.ReadRate}
		if n, err := io.Copy(io.Discard, body); err != nil || n != int64(s.Request.Size) {
			return false
		}
	}
	if err := s.Answer.write(nc, "HTTP/1.1 200 OK\r\n"); err != nil || s.Answer.Framing == CloseDelimited {
		return false
	}
	if s.AnswerAfter == 0 {
		return true
	}
	io.Copy(io.Discard, r.Body) // closing with unread bytes would reset the connection
	return false
}
