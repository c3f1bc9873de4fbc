package h1client

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadReadBytes is the maximum number of bytes of an upload that are read or written at a time.
	uploadReadBytes = 16 << 10
	// firstBufferBytes is the size of an upload's first buffer.
	firstBufferBytes = 4 << 10
	// forwardBufferBytes is the maximum size of the buffer of an upload that can't be sent again from its beginning.
	forwardBufferBytes = 64 << 10
	// UploadBufferTimeout is how long, at most, a caller of AwaitBufferFor waits for an Upload to end or to fill its buffer
	// before the caller forwards it. The timeout suffices for a body that is sent together with the header.
	UploadBufferTimeout = 10 * time.Millisecond
)

var (
	errBeginningDropped = errors.New("h1client: the beginning of the request body is no longer buffered")
	errUploadClosed     = errors.New("h1client: the request body is closed for reading")
)

// BufferMemory accounts for the memory of an upload's buffer beyond the first 4 KiB. It is safe for concurrent use.
type BufferMemory interface {
	Grow(n int) bool // reserves n bytes, and reports whether there were as many
	Shrink(n int)    // gives n reserved bytes back
}

// Upload is a request body that is forwarded while it arrives. It buffers the beginning of the body, up to a limit. As long
// as the body fits the buffer, any number of attempts can send it from its first byte. The first attempt that needs more of
// the body than fits becomes the owner of the upload, and the bytes that it has read are dropped to make room.
//
// Whatever the length of the body, an upload needs only the memory of its buffer, up to the limit, and of one read buffer
// of at most 16 KiB.
type Upload struct {
	source io.Reader // the client's body; only Run reads it
	// Memory accounts for the buffer. If it is nil, the buffer may grow up to its limit. It must be set before Run is called.
	Memory BufferMemory
	// Trailer returns the announced trailer fields (RFC 9110, 6.5) once the body was read to its end. It is nil if there
	// are none. It must be set before Run is called.
	Trailer func() http.Header

	// mu guards the fields below.
	mu        sync.Mutex
	changed   sync.Cond     // signals that a field below has changed
	maxBuffer int           // the limit that NewUpload was given
	limit     int           // maximum length of buffer in bytes; it falls to the present one if Memory refuses to grow
	buffer    []byte        // part of the body that starts at offset
	offset    int64         // number of bytes of the body that were dropped
	owner     *uploadReader // the reader that has read the dropped bytes; nil if none were dropped
	err       error         // io.EOF if the body was read to its end, or the error of reading it; nil before
	requested bool          // an attempt has called Read
	closed    bool          // Close was called
	arrived   []func()      // called once the body was read to its end
}

// NewUpload returns an upload that buffers at most limit bytes; limit must be at least 1. Run must be called to read the
// body.
func NewUpload(source io.Reader, limit int) *Upload {
	u := &Upload{source: source, maxBuffer: limit, limit: limit}
	u.changed.L = &u.mu
	return u
}

// Run reads the client's body until its end, an error or Close. If onDemand is true, it starts only when an attempt reads the
// body, because the first Read of a body whose client expects 100 Continue sends that response (RFC 9110, 10.1.1).
func (u *Upload) Run(onDemand bool) {
	readBuffer := make([]byte, min(uploadReadBytes, u.limit))
	u.mu.Lock()
	defer u.mu.Unlock()
	for onDemand && !u.requested && !u.closed {
		u.changed.Wait()
	}
	for !u.closed {
		u.grow()
		free := min(u.limit, cap(u.buffer)) - len(u.buffer)
		if free == 0 {
			u.changed.Wait()
			continue
		}
		u.mu.Unlock()
		n, err := u.source.Read(readBuffer[:min(free, len(readBuffer))])
		u.mu.Lock()
		u.buffer = append(u.buffer, readBuffer[:n]...)
		if err != nil {
			u.end(err)
			return
		}
		u.changed.Broadcast()
	}
}

// grow makes a full buffer larger, up to limit. If Memory refuses that, the buffer stays as it is and limit is its size. u.mu
// must be locked.
func (u *Upload) grow() {
	size := cap(u.buffer)
	if len(u.buffer) < size || size >= u.limit {
		return
	}
	grown := min(u.limit, max(firstBufferBytes, 2*size))
	if u.Memory != nil && size > 0 && !u.Memory.Grow(grown-size) {
		u.limit = size
		u.changed.Broadcast()
		return
	}
	u.buffer = append(make([]byte, 0, grown), u.buffer...)
}

// shrink limits the buffer of an upload that can't be sent again from its beginning, so that a smaller one suffices. Its content
// was read. u.mu must be locked.
func (u *Upload) shrink() {
	u.limit = min(u.maxBuffer, forwardBufferBytes)
	if size := cap(u.buffer); size > u.limit {
		u.buffer = nil
		if u.Memory != nil {
			u.Memory.Shrink(size - firstBufferBytes)
		}
	}
}

// end records the end of the body or the error of reading it. u.mu must be locked, and is unlocked meanwhile.
func (u *Upload) end(err error) {
	u.err = err
	u.changed.Broadcast()
	arrived := u.arrived
	u.arrived = nil
	if err != io.EOF {
		return
	}
	u.mu.Unlock()
	defer u.mu.Lock()
	for _, f := range arrived {
		f()
	}
}

// onArrived has f called once the body was read to its end. It returns false if the body has ended or failed before.
func (u *Upload) onArrived(f func()) (arriving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return false
	}
	u.arrived = append(u.arrived, f)
	return true
}

// Close ends the reading of the body by Run and by all attempts. Run returns once its Read in progress has returned.
func (u *Upload) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	u.changed.Broadcast()
}

// AwaitBufferFor waits until the body has ended or failed, its buffer is full, or the timeout has expired.
func (u *Upload) AwaitBufferFor(timeout time.Duration) {
	// expired is set by the timer, not computed from the clock: if the clock showed time left when the timer fires, nothing
	// would wake the wait again.
	expired := false
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

// AwaitBuffer waits until the body has ended or failed, or its buffer is full. It has no timeout, so reads of the client's
// body must have a deadline.
func (u *Upload) AwaitBuffer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.err == nil && len(u.buffer) < u.limit {
		u.changed.Wait()
	}
}

// Complete returns the buffered part of the body, and true if the body was read to its end and no reader has become the
// owner of the upload. The buffered part is then the whole body.
func (u *Upload) Complete() ([]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffer, u.err == io.EOF && u.owner == nil
}

// ReadToEnd reports whether the body was read to its end.
func (u *Upload) ReadToEnd() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// BytesRead returns the number of bytes of the body that were read from the client.
func (u *Upload) BytesRead() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.offset + int64(len(u.buffer))
}

// Err returns the error of reading the client's body, or nil if reading has not failed.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == io.EOF {
		return nil
	}
	return u.err
}

// Consumed reports whether a reader has become the owner of the upload, so that the beginning of the body was dropped and no
// further attempt can send the body.
func (u *Upload) Consumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.owner != nil
}

// Reader returns a reader of the body for one attempt, from the first byte on. Closing the reader ends a Read in progress.
func (u *Upload) Reader() io.ReadCloser { return &uploadReader{upload: u} }

// uploadReader reads an upload for one attempt.
type uploadReader struct {
	upload *Upload
	offset int64 // number of bytes read; guarded by upload.mu
	closed bool  // Close was called; guarded by upload.mu
}

// Read implements io.Reader. After an error other than io.EOF, the attempt has not got the whole body.
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
		case r.closed || u.closed:
			return 0, errUploadClosed
		case r.offset < u.offset:
			return 0, errBeginningDropped
		case r.offset < end:
			n := copy(p, u.buffer[r.offset-u.offset:])
			r.offset += int64(n)
			return n, nil
		case u.err != nil:
			return 0, u.err
		case len(u.buffer) == u.limit || u.owner == r: // the body does not fit the buffer: r is or becomes the owner
			// When r becomes the owner, the body can't be sent again from its beginning, so a smaller buffer suffices.
			if u.owner != r {
				u.shrink()
			}
			u.owner = r
			u.offset, u.buffer = r.offset, u.buffer[:0]
			u.changed.Broadcast()
		}
	}
}

// Close implements io.Closer. It ends a Read in progress, but not the upload.
func (r *uploadReader) Close() error {
	r.upload.mu.Lock()
	defer r.upload.mu.Unlock()
	r.closed = true
	r.upload.changed.Broadcast()
	return nil
}
