package h1server

// This file handles one request. ServeHTTP lists the steps.

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/fairshare"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// writeGracePeriod is how long after its request's deadline a client may still read the response. Without it, a client
// that reads nothing would hold its connection forever.
const writeGracePeriod = 500 * time.Millisecond

// connKey is the key under which a request's context holds its net.Conn.
type connKey struct{}

// exchange is one request of a client and its answer.
type exchange struct {
	server      *Server
	w           http.ResponseWriter
	r           *http.Request
	control     *http.ResponseController
	conn        *clientConn // nil if the connection has no place in the table
	destination ingress.Destination
	request     *engine.Request
	payload     *h1client.Request
	bodyMemory  bodyReservation

	ctx       context.Context // ends when the client has disconnected or its upload has failed
	endUpload func()          // ends the upload and waits for its goroutine; does nothing when called again
}

// ServeHTTP answers one request. It panics with http.ErrAbortHandler where the client's connection, or its HTTP/2
// stream, has to end without a complete answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = closeAnnouncer{w, s}
	conn := clientConnOf(r)
	conn.handlerBegins()
	conn.watchBody(w, r)
	conn.trackRequest(r)
	cost := s.serveRequest(w, r, conn)
	conn.answered()
	if r.Close || w.Header().Get("Connection") == "close" {
		conn.endsBecause(endWithAnswer)
	}
	conn.requestIs(requestUnread)
	s.awaitTurn(w, r, conn, cost)
}

// serveRequest answers one request that came on conn, which is nil if the connection has no place in the table. It returns what
// the answer takes of the connection's share.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, conn *clientConn) (cost fairshare.Cost) {
	s.limitConnection(w, r, conn)
	if err := s.checkHeader(r); err != nil {
		s.rejectLogged(w, r, err)
		return fairshare.Local
	}
	if r.URL.Path == "/health/ready" {
		s.serveHealthCheck(w)
		return fairshare.Local
	}
	e := &exchange{
		server: s, w: w, r: r, control: http.NewResponseController(w), conn: conn,
		bodyMemory: bodyReservation{memory: &s.bodyMemory},
	}
	defer e.bodyMemory.release()
	if err := e.readRequest(); err != nil {
		s.rejectLogged(w, r, err)
		return fairshare.Local
	}
	if !e.admit() {
		return fairshare.Local
	}
	id := e.payload.Header.Get("X-Request-Id")
	if !s.requestIDs.claim(id) {
		s.rejectLogged(w, r, &ingress.Rejection{
			Status: http.StatusConflict, Message: "a request with this X-Request-ID is open, or may have run",
		})
		return fairshare.Local
	}
	s.lastRequestAt.Store(time.Now().UnixNano())
	s.requestCount.Add(1)
	s.noteDeadline(e.request.Deadline)
	if err := e.startUpload(); err != nil {
		s.requestIDs.release(id)
		s.rejectLogged(w, r, err)
		return fairshare.Local
	}
	defer e.endUpload()
	defer e.watchClient()()
	conn.requestIs(requestTaken)
	answer, err := e.destination.Cluster.Do(e.ctx, e.request)
	conn.requestIs(requestAnswering)
	if conn != nil {
		conn.allowNextRequest()
	}
	if e.abandoned(err) {
		s.requestIDs.abandon(id)
	} else {
		s.requestIDs.release(id)
	}
	if !e.rejectFailedUpload(answer, err) {
		e.respond(answer, err)
	}
	return costOf(answer)
}

// limitConnection has the connection closed after the answer if its framing is ambiguous, and sets the deadline for reading the
// request's body. It runs before all other steps.
func (s *Server) limitConnection(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	if r.ContentLength != 0 { // The deadline also bounds what net/http reads after a rejection.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	}
	if s.options.Strict && (r.ProtoMinor == 0 || conn != nil && conn.hasAmbiguousFraming(r)) {
		// A proxy in front of this node may see the end of this request in another place, so the bytes after the
		// request are not served.
		w.Header().Set("Connection", "close")
	}
}

// checkHeader checks a request's framing and announced length, and applies Options.ForwardedHeaders.
func (s *Server) checkHeader(r *http.Request) error {
	if err := checkFields(r); err != nil {
		return err
	}
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

// readRequest routes and parses the request. If it fails, the caller passes the error to reject, which answers the request.
func (e *exchange) readRequest() (err error) {
	if e.destination, err = e.server.router.Route(e.r); err != nil {
		return err
	}
	if e.request, err = e.server.parse(e.r, &e.destination, e.control, &e.bodyMemory); err != nil {
		return err
	}
	e.payload = e.request.Payload.(*h1client.Request)
	return nil
}

// admit reports the request to the table of connections. It rejects the request and returns false if the connection
// exceeds the limits, so that it only gets a response with Retry-After, or if the shutdown leaves no time to serve the
// request.
func (e *exchange) admit() bool {
	if e.conn == nil {
		return true
	}
	if e.r.ProtoMajor == 1 && e.payload.Upload == nil && e.conn.checkDisconnected() {
		e.conn.endsBecause(endByClient)
		panic(http.ErrAbortHandler) // no attempt may begin for a client that has disconnected
	}
	switch open, overflow := e.conn.beginRequest(); {
	case !open:
		e.conn.endsBecause(endPlaceLost)
		panic(http.ErrAbortHandler) // the client sends the request again elsewhere
	case overflow, e.server.endsBefore(e.request.Deadline):
		e.w.Header().Set("Connection", "close")
		rejected := engine.Answer{Verdict: engine.Rejected, RetryAfter: e.destination.MaxRetryAfter}
		writeAnswer(e.w, e.r.Method == http.MethodHead, rejected)
		return false
	}
	return true
}

// startUpload starts to read a body that parse has not read, and waits until some of it is buffered. It also adjusts
// the connection's read deadline.
func (e *exchange) startUpload() error {
	e.ctx, e.endUpload = e.r.Context(), func() {}
	switch {
	case e.payload.Upload == nil:
		// net/http reads on to detect a disconnect, and would take the expired read deadline of the request for a
		// disconnect.
		e.control.SetReadDeadline(time.Time{})
	case e.server.options.Strict:
		ctx, end, err := e.server.runPlatformUpload(e.r, e.control, &e.destination, &e.bodyMemory, e.request)
		if err != nil {
			return err
		}
		e.ctx, e.endUpload = ctx, end
	default:
		e.control.EnableFullDuplex() // a response may begin before the end of the body
		onDemand := e.r.Header.Get("Expect") != ""
		e.ctx, e.endUpload = runUpload(e.ctx, e.control, e.payload.Upload, onDemand, nil)
		if !onDemand {
			e.payload.Upload.AwaitBufferFor(h1client.UploadBufferTimeout)
		}
	}
	return nil
}

// watchClient makes the request end when its client disconnects. The function that it returns ends the watch.
func (e *exchange) watchClient() (end func()) {
	ctx := e.ctx
	switch {
	case e.conn == nil:
		e.request.ClientDisconnected = func() bool { return ctx.Err() != nil }
	case e.r.ProtoMajor == 2:
		e.request.ClientDisconnected = e.conn.streamDisconnected(ctx)
	default:
		noPipelining := e.server.options.Strict && e.payload.Upload == nil
		e.ctx, e.request.ClientDisconnected, end = e.conn.watchDisconnect(ctx, noPipelining)
		return end
	}
	return func() {}
}

// abandoned reports whether the client has disconnected before the final answer, and the request may have an effect that a
// repeat would double. A body that was not read to its end has none.
func (e *exchange) abandoned(err error) bool {
	whole := e.payload.Upload == nil || e.payload.Upload.ReadToEnd()
	return errors.Is(err, engine.ErrClientDisconnected) && whole && !e.destination.RepeatIsHarmless
}

// rejectFailedUpload rejects a request whose body could not be read to its end, unless the request was served
// nevertheless or its client has disconnected. It reports whether it did. If an HTTP/1 body was not read to its end, it
// has the connection closed after the answer.
func (e *exchange) rejectFailedUpload(answer engine.Answer, err error) bool {
	upload := e.payload.Upload
	if upload == nil {
		return false
	}
	if err != nil {
		e.endUpload() // the upload's error is final after this
	}
	uploadErr := upload.Err()
	// net/http takes an expired read deadline for a disconnect, but such a client is still connected.
	connected := e.r.Context().Err() == nil || errors.Is(uploadErr, os.ErrDeadlineExceeded)
	if connected && uploadErr != nil && (err != nil || answer.Verdict != engine.Served) {
		closeAnswer(answer)
		e.server.rejectLogged(e.w, e.r, uploadError(uploadErr))
		return true
	}
	if !upload.ReadToEnd() && e.r.ProtoMajor == 1 {
		e.w.Header().Set("Connection", "close")
	}
	return false
}

// respond sends the client the final answer, or a rejection if err has one.
func (e *exchange) respond(a engine.Answer, err error) {
	var rejection *ingress.Rejection
	switch {
	case errors.As(err, &rejection) && e.r.Context().Err() == nil:
		// Another request with the same idempotency key is open, or was answered.
		reject(e.w, e.r, rejection)
		return
	case errors.Is(err, engine.ErrRetired) && e.r.Context().Err() == nil:
		a = engine.Answer{Verdict: engine.Rejected, RetryAfter: e.destination.MaxRetryAfter}
	case err != nil:
		e.conn.endsBecause(endByClient)
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	if a.Verdict != engine.Served {
		e.server.events.notServed(e, a)
	}
	e.setWriteDeadline()
	e.closeIfNeeded()
	answer, ok := a.Value.(*h1client.Answer)
	if ok && e.destination.ResponseEdits != nil {
		e.destination.ResponseEdits.Apply(answer.Header)
	}
	if ok && answer.Tunnel != nil {
		e.server.tunnel(e.control, answer)
		return
	}
	writeAnswer(e.w, e.r.Method == http.MethodHead, a)
	switch {
	case ok && answer.Stream != nil:
		e.forwardStream(answer.Stream)
	case ok:
		writeTrailers(e.w, answer.Trailer)
	}
}

// closeIfNeeded has the connection closed with the answer if its place is wanted or bytes of its client were dropped.
func (e *exchange) closeIfNeeded() {
	if e.conn == nil {
		return
	}
	dropped := e.conn.hasDropped()
	if dropped {
		e.conn.endsBecause(endExcessBytes)
		e.server.events.excessDropped(e)
	}
	if dropped || e.conn.mustFreePlace() {
		e.w.Header().Set("Connection", "close")
	}
}

// setWriteDeadline limits the time that the client may take to read its answer.
func (e *exchange) setWriteDeadline() {
	if e.payload.Upload != nil { // the engine may set the request's deadline only when the upload ends
		e.control.SetWriteDeadline(time.Now().Add(e.server.options.StallTimeout))
		return
	}
	remaining := e.request.Deadline - e.server.options.Clock.Now()
	e.control.SetWriteDeadline(time.Now().Add(remaining + writeGracePeriod))
}

// forwardStream forwards the rest of a response. If the stream breaks, it ends the connection or the HTTP/2 stream.
func (e *exchange) forwardStream(s h1client.Stream) {
	sent, err := e.server.copyStream(e.r.Context(), e.w, e.control, s)
	complete := err == nil
	if !complete && e.r.Context().Err() == nil {
		e.server.events.cutOff(e, sent, err)
		e.conn.endsBecause(endAnswerCutOff)
	}
	if !complete {
		e.conn.endsBecause(endByClient)
	}
	if !e.r.ProtoAtLeast(1, 1) && e.conn != nil { // only a reset shows a client of HTTP/1.0 that the response is incomplete
		e.conn.resetUnlessComplete(complete)
		return
	}
	if !complete {
		panic(http.ErrAbortHandler)
	}
}
