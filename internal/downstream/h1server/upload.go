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

// pacedReader reads a body that must not pause for longer than stallTimeout. If minRate is set, the body must also come
// at that rate, over all of it after gracePeriod.
type pacedReader struct {
	from         io.Reader
	control      *http.ResponseController
	stallTimeout time.Duration
	minRate      int64 // bytes per second; 0: any
	gracePeriod  time.Duration

	start    time.Time // of the first Read, where minRate is set
	received int64     // bytes
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
		p.control.SetReadDeadline(time.Time{}) // net/http reads on to detect a disconnect
	}
	return n, err
}

// runUpload starts to read an upload, in a goroutine. ctx ends when reading fails. onComplete, if not nil, is called
// when the last byte has arrived. stop ends the upload and waits for the goroutine; it must be called before the
// request's handler returns, and does nothing when called again.
func runUpload(
	parent context.Context, control *http.ResponseController, u *h1client.Upload, patient bool, onComplete func(),
) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(parent)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		u.Run(patient)
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
			control.SetReadDeadline(time.Unix(1, 0)) // ends a Read that waits for the client
		}
		<-finished
		cancel()
	})
}

// uploadError returns the rejection for a body whose reading failed with err.
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
