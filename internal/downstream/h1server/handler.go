package h1server

// The way of one request through the front: ServeHTTP lists its steps.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

type connKey struct{}

// exchange is one request and its answer.
type exchange struct {
	front   *Server
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	conn    *clientConn // of the client; nil if it is not in the table of connections
	to      ingress.Destination
	request *engine.Request
	payload *h1client.Request

	ctx       context.Context // ends when the client has disconnected or its upload has failed
	endUpload func()          // waits for the upload's goroutine; does nothing when called again
}

// ServeHTTP answers one request. It panics with http.ErrAbortHandler where the client's connection, or its HTTP/2
// stream, has to end without a complete answer.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := counted(r)
	f.limitConnection(w, r, conn)
	if err := f.checkHead(r); err != nil {
		refuse(w, r, err)
		return
	}
	if r.URL.Path == "/health/ready" {
		f.readiness(w)
		return
	}
	e, err := f.newExchange(w, r, conn)
	if err != nil {
		refuse(w, r, err)
		return
	}
	defer f.free(e.payload)
	if !e.admit() {
		return
	}
	id := e.payload.Header.Get("X-Request-Id")
	if !f.claim(id) {
		refuse(w, r, &ingress.Rejection{Status: http.StatusConflict, Text: "a request with this X-Request-ID is open"})
		return
	}
	f.asked.Store(time.Now().UnixNano())
	f.taken.Add(1)
	if err := e.startUpload(); err != nil {
		f.disclaim(id)
		refuse(w, r, err)
		return
	}
	defer e.endUpload()
	defer e.watchClient()()
	answer, err := e.to.Cluster.Do(e.ctx, e.request)
	if conn != nil {
		conn.answered()
	}
	f.disclaim(id)
	if e.refuseBrokenUpload(answer, err) {
		return
	}
	e.respond(answer, err)
}

// limitConnection decides, ahead of anything else, whether the connection ends with the answer and until when the
// request's bytes are read.
func (f *Server) limitConnection(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	if f.draining.Load() || f.lame.Load() {
		w.Header().Set("Connection", "close") // have clients move to other nodes
	}
	if r.ContentLength != 0 { // also what net/http reads behind a refusal
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	}
	if f.options.Strict && (r.ProtoMinor == 0 || conn != nil && conn.doubtful(r)) {
		// Whoever stands before may see the end of this request elsewhere: what comes behind it
		// is served to nobody.
		w.Header().Set("Connection", "close")
	}
}

// checkHead refuses requests by their framing and rewrites the fields that tell of the request's way to here.
func (f *Server) checkHead(r *http.Request) error {
	if err := f.framing(r); err != nil {
		return err
	}
	if f.options.ForwardedHeaders == nil {
		return nil
	}
	if err := f.options.ForwardedHeaders.Apply(r); err != nil {
		return &ingress.Rejection{Status: http.StatusBadRequest, Text: err.Error()}
	}
	return nil
}

// newExchange routes and parses a request. The error is answered by refuse.
func (f *Server) newExchange(w http.ResponseWriter, r *http.Request, conn *clientConn) (*exchange, error) {
	to, err := f.router.Route(r)
	if err != nil {
		return nil, err
	}
	e := &exchange{front: f, w: w, r: r, control: http.NewResponseController(w), conn: conn, to: to}
	if e.request, err = f.parse(r, &e.to, e.control); err != nil {
		return nil, err
	}
	e.payload = e.request.Payload.(*h1client.Request)
	return e, nil
}

// admit counts the request in the table of connections; false if it was answered, since the client has a place only
// to be told when to come back, or there is no time left.
func (e *exchange) admit() bool {
	if e.conn == nil {
		return true
	}
	if e.r.ProtoMajor == 1 && e.payload.Upload == nil && e.conn.left() {
		panic(http.ErrAbortHandler) // nobody waits for it: nothing may go out for it
	}
	switch open, over := e.conn.whole(e.r.ProtoMajor == 2); {
	case !open:
		panic(http.ErrAbortHandler) // to serve it here too would be to serve it twice
	case over, e.front.refusing.Load():
		e.w.Header().Set("Connection", "close")
		write(e.w, e.r.Method == http.MethodHead, engine.Answer{Verdict: engine.Rejected, RetryAfter: e.to.MaxRetryAfter})
		return false
	}
	return true
}

// startUpload has a body that is not at hand read while the request is decided.
func (e *exchange) startUpload() error {
	e.ctx, e.endUpload = e.r.Context(), func() {}
	switch {
	case e.payload.Upload == nil:
		// net/http goes on reading, to see the client leave. The deadline of the
		// request's own bytes would look like that.
		e.control.SetReadDeadline(time.Time{})
	case e.front.options.Strict:
		e.control.EnableFullDuplex()
		ctx, end, err := e.front.takeStrict(e.r, e.control, &e.to, e.request)
		if err != nil {
			return err
		}
		e.ctx, e.endUpload = ctx, end
	default:
		e.control.EnableFullDuplex() // an answer may begin before the body's end
		patient := e.r.Header.Get("Expect") != ""
		e.ctx, e.endUpload = take(e.ctx, e.control, e.payload.Upload, patient, nil)
		if !patient {
			e.payload.Upload.Settle(h1client.UploadPause)
		}
	}
	return nil
}

// watchClient has the request end when its client disconnects. The function that it gives ends the watch.
func (e *exchange) watchClient() (end func()) {
	ctx := e.ctx
	switch {
	case e.conn == nil:
		e.request.ClientDisconnected = func() bool { return ctx.Err() != nil }
	case e.r.ProtoMajor == 2:
		e.request.ClientDisconnected = e.conn.streamLeft(ctx)
	default:
		e.ctx, e.request.ClientDisconnected, end = e.conn.watch(ctx, e.front.options.Strict && e.payload.Upload == nil)
		return end
	}
	return func() {}
}

// refuseBrokenUpload answers a request whose body could not be read to its end, unless it was served all the same or
// its client has disconnected; true if it did.
func (e *exchange) refuseBrokenUpload(answer engine.Answer, err error) bool {
	upload := e.payload.Upload
	if upload == nil {
		return false
	}
	if err != nil {
		e.endUpload() // why the client's side ended may not be noted yet
	}
	fault := upload.Failed()
	// net/http takes the end of a read's time for the client's end; such a client is there.
	connected := e.r.Context().Err() == nil || errors.Is(fault, os.ErrDeadlineExceeded)
	if connected && fault != nil && (err != nil || answer.Verdict != engine.Served) {
		discard(answer)
		refuse(e.w, e.r, uploadFault(fault))
		return true
	}
	if !upload.Done() && e.r.ProtoMajor == 1 {
		e.w.Header().Set("Connection", "close")
	}
	return false
}

// respond gives the client the final answer.
func (e *exchange) respond(a engine.Answer, err error) {
	var rejection *ingress.Rejection
	switch {
	case errors.As(err, &rejection) && e.r.Context().Err() == nil: // it must not run beside, or behind, another one
		refuse(e.w, e.r, rejection)
		return
	case errors.Is(err, engine.ErrRetired) && e.r.Context().Err() == nil:
		a = engine.Answer{Verdict: engine.Rejected, RetryAfter: e.to.MaxRetryAfter}
	case err != nil:
		panic(http.ErrAbortHandler) // nobody is there to be answered
	}
	e.setWriteDeadline()
	if e.conn != nil && (e.conn.last() || e.conn.cut()) {
		e.w.Header().Set("Connection", "close")
	}
	answer, ok := a.Value.(*h1client.Answer)
	if ok && e.to.Response != nil {
		e.to.Response.Apply(answer.Header)
	}
	if ok && answer.Tunnel != nil {
		e.front.tunnel(e.control, answer)
		return
	}
	write(e.w, e.r.Method == http.MethodHead, a)
	e.discardUpload(a)
	switch {
	case ok && answer.Stream != nil:
		e.passStream(answer.Stream)
	case ok:
		trail(e.w, answer.Trailer)
	}
}

// setWriteDeadline bounds the time that the client may take for its answer.
func (e *exchange) setWriteDeadline() {
	if e.payload.Upload != nil { // its time may begin only now
		e.control.SetWriteDeadline(time.Now().Add(e.front.options.StallTimeout))
		return
	}
	e.control.SetWriteDeadline(time.Now().Add(e.request.Deadline - e.front.options.Clock.Now() + writeTimeout))
}

// discardUpload reads the rest of a body away whose answer is complete, so that the answer is not lost by a reset.
func (e *exchange) discardUpload(a engine.Answer) {
	upload := e.payload.Upload
	if upload == nil || !e.front.options.Strict || upload.Done() || isStream(a) {
		return
	}
	if e.control.Flush() == nil { // the answer is out at once, and stays readable
		upload.Discard()
	}
}

// passStream passes the rest of an answer on, and ends the connection or stream where it breaks.
func (e *exchange) passStream(s h1client.Stream) {
	complete := e.front.pass(e.r.Context(), e.w, e.control, s)
	if !e.r.ProtoAtLeast(1, 1) && e.conn != nil { // a cut is all that such a client can be told by
		e.conn.cutUnless(complete)
		return
	}
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// counted gives the connection of a request in the table of clients; nil if none is kept.
func counted(r *http.Request) *clientConn {
	nc, _ := r.Context().Value(connKey{}).(net.Conn)
	return inTable(nc)
}

// inTable gives the connection of the table below the layers on it; nil if there is none.
func inTable(nc net.Conn) *clientConn {
	for {
		switch c := nc.(type) {
		case *clientConn:
			return c
		case interface{ NetConn() net.Conn }: // TLS
			nc = c.NetConn()
		case interface{ Raw() net.Conn }: // the PROXY protocol
			nc = c.Raw()
		default:
			return nil
		}
	}
}
