package h1server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// pacedReader reads a body that may not pause for longer than stallTimeout. If minRate is set, the average rate of the
// body, not counting gracePeriod, may not fall below minRate either.
type pacedReader struct {
	from         io.Reader
	control      *http.ResponseController
	stallTimeout time.Duration
	minRate      int64 // bytes per second; 0: no minimum
	gracePeriod  time.Duration

	start    time.Time // time of the first Read; set only if minRate is
	received int64     // bytes read so far
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	now := time.Now()
	deadline := now.Add(p.stallTimeout)
	if p.minRate > 0 {
		if p.received == 0 && p.start.IsZero() {
			p.start = now
		}
		expected := time.Duration(p.received) * time.Second / time.Duration(p.minRate)
		if slowest := p.start.Add(p.gracePeriod + expected); slowest.Before(deadline) {
			deadline = slowest
		}
	}
	p.control.SetReadDeadline(deadline)
	n, err := p.from.Read(b)
	p.received += int64(n)
	if err == io.EOF {
		p.control.SetReadDeadline(time.Time{}) // net/http reads on, without a deadline, to detect a disconnect
	}
	return n, err
}

// runUpload starts a goroutine that reads an upload. With onDemand it reads only once an attempt needs the body. ctx
// ends when reading fails. onComplete, if not nil, is called when the last byte has arrived. stop ends the upload and
// waits for the goroutine. It must be called before the request's handler returns; further calls have no effect.
func runUpload(
	parent context.Context, control *http.ResponseController, u *h1client.Upload, onDemand bool, onComplete func(),
) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(parent)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		u.Run(onDemand)
		switch {
		case u.Err() != nil:
			cancel()
		case u.ReadToEnd() && onComplete != nil:
			onComplete()
		}
	}()
	return ctx, sync.OnceFunc(func() {
		u.Close()
		if !u.ReadToEnd() {
			control.SetReadDeadline(time.Unix(1, 0)) // ends a Read that is waiting for the client
		}
		<-finished
		cancel()
	})
}

// uploadError returns the rejection of a request whose body could not be read because of err.
func uploadError(err error) *ingress.Rejection {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &ingress.Rejection{Status: http.StatusRequestEntityTooLarge, Message: "the body is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &ingress.Rejection{Status: http.StatusRequestTimeout, Message: "the body did not come in time"}
	}
	return &ingress.Rejection{Status: http.StatusBadRequest, Message: "the body can't be read"}
}
