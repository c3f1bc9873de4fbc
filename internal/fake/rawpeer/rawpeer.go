// Package rawpeer speaks HTTP by hand, where libraries would not do what a test or a rig wants:
// clients that send what they must not, and servers that stop in the middle of an answer.
package rawpeer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// connTimeout ends a connection whose other side does nothing.
const connTimeout = 2 * time.Minute

// Fields writes a block of fields, names and values in turn (RFC 7541).
func Fields(list ...string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for i := 0; i+1 < len(list); i += 2 {
		e.WriteField(hpack.HeaderField{Name: list[i], Value: list[i+1]})
	}
	return b.Bytes()
}

// OpenHTTP2 opens a connection and sends its start: preface and settings (RFC 9113, 3.4).
func OpenHTTP2(addr string) (net.Conn, *http2.Framer, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	nc.SetDeadline(time.Now().Add(connTimeout))
	f := http2.NewFramer(nc, nc)
	f.AllowIllegalWrites = true
	if _, err = io.WriteString(nc, http2.ClientPreface); err == nil {
		err = f.WriteSettings()
	}
	if err != nil {
		nc.Close()
		return nil, nil, err
	}
	return nc, f, nil
}

// Server reads one request of each connection and answers with so many bytes of an answer;
// then it closes. Create it with Start.
type Server struct {
	Addrs       []string
	AnswerBytes atomic.Int64 // bytes of the answer that are sent
	Executed    atomic.Int64 // requests that came to their last byte

	answer      []byte
	readRequest func(io.Reader, io.Writer) bool
	listeners   []net.Listener
	tap         *Tap
	accepting   sync.WaitGroup
}

// Start starts a server in so many places of 127.0.0.1. Its answer is written as it is given,
// all of it until Cut says otherwise. What comes in is written to a tap, if there is one.
func Start(answer []byte, overHTTP2 bool, places int, tap *Tap) (*Server, error) {
	s := &Server{answer: answer, readRequest: readHTTP1, tap: tap}
	s.AnswerBytes.Store(int64(len(answer)))
	if overHTTP2 {
		s.readRequest = readHTTP2
	}
	for range places {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Down()
			return nil, err
		}
		s.Addrs, s.listeners = append(s.Addrs, l.Addr().String()), append(s.listeners, l)
		s.accepting.Go(func() { s.accept(l) })
	}
	return s, nil
}

func (s *Server) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(connTimeout))
			from := io.Reader(nc)
			if s.tap != nil {
				from = io.TeeReader(nc, s.tap)
			}
			if s.readRequest(from, nc) {
				s.Executed.Add(1)
				nc.Write(s.answer[:s.AnswerBytes.Load()])
			}
		}()
	}
}

// Down ends the server; connections end with their answer.
func (s *Server) Down() {
	for _, l := range s.listeners {
		l.Close()
	}
	s.accepting.Wait()
}

func readHTTP1(r io.Reader, _ io.Writer) bool {
	req, err := http.ReadRequest(bufio.NewReader(r))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// readHTTP2 reads a connection's start and its first request.
func readHTTP2(r io.Reader, w io.Writer) bool {
	if _, err := io.ReadFull(r, make([]byte, len(http2.ClientPreface))); err != nil {
		return false
	}
	f := http2.NewFramer(w, r)
	f.WriteSettings()
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return false
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				f.WriteSettingsAck()
			}
		case *http2.HeadersFrame, *http2.DataFrame:
			if frame.Header().Flags.Has(http2.FlagDataEndStream) {
				return true
			}
		}
	}
}

// Tap keeps every byte that a server is sent, up to a megabyte between two looks.
type Tap struct {
	mu       sync.Mutex
	received bytes.Buffer
}

// Write implements io.Writer.
func (t *Tap) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.received.Len() < 1<<20 {
		t.received.Write(p)
	}
	return len(p), nil
}

// Drain gives what has come since the last time.
func (t *Tap) Drain() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.received.Reset()
	return t.received.String()
}
