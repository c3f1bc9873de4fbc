package h1server

// The way of one request through the server: ServeHTTP lists its steps.

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// writeGracePeriod is how long after its request's deadline a client may still read the response. A client that reads
// nothing would otherwise hold its connection for good.
const writeGracePeriod = 500 * time.Millisecond

// connKey is the key of a request's net.Conn in its context.
type connKey struct{}

// exchange is one request and its answer.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	conn    *clientConn // nil if it has no place in the table of connections
	to      ingress.Destination
	request *engine.Request
	payload *h1client.Request

	ctx       context.Context // ends when the client has disconnected or its upload has failed
	endUpload func()          // waits for the upload's goroutine; does nothing when called again
}

// ServeHTTP answers one request. It panics with http.ErrAbortHandler where the client's connection, or its HTTP/2
// stream, has to end without a complete answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := clientConnOf(r)
	s.limitConnection(w, r, conn)
	if err := s.checkHead(r); err != nil {
		reject(w, r, err)
		return
	}
	if r.URL.Path == "/health/ready" {
		s.serveHealthCheck(w)
		return
	}
	e, err := s.newExchange(w, r, conn)
	if err != nil {
		reject(w, r, err)
		return
	}
	defer s.releaseBuffer(e.payload)
	if !e.admit() {
		return
	}
	id := e.payload.Header.Get("X-Request-Id")
	if !s.claimID(id) {
		reject(w, r, &ingress.Rejection{
			Status: http.StatusConflict, Message: "a request with this X-Request-ID is open",
		})
		return
	}
	s.lastRequestAt.Store(time.Now().UnixNano())
	s.requestCount.Add(1)
	if err := e.startUpload(); err != nil {
		s.releaseID(id)
		reject(w, r, err)
		return
	}
	defer e.endUpload()
	defer e.watchClient()()
	answer, err := e.to.Cluster.Do(e.ctx, e.request)
	if conn != nil {
		conn.allowNextRequest()
	}
	s.releaseID(id)
	if e.rejectBrokenUpload(answer, err) {
		return
	}
	e.respond(answer, err)
}

// limitConnection decides, ahead of anything else, whether the connection ends with the answer and until when the
// request's bytes are read.
func (s *Server) limitConnection(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	if s.closingAfterResponses.Load() || s.lameDuck.Load() {
		w.Header().Set("Connection", "close") // have clients move to other nodes
	}
	if r.ContentLength != 0 { // also for what net/http reads after a rejection
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	}
	if s.options.Strict && (r.ProtoMinor == 0 || conn != nil && conn.hasAmbiguousFraming(r)) {
		// A proxy before this node may see the end of this request elsewhere: what follows it is not served.
		w.Header().Set("Connection", "close")
	}
}

// checkHead checks a request's framing, and applies Options.ForwardedHeaders.
func (s *Server) checkHead(r *http.Request) error {
	if err := s.checkFraming(r); err != nil {
		return err
	}
	if s.options.ForwardedHeaders == nil {
		return nil
	}
	if err := s.options.ForwardedHeaders.Apply(r); err != nil {
		return &ingress.Rejection{Status: http.StatusBadRequest, Message: err.Error()}
	}
	return nil
}

// newExchange routes and parses a request. The error is answered by reject.
func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, conn *clientConn) (*exchange, error) {
	to, err := s.router.Route(r)
	if err != nil {
		return nil, err
	}
	e := &exchange{server: s, w: w, r: r, control: http.NewResponseController(w), conn: conn, to: to}
	if e.request, err = s.parse(r, &e.to, e.control); err != nil {
		return nil, err
	}
	e.payload = e.request.Payload.(*h1client.Request)
	return e, nil
}

// admit reports the request to the table of connections. It returns false if the request was rejected: the connection
// is beyond the limits and only gets a response with Retry-After, or the shutdown leaves no time.
func (e *exchange) admit() bool {
	if e.conn == nil {
		return true
	}
	if e.r.ProtoMajor == 1 && e.payload.Upload == nil && e.conn.checkDisconnected() {
		panic(http.ErrAbortHandler) // the client has disconnected: nothing may be sent for it
	}
	switch open, overflow := e.conn.beginRequest(e.r.ProtoMajor == 2); {
	case !open:
		panic(http.ErrAbortHandler) // the client sends it again elsewhere
	case overflow, e.server.rejecting.Load():
		e.w.Header().Set("Connection", "close")
		rejected := engine.Answer{Verdict: engine.Rejected, RetryAfter: e.to.MaxRetryAfter}
		writeAnswer(e.w, e.r.Method == http.MethodHead, rejected)
		return false
	}
	return true
}

// startUpload starts to read a body that was not read yet.
func (e *exchange) startUpload() error {
	e.ctx, e.endUpload = e.r.Context(), func() {}
	switch {
	case e.payload.Upload == nil:
		// net/http reads on to detect a disconnect. The passed deadline of the request's own bytes would look like one.
		e.control.SetReadDeadline(time.Time{})
	case e.server.options.Strict:
		e.control.EnableFullDuplex()
		ctx, end, err := e.server.runPlatformUpload(e.r, e.control, &e.to, e.request)
		if err != nil {
			return err
		}
		e.ctx, e.endUpload = ctx, end
	default:
		e.control.EnableFullDuplex() // a response may begin before the body's end
		patient := e.r.Header.Get("Expect") != ""
		e.ctx, e.endUpload = runUpload(e.ctx, e.control, e.payload.Upload, patient, nil)
		if !patient {
			e.payload.Upload.AwaitBufferFor(h1client.UploadBufferTimeout)
		}
	}
	return nil
}

// watchClient has the request end when its client disconnects. The function that it returns ends the watch.
func (e *exchange) watchClient() (end func()) {
	ctx := e.ctx
	switch {
	case e.conn == nil:
		e.request.ClientDisconnected = func() bool { return ctx.Err() != nil }
	case e.r.ProtoMajor == 2:
		e.request.ClientDisconnected = e.conn.streamDisconnected(ctx)
	default:
		noPipelining := e.server.options.Strict && e.payload.Upload == nil
		e.ctx, e.request.ClientDisconnected, end = e.conn.watch(ctx, noPipelining)
		return end
	}
	return func() {}
}

// rejectBrokenUpload answers a request whose body could not be read to its end, unless it was served all the same or
// its client has disconnected; true if it did.
func (e *exchange) rejectBrokenUpload(answer engine.Answer, err error) bool {
	upload := e.payload.Upload
	if upload == nil {
		return false
	}
	if err != nil {
		e.endUpload() // after that its error is known
	}
	uploadErr := upload.Err()
	// net/http takes a passed read deadline for a disconnect; such a client is still connected.
	connected := e.r.Context().Err() == nil || errors.Is(uploadErr, os.ErrDeadlineExceeded)
	if connected && uploadErr != nil && (err != nil || answer.Verdict != engine.Served) {
		closeAnswer(answer)
		reject(e.w, e.r, uploadError(uploadErr))
		return true
	}
	if !upload.ReadToEnd() && e.r.ProtoMajor == 1 {
		e.w.Header().Set("Connection", "close")
	}
	return false
}

// respond gives the client the final answer.
func (e *exchange) respond(a engine.Answer, err error) {
	var rejection *ingress.Rejection
	switch {
	case errors.As(err, &rejection) && e.r.Context().Err() == nil:
		// Another request with its key is open, or was answered.
		reject(e.w, e.r, rejection)
		return
	case errors.Is(err, engine.ErrRetired) && e.r.Context().Err() == nil:
		a = engine.Answer{Verdict: engine.Rejected, RetryAfter: e.to.MaxRetryAfter}
	case err != nil:
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	e.setWriteDeadline()
	if e.conn != nil && (e.conn.mustFreePlace() || e.conn.hasDropped()) {
		e.w.Header().Set("Connection", "close")
	}
	answer, ok := a.Value.(*h1client.Answer)
	if ok && e.to.ResponseEdits != nil {
		e.to.ResponseEdits.Apply(answer.Header)
	}
	if ok && answer.Tunnel != nil {
		e.server.tunnel(e.control, answer)
		return
	}
	writeAnswer(e.w, e.r.Method == http.MethodHead, a)
	e.discardUpload(a)
	switch {
	case ok && answer.Stream != nil:
		e.passStream(answer.Stream)
	case ok:
		writeTrailers(e.w, answer.Trailer)
	}
}

// setWriteDeadline bounds the time that the client may take for its answer.
func (e *exchange) setWriteDeadline() {
	if e.payload.Upload != nil { // the request's deadline may be set only at the upload's end
		e.control.SetWriteDeadline(time.Now().Add(e.server.options.StallTimeout))
		return
	}
	remaining := e.request.Deadline - e.server.options.Clock.Now()
	e.control.SetWriteDeadline(time.Now().Add(remaining + writeGracePeriod))
}

// discardUpload reads and drops the rest of a body whose response is complete, so that a reset does not lose the
// response.
func (e *exchange) discardUpload(a engine.Answer) {
	upload := e.payload.Upload
	if upload == nil || !e.server.options.Strict || upload.ReadToEnd() || isStream(a) {
		return
	}
	if e.control.Flush() == nil {
		upload.Discard()
	}
}

// passStream forwards the rest of a response, and ends the connection or HTTP/2 stream where it breaks.
func (e *exchange) passStream(s h1client.Stream) {
	complete := e.server.copyStream(e.r.Context(), e.w, e.control, s)
	if !e.r.ProtoAtLeast(1, 1) && e.conn != nil { // only a reset shows such a client that the response is incomplete
		e.conn.resetUnlessComplete(complete)
		return
	}
	if !complete {
		panic(http.ErrAbortHandler)
	}
}
