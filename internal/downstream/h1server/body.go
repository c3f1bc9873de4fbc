package h1server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// body reads a body of a known, bounded length in what is left of the read timeout, and has
// any other come as an upload.
func (f *Server) body(r *http.Request, control *http.ResponseController, to *h1client.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	announced := announced(r.Trailer)
	small := r.ContentLength > 0 && r.ContentLength <= h1client.MaxBody && len(announced) == 0
	if f.options.Strict {
		return f.strictBody(r, control, to)
	}
	want := int64(h1client.MaxBody)
	if small {
		want = r.ContentLength
	}
	fits := f.held.Add(want) <= f.options.BodyMemory
	if !fits {
		f.held.Add(leastHeld - want)
		want = leastHeld
	}
	to.Held = want
	if small && fits {
		control.SetReadDeadline(time.Now().Add(readTimeout))
		to.Body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, to.Body); err != nil {
			f.free(to)
			return uploadFault(err)
		}
		return nil
	}
	body := r.Body
	if f.options.MaxBodyBytes > 0 {
		body = http.MaxBytesReader(nil, body, f.options.MaxBodyBytes)
	}
	to.Upload, to.Length = h1client.NewUpload(&paced{from: body, control: control, stall: f.options.StallTimeout}, int(want)), r.ContentLength
	if to.Announced = announced; len(announced) > 0 {
		to.Upload.Trailer = func() http.Header { return trailers(r, announced) }
	}
	return nil
}

// ahead are fields that may not come behind a body, besides those that net/http lets in nowhere.
var ahead = []string{
	"Authorization", "Cache-Control", "Connection", "Content-Encoding", "Content-Length", "Content-Range", "Content-Type",
	"Cookie", "Expect", "Forwarded", "Host", "Idempotency-Key", "Keep-Alive", "Max-Forwards", "Pragma", "Proxy-Authorization",
	"Proxy-Connection", "Range", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id", "X-Tenant-Id", "X-Timeout-Ms",
}

// announced gives the names of the fields that a client says will follow its body, of those that
// may (RFC 9110, 6.5.1): what frames, routes or proves a request has to come ahead of it.
func announced(fields http.Header) (names []string) {
	for name := range fields {
		if !strings.HasPrefix(name, "If-") && !strings.HasPrefix(name, "X-Forwarded-") && !slices.Contains(ahead, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// trailers gives the fields behind a body that has come to its end.
func trailers(r *http.Request, names []string) http.Header {
	out := http.Header{}
	for _, name := range names {
		if v := r.Trailer[name]; len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// free gives back the memory that a request's body might have taken.
func (f *Server) free(r *h1client.Request) {
	f.held.Add(-r.Held)
	r.Held = 0
}

// paced reads a body that must not stand still, and where rate is set has to come at so many bytes a
// second, over all of it but for the first grace.
type paced struct {
	from    io.Reader
	control *http.ResponseController
	stall   time.Duration
	rate    int64
	grace   time.Duration

	began time.Time
	got   int64
}

// Read implements io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	now := time.Now()
	end := now.Add(p.stall)
	if p.rate > 0 {
		if p.got == 0 && p.began.IsZero() {
			p.began = now
		}
		if late := p.began.Add(p.grace + time.Duration(p.got)*time.Second/time.Duration(p.rate)); late.Before(end) {
			end = late
		}
	}
	p.control.SetReadDeadline(end)
	n, err := p.from.Read(b)
	p.got += int64(n)
	if err == io.EOF {
		p.control.SetReadDeadline(time.Time{}) // net/http reads on, to see the client leave
	}
	return n, err
}

// take has an upload come. Its context ends where the client's side breaks; whole, if given, is called
// when the last byte has come. done ends it, and has to be called before the request's handler
// returns; again: nothing.
func take(ctx context.Context, control *http.ResponseController, u *h1client.Upload, patient bool, whole func()) (here context.Context, done func()) {
	ctx, cancel := context.WithCancel(ctx)
	over := make(chan struct{})
	go func() {
		defer close(over)
		u.Run(patient)
		switch {
		case u.Failed() != nil:
			cancel()
		case u.Done() && whole != nil:
			whole()
		}
	}()
	return ctx, sync.OnceFunc(func() {
		u.Close()
		if !u.Done() {
			control.SetReadDeadline(time.Unix(1, 0)) // ends a Read that waits for the client
		}
		<-over
		cancel()
	})
}

// uploadFault says what a client did to its request's body.
func uploadFault(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &ingress.Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the body is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &ingress.Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	}
	return &ingress.Rejection{Status: http.StatusBadRequest, Text: "the body can't be read"}
}
