package rawpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
)

// Server reads one request on each connection, sends the first AnswerBytes bytes of a fixed response and closes the
// connection. Create it with Start.
type Server struct {
	Addrs       []string
	AnswerBytes atomic.Int64 // number of bytes of the response that are sent
	Executed    atomic.Int64 // number of requests that were received completely

	answer      []byte
	readRequest func(io.Reader, io.Writer) bool
	tap         *Tap // nil if received bytes are not recorded
	listeners   []net.Listener
	accepting   sync.WaitGroup
}

// Start starts a server on the given number of free ports of 127.0.0.1. The bytes of answer are sent unchanged, and
// completely unless AnswerBytes is set. The bytes that the server receives are written to tap, unless tap is nil.
func Start(answer []byte, overHTTP2 bool, addresses int, tap *Tap) (*Server, error) {
	s := &Server{answer: answer, readRequest: readHTTP1, tap: tap}
	s.AnswerBytes.Store(int64(len(answer)))
	if overHTTP2 {
		s.readRequest = readHTTP2
	}
	for range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Down()
			return nil, err
		}
		s.Addrs = append(s.Addrs, listener.Addr().String())
		s.listeners = append(s.listeners, listener)
		s.accepting.Go(func() { s.accept(listener) })
	}
	return s, nil
}

// accept accepts and serves the connections of a listener until the listener is closed.
func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve reads one request from a connection, answers it if it is complete, and closes the connection.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(connTimeout))
	from := io.Reader(conn)
	if s.tap != nil {
		from = io.TeeReader(conn, s.tap)
	}
	if s.readRequest(from, conn) {
		s.Executed.Add(1)
		conn.Write(s.answer[:s.AnswerBytes.Load()])
	}
}

// Down closes the listeners. Open connections end after their response.
func (s *Server) Down() {
	for _, listener := range s.listeners {
		listener.Close()
	}
	s.accepting.Wait()
}

// readHTTP1 reads an HTTP/1.1 request and reports whether it is complete.
func readHTTP1(r io.Reader, _ io.Writer) bool {
	request, err := http.ReadRequest(bufio.NewReader(r))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// readHTTP2 reads the HTTP/2 connection preface and frames up to the first end of a stream. It reports whether it read
// that end. It sends empty settings and acknowledges the client's settings.
func readHTTP2(r io.Reader, w io.Writer) bool {
	if _, err := io.ReadFull(r, make([]byte, len(http2.ClientPreface))); err != nil {
		return false
	}
	framer := http2.NewFramer(w, r)
	framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return false
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				framer.WriteSettingsAck()
			}
		case *http2.HeadersFrame, *http2.DataFrame:
			if frame.Header().Flags.Has(http2.FlagDataEndStream) {
				return true
			}
		}
	}
}
