package h1server

import (
	"context"
	"io"
	"net/http"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// How request bodies of the platform's clients are taken. A client may send slowly, so a request's
// time begins with its last byte; until then it has to keep a pace.
const (
	// strictHeld is how much of a body is held where there is memory for it. One that fits goes
	// on when it is whole, and can be sent again from its beginning; a larger one goes on while
	// it comes.
	strictHeld = 1 << 20
	// leastPace is how many bytes a second a body has to come at, over all of it but for the
	// first bodyGrace. Clients may send at 64 kB/s.
	leastPace = 16 << 10
	bodyGrace = 5 * time.Second
	// bodyStall is how long a body may stand still.
	bodyStall = 4 * time.Second
)

// strictBody reads a body that can be held whole, and has any other come as an upload.
func (f *Server) strictBody(r *http.Request, control *http.ResponseController, to *h1client.Request) error {
	body := r.Body
	if f.options.MaxBodyBytes > 0 {
		body = http.MaxBytesReader(nil, body, f.options.MaxBodyBytes)
	}
	from := &paced{from: body, control: control, stall: bodyStall, rate: leastPace, grace: bodyGrace}
	want := r.ContentLength
	if want < 0 || want > strictHeld {
		want = strictHeld
	}
	for f.held.Add(want) > f.options.BodyMemory && want > leastHeld {
		f.held.Add(-want)
		want = max(want/16, leastHeld)
	}
	to.Held = want
	if r.ContentLength >= 0 && r.ContentLength <= want {
		var err error
		if to.Body, err = readKnown(from, r.ContentLength); err != nil {
			f.free(to)
			return uploadFault(err)
		}
		return nil
	}
	to.Upload, to.Length = h1client.NewUpload(from, int(want)), r.ContentLength
	return nil
}

// readKnown reads a body of a known length. Its memory grows as it comes: to announce a length
// costs a client nothing.
func readKnown(from io.Reader, length int64) ([]byte, error) {
	const first = 64 << 10
	body := make([]byte, 0, min(length, first))
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(length, int64(2*cap(body))))
			copy(grown, body)
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && int64(len(body)) < length {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// bodyCompleter is a cluster that is notified when the last byte of a request has arrived.
type bodyCompleter interface {
	BodyComplete(r *engine.Request, end time.Duration)
}

var _ bodyCompleter = (*engine.Cluster)(nil)

// takeStrict is take for the platform's clients, whose requests' time begins with their last byte:
// the upload comes until it is whole or as much of it as can be held is there. One that is whole
// goes on as a body at hand.
func (f *Server) takeStrict(r *http.Request, control *http.ResponseController, to *ingress.Destination, q *engine.Request) (here context.Context, done func(), err error) {
	payload := q.Payload.(*h1client.Request)
	u := payload.Upload
	var whole func()
	if cluster, ok := to.Cluster.(bodyCompleter); ok {
		q.BodyIncomplete = true
		whole = func() { cluster.BodyComplete(q, f.options.Clock.Now()+q.UploadTimeout) }
	}
	here, done = take(r.Context(), control, u, false, whole)
	u.SettleWhole()
	if err := u.Failed(); err != nil {
		done()
		return nil, nil, uploadFault(err)
	}
	if body, all := u.Whole(); all {
		done() // its last byte was told before the request is
		payload.Upload, payload.Body = nil, body
		return r.Context(), func() {}, nil
	}
	return here, done, nil
}
