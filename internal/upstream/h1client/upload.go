package h1client

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadPartBytes is read from a client at a time.
	uploadPartBytes = 16 << 10
	// forwardBufferBytes is the buffer of an upload that can't be sent again any more.
	forwardBufferBytes = 64 << 10
	// UploadBufferTimeout is how long the end of a body of unknown length is awaited before its request is forwarded.
	// It suffices for a body that a client sends together with its header.
	UploadBufferTimeout = 10 * time.Millisecond
)

var (
	errBeginningDropped = errors.New("h1client: the beginning of the body was dropped")
	errUploadClosed     = errors.New("h1client: the body is closed")
)

// Upload is a request's body that is forwarded while it arrives. It buffers the beginning, up to a limit: while all of
// the body fits, further attempts can send it from its first byte. The first attempt that needs more becomes the owner
// of the upload, and what it has read is dropped to make room.
//
// An upload uses the limit and one part of 16 KiB of memory, whatever its length.
type Upload struct {
	from io.Reader // the client's body; only Run reads it
	// Trailer returns the announced fields behind the body (RFC 9110, 6.5), once it was read to its end; nil: none. It
	// must be set before Run.
	Trailer func() http.Header

	// mu guards the fields below.
	mu         sync.Mutex
	changed    sync.Cond // of any field below
	limit      int       // on buffer, in bytes
	buffer     []byte    // of the body, from offset on
	offset     int64
	owner      *uploadReader // has read what was dropped; nil: nothing was
	err        error         // io.EOF: buffer ends with the body's last byte; otherwise why reading failed
	requested  bool          // an attempt has read from the body
	closed     bool
	discarding bool // what arrives is read and dropped
}

// NewUpload returns an upload that buffers at most limit bytes, 1 or more. Run fills it.
func NewUpload(from io.Reader, limit int) *Upload {
	u := &Upload{from: from, limit: limit}
	u.changed.L = &u.mu
	return u
}

// Run reads the client's body until its end, an error or Close. With onDemand it waits until an attempt reads the body,
// since the client expects 100 Continue (RFC 9110, 10.1.1).
func (u *Upload) Run(onDemand bool) {
	part := make([]byte, min(uploadPartBytes, u.limit))
	u.mu.Lock()
	defer u.mu.Unlock()
	for onDemand && !u.requested && !u.closed {
		u.changed.Wait()
	}
	for !u.closed {
		free := u.limit - len(u.buffer)
		if free == 0 && !u.discarding {
			u.changed.Wait()
			continue
		}
		u.mu.Unlock()
		if u.discarding {
			free = len(part)
		}
		n, err := u.from.Read(part[:min(free, len(part))])
		u.mu.Lock()
		if !u.discarding {
			u.buffer = append(u.buffer, part[:n]...)
		}
		if err != nil {
			u.err = err
			u.changed.Broadcast()
			return
		}
		u.changed.Broadcast()
	}
}

// Discard has the rest of the body read and dropped, and waits for its end: a client may read its response only after
// it has sent all. Attempts get no more of the body.
func (u *Upload) Discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.discarding, u.buffer = true, nil
	u.changed.Broadcast()
	for u.err == nil && !u.closed {
		u.changed.Wait()
	}
}

// Close ends all reading. Run returns after its Read in progress.
func (u *Upload) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	u.changed.Broadcast()
}

// AwaitBufferFor waits until the body has ended or its buffer is full, at most for timeout.
func (u *Upload) AwaitBufferFor(timeout time.Duration) {
	expired := false // set by the timer: a clock that is read a moment too early would have the wait never end
	timer := time.AfterFunc(timeout, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		expired = true
		u.changed.Broadcast()
	})
	defer timer.Stop()
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.err == nil && len(u.buffer) < u.limit && !expired {
		u.changed.Wait()
	}
}

// AwaitBuffer waits until the body has ended or failed, or its buffer is full. The client's body must have a deadline.
func (u *Upload) AwaitBuffer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.err == nil && len(u.buffer) < u.limit {
		u.changed.Wait()
	}
}

// Complete returns the body and true if it was read to its end and nothing was dropped.
func (u *Upload) Complete() ([]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffer, u.err == io.EOF && u.owner == nil
}

// ReadToEnd reports whether the client's last byte has arrived.
func (u *Upload) ReadToEnd() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// Err returns why reading the client's body failed; nil: it did not.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == io.EOF {
		return nil
	}
	return u.err
}

// Consumed reports whether the body's beginning was dropped, so that no further attempt can send it.
func (u *Upload) Consumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.owner != nil
}

// Reader returns the body from its first byte, for one attempt. Closing it ends a Read that waits.
func (u *Upload) Reader() io.ReadCloser { return &uploadReader{upload: u} }

// uploadReader reads an upload for one attempt.
type uploadReader struct {
	upload *Upload
	offset int64 // guarded by upload.mu, as is
	closed bool
}

// Read implements io.Reader. After an error other than io.EOF the body is not complete.
func (r *uploadReader) Read(p []byte) (int, error) {
	u := r.upload
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.requested {
		u.requested = true
		u.changed.Broadcast()
	}
	for ; ; u.changed.Wait() {
		switch end := u.offset + int64(len(u.buffer)); {
		case r.closed || u.closed || u.discarding:
			return 0, errUploadClosed
		case r.offset < u.offset:
			return 0, errBeginningDropped
		case r.offset < end:
			n := copy(p, u.buffer[r.offset-u.offset:])
			r.offset += int64(n)
			return n, nil
		case u.err != nil:
			return 0, u.err
		case len(u.buffer) == u.limit || u.owner == r: // it does not fit: r becomes the owner
			if u.owner != r && cap(u.buffer) > forwardBufferBytes { // it was to be sent again
				u.buffer, u.limit = nil, min(u.limit, forwardBufferBytes)
			}
			u.owner = r
			u.offset, u.buffer = r.offset, u.buffer[:0]
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
