package h1client

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// uploadPart is how many bytes are read from a client at a time.
	uploadPart = 16 << 10
	// onlyPassed is how much is held of a body that is only passed on.
	onlyPassed = 64 << 10
	// UploadBufferTimeout is how long a body of no known length is waited for before its request
	// goes on without its end: long enough for what a client sent at one go.
	UploadBufferTimeout = 10 * time.Millisecond
)

var (
	errSpent  = errors.New("httpup: the beginning of the body is gone")
	errClosed = errors.New("httpup: the body is closed")
)

// Upload is a request's body that is passed on while it comes. It holds what came first, up
// to a limit: so long as all of it fits, an attempt can begin with it anew. The first attempt
// that needs what is beyond has it for its own, and what it has read is dropped to make room.
//
// Its memory is the limit and one part of 16 KiB, whatever its length.
type Upload struct {
	from  io.Reader // the client's; read by one goroutine, Run
	limit int
	// Trailer gives the fields behind the body once it has come to its end (RFC 9110, 6.5), of
	// those that were announced; nil: there are none. Set before Run.
	Trailer func() http.Header

	mu      sync.Mutex
	changed sync.Cond // any of what follows
	held    []byte    // from offset at on
	at      int64
	owner   *uploadReader // who has read what is dropped; nil: nothing is
	err     error         // io.EOF: held has the body's last byte; else why no more comes
	wanted  bool          // an attempt has asked for the body
	closed  bool
	// discards: nobody wants what comes any more; it is read all the same.
	discards bool
}

// NewUpload makes an upload that holds limit bytes at most, 1 or more. Run fills it.
func NewUpload(from io.Reader, limit int) *Upload {
	u := &Upload{from: from, limit: limit}
	u.changed.L = &u.mu
	return u
}

// Run reads the client's body until its end or Close. With patient it waits until an attempt
// wants the body: the client was told to (RFC 9110, 10.1.1).
func (u *Upload) Run(patient bool) {
	part := make([]byte, min(uploadPart, u.limit))
	u.mu.Lock()
	defer u.mu.Unlock()
	for patient && !u.wanted && !u.closed {
		u.changed.Wait()
	}
	for !u.closed {
		room := u.limit - len(u.held)
		if room == 0 && !u.discards {
			u.changed.Wait()
			continue
		}
		u.mu.Unlock()
		if u.discards {
			room = len(part)
		}
		n, err := u.from.Read(part[:min(room, len(part))])
		u.mu.Lock()
		if !u.discards {
			u.held = append(u.held, part[:n]...)
		}
		if err != nil {
			u.err = err
			u.changed.Broadcast()
			return
		}
		u.changed.Broadcast()
	}
}

// Discard has what still comes read and dropped, and waits for the body's end: the client may read
// its answer only when it has sent all. No attempt gets any more of it.
func (u *Upload) Discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.discards, u.held = true, nil
	u.changed.Broadcast()
	for u.err == nil && !u.closed {
		u.changed.Wait()
	}
}

// Close ends all reading. Run returns once its own Read does.
func (u *Upload) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	u.changed.Broadcast()
}

// AwaitBufferFor waits until the body's end or as much as can be held has come, for so long at most.
func (u *Upload) AwaitBufferFor(most time.Duration) {
	over := false // what the timer says, not a clock: looked at a moment too early, it would be waited on for ever
	late := time.AfterFunc(most, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		over = true
		u.changed.Broadcast()
	})
	defer late.Stop()
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.err == nil && len(u.held) < u.limit && !over {
		u.changed.Wait()
	}
}

// AwaitBuffer waits until the body's end or as much as can be held has come, however long that
// takes: who reads from the client keeps a pace.
func (u *Upload) AwaitBuffer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.err == nil && len(u.held) < u.limit {
		u.changed.Wait()
	}
}

// Complete gives the body if it has come to its end and nothing of it is gone.
func (u *Upload) Complete() ([]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.held, u.err == io.EOF && u.owner == nil
}

// ReadToEnd tells that the client's last byte has come.
func (u *Upload) ReadToEnd() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// Err gives what ended the client's side before the body's end; nil: nothing did.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == io.EOF {
		return nil
	}
	return u.err
}

// Consumed tells that the body's beginning is gone.
func (u *Upload) Consumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.owner != nil
}

// Reader gives the body from its beginning, to one attempt. Closing it ends a Read that waits.
func (u *Upload) Reader() io.ReadCloser { return &uploadReader{upload: u} }

type uploadReader struct {
	upload *Upload
	at     int64
	closed bool // guarded by upload.mu
}

// Read implements io.Reader. An error that is not io.EOF tells that the body won't come to
// its end.
func (r *uploadReader) Read(p []byte) (int, error) {
	u := r.upload
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.wanted {
		u.wanted = true
		u.changed.Broadcast()
	}
	for ; ; u.changed.Wait() {
		switch end := u.at + int64(len(u.held)); {
		case r.closed || u.closed || u.discards:
			return 0, errClosed
		case r.at < u.at:
			return 0, errSpent
		case r.at < end:
			n := copy(p, u.held[r.at-u.at:])
			r.at += int64(n)
			return n, nil
		case u.err != nil:
			return 0, u.err
		case len(u.held) == u.limit || u.owner == r: // it fits no more: from here on it is r's alone
			if u.owner != r && cap(u.held) > onlyPassed { // it was held to be sent again, which is over
				u.held, u.limit = nil, min(u.limit, onlyPassed)
			}
			u.owner = r
			u.at, u.held = r.at, u.held[:0]
			u.changed.Broadcast()
		}
	}
}

// Close implements io.Closer.
func (r *uploadReader) Close() error {
	r.upload.mu.Lock()
	defer r.upload.mu.Unlock()
	r.closed = true
	r.upload.changed.Broadcast()
	return nil
}

// sending is an upload on its way to a server, beside the answer.
type sending struct {
	body   io.ReadCloser
	done   chan struct{} // closed when nothing is written any more
	err    error         // set by then; nil: the body went out to its end
	client bool          // err is the client's side's
}

// send writes the body to the server, in chunks where its length is not known (RFC 9112, 7.1).
func (c *conn) send(u *Upload, chunked bool, stall time.Duration) *sending {
	s := &sending{body: u.Reader(), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		const room = 8 // for a chunk's size and its line's end
		buffer := make([]byte, room+uploadPart+2)
		for {
			n, err := s.body.Read(buffer[room : room+uploadPart])
			part := buffer[room : room+n]
			if chunked && n > 0 {
				size := strconv.AppendInt(nil, int64(n), 16)
				from := room - len(size) - 2
				copy(buffer[from:], size)
				copy(buffer[room-2:], "\r\n")
				copy(buffer[room+n:], "\r\n")
				part = buffer[from : room+n+2]
			}
			if err == io.EOF && chunked {
				part = append(part, "0\r\n"...)
				if u.Trailer != nil {
					part = appendFields(part, u.Trailer())
				}
				part = append(part, "\r\n"...)
			}
			if len(part) > 0 {
				c.SetWriteDeadline(time.Now().Add(stall))
				if _, werr := c.Conn.Write(part); werr != nil {
					s.err = werr
					return
				}
			}
			if err == io.EOF {
				c.SetWriteDeadline(time.Time{})
				return
			}
			if err != nil { // the server must not take what it has for the whole
				s.err, s.client = err, true
				c.Conn.Close()
				return
			}
		}
	}()
	return s
}

// appendFields writes fields as lines (RFC 9112, 5). Values have come through net/http, which
// lets no line end in.
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

// stop ends the sending; whole tells that the body had gone out to its end, so that the
// connection may be used again.
func (s *sending) stop(c *conn) (whole bool) {
	if s == nil {
		return true
	}
	select {
	case <-s.done:
	default:
		s.body.Close()
		c.Conn.SetWriteDeadline(time.Unix(1, 0)) // a Write that waits for the server ends
		<-s.done
	}
	return s.err == nil
}
