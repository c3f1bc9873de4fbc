// Package adminapi is the operators' address: one line in, one line out to a connection. It decides
// nothing; a Handler carries calls out.
//
// It shares nothing with clients' requests but the processor: places, buffers and descriptors
// are its own. Whoever holds a place without finishing a call loses it to the next caller.
package adminapi

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// Places is how many callers may be connected; the next one takes the place of the one that
	// has been sending its call for longest.
	Places = 16
	// Descriptors is what the address holds at the most: the listener, the places and the one
	// that is being let in.
	Descriptors = Places + 2
	// callTime is how long a caller may take to send its call, and again to take the answer.
	callTime = 5 * time.Second
	// AnswerTime is how long a call may take to be carried out; callers wait for a second.
	AnswerTime = 800 * time.Millisecond
	// linger is how long what a caller has sent behind its call is read away, so that a reset does
	// not overtake the answer.
	linger     = 100 * time.Millisecond
	maxTrailer = 4 << 10
	maxAnswer  = 400 // bytes of an answer
)

// Handler carries out calls. It must be done within AnswerTime, which is the context's; what it
// says behind +OK, or of why it is not done, is one line.
type Handler interface {
	Handle(ctx context.Context, c Call) (string, error)
}

// Serve answers calls until the context ends; it closes the listener. It returns once nobody
// is connected any more.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	s := &server{handler: h}
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeAll()
	})
	defer stop()
	defer s.callers.Wait()
	defer s.closeAll()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.admit(ctx, nc)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default: // short of descriptors, say: it passes
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
}

type server struct {
	handler Handler
	callers sync.WaitGroup

	mu      sync.Mutex
	waiting list.List // *caller whose place may be taken, the first one first
	all     map[*caller]struct{}
}

// caller is a connection with a place. Its fields are guarded by server.mu.
type caller struct {
	net.Conn
	place *list.Element // in server.waiting; nil: its call is being carried out
	lost  bool          // its place is another's
}

// admit gives a caller a place.
func (s *server) admit(ctx context.Context, nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) >= Places {
		first := s.waiting.Front()
		if first == nil { // all are being carried out, which takes AnswerTime at most
			nc.Close()
			return
		}
		s.drop(first.Value.(*caller))
	}
	if s.all == nil {
		s.all = map[*caller]struct{}{}
	}
	c := &caller{Conn: nc}
	c.place = s.waiting.PushBack(c)
	s.all[c] = struct{}{}
	s.callers.Add(1)
	go func() {
		defer s.callers.Done()
		s.call(ctx, c)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(c)
	}()
}

// drop ends a caller's connection and gives its place back; s.mu is held.
func (s *server) drop(c *caller) {
	if c.lost {
		return
	}
	c.lost = true
	if c.place != nil {
		s.waiting.Remove(c.place)
	}
	delete(s.all, c)
	c.Close()
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		c.Close()
	}
}

// begun keeps a caller's place for it while its call is carried out; false: it was taken.
func (s *server) begun(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.lost {
		return false
	}
	s.waiting.Remove(c.place)
	c.place = nil
	return true
}

// answered lets the next caller have a place whose call is answered.
func (s *server) answered(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.place = s.waiting.PushFront(c)
}

// call serves one caller.
func (s *server) call(ctx context.Context, nc *caller) {
	nc.SetDeadline(time.Now().Add(callTime))
	line, err := readLine(nc)
	if !s.begun(nc) {
		return
	}
	if err != nil && !errors.Is(err, errLine) {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			nc.SetDeadline(time.Now().Add(linger))
			io.WriteString(nc, "-ERR the line did not come to its end in time\n")
		}
		return
	}
	answer := ""
	if err == nil {
		var c Call
		if c, err = Parse(line); err == nil {
			doing, cancel := context.WithTimeout(ctx, AnswerTime)
			answer, err = s.handler.Handle(doing, c)
			cancel()
		}
	}
	nc.SetDeadline(time.Now().Add(AnswerTime))
	if _, err := io.WriteString(nc, oneLine(answer, err)); err != nil {
		return
	}
	s.answered(nc)
	if tcp, ok := nc.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		nc.SetReadDeadline(time.Now().Add(linger))
		io.CopyN(io.Discard, nc, maxTrailer)
	}
}

// oneLine words an answer.
func oneLine(answer string, err error) string {
	text := "+OK"
	if err != nil {
		text, answer = "-ERR", err.Error()
	}
	if answer != "" {
		text += " " + strings.Map(func(r rune) rune {
			if r < ' ' || r > '~' {
				return '?'
			}
			return r
		}, answer[:min(len(answer), maxAnswer)])
	}
	return text + "\n"
}

// errLine is what is wrong with a line as such.
var errLine = errors.New("bad line")

type lineError string

func (e lineError) Error() string        { return string(e) }
func (e lineError) Is(target error) bool { return target == errLine }

// readLine reads one line, ended by LF or CR LF, and nothing behind it.
func readLine(r io.Reader) ([]byte, error) {
	buffer := make([]byte, 0, MaxLine)
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if end := bytes.IndexByte(buffer, '\n'); end >= 0 {
			if end+1 < len(buffer) {
				return nil, lineError("more than one line came")
			}
			return bytes.TrimSuffix(buffer[:end], []byte("\r")), nil
		}
		if len(buffer) == cap(buffer) {
			return nil, lineError("the line is too long")
		}
		switch {
		case err == io.EOF && len(buffer) > 0:
			return nil, lineError("the line has no end")
		case err != nil:
			return nil, err
		}
	}
}
