// Package h1server takes clients' requests over HTTP/1.1 and gives them their answers.
// It decides neither where a request goes (a Router does) nor what becomes of it there
// (the engine does).
package h1server

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

const (
	// answerMargin is kept between a final answer and the end of the client's
	// time, for the way of the request here and of the answer's last byte back.
	answerMargin = 10 * time.Millisecond
	maxHeader    = 16 << 10
	// readTimeout is how long a client may take from its connection, or a
	// request's first byte, to the request's last byte. No deadline leaves more.
	readTimeout = 2 * time.Second
	idleTimeout = 10 * time.Second
	// headTimeout is how long a client of the platform may take for a request's head: it may take
	// 2 s, and its connection is new and has to be met first.
	headTimeout = 2500 * time.Millisecond
	// writeTimeout is how long after its time a client may still take its answer.
	// One that reads nothing would else hold its connection for good.
	writeTimeout = 500 * time.Millisecond
	// usualStall is Options.Stall where that is 0.
	usualStall   = 30 * time.Second
	streamBuffer = 32 << 10 // bytes a stream holds in the front, beside the sockets' own
	// leastHeld is what an upload may hold where the memory for uploads is taken.
	leastHeld = 4 << 10
	// maxHeld is the memory for request bodies that are not only passed on, of a front.
	maxHeld = 64 << 20
)

// Options are the figures of a Front.
type Options struct {
	Clock  engine.Clock
	Places connlimit.Limits
	// Strict holds clients to the platform's protocol: an id, a time-out and, where
	// there are tenants, a tenant with each request, and the method that goes with the
	// class. Else the front gives ids, the class's deadline holds, and a request with
	// no tenant counts for the first one.
	Strict  bool
	Log     *slog.Logger // of what net/http has to say; nil: the default one
	MaxBody int64        // bytes of a request's body; 0: any length
	// Held is the memory for request bodies that are not only passed on, in bytes; 0: 64 MB.
	Held int64
	// Stall is how long a client may leave a part of a stream untaken, or an upload with nothing
	// to read (with Strict uploads have a pace of their own); 0: 30 s.
	Stall time.Duration
	// The following is of no effect with Strict.
	TLS *tls.Config // nil: clear text
	// MaxHead is how many bytes a request's head may have; 0: 16 KiB.
	MaxHead int
	// Edge writes anew what a request says of its way to here; nil: it stays.
	Edge interface{ Apply(r *http.Request) error }
}

// Front serves clients. Create it with New.
type Front struct {
	options  Options
	router   ingress.Router
	conns    *clientConns
	ready    atomic.Bool // a list of servers is known
	stopping atomic.Bool
	draining atomic.Bool  // a stop is in its last part
	refusing atomic.Bool  // there is no time left for what comes now
	lame     atomic.Bool  // the node is being emptied, or empty
	asked    atomic.Int64 // when a request was last taken, Unix nanoseconds
	taken    atomic.Int64 // requests
	lastID   atomic.Uint64
	idStart  string
	held     atomic.Int64 // bytes that request bodies may hold now

	mu      sync.Mutex
	tunnels map[io.Closer]struct{} // nil once CloseTunnels was called
	open    map[string]struct{}    // ids of the requests that have no final answer yet
}

// New makes a front that is not ready yet.
func New(router ingress.Router, o Options) *Front {
	if o.MaxHead == 0 || o.Strict {
		o.MaxHead = maxHeader
	}
	if o.Stall == 0 {
		o.Stall = usualStall
	}
	if o.Held == 0 {
		o.Held = maxHeld
	}
	return &Front{
		options: o, router: router, conns: newClientConns(o.Places), open: map[string]struct{}{}, tunnels: map[io.Closer]struct{}{},
		idStart: strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
}

// Ready tells clients' health checks that servers are known.
func (f *Front) Ready() { f.ready.Store(true) }

// Stopping has the health check fail; requests are served on.
func (f *Front) Stopping() { f.stopping.Store(true) }

// Draining has answers tell clients to move.
func (f *Front) Draining() { f.draining.Store(true) }

// Refuse has whatever comes from now on answered at once: a stop leaves it no time, and to take it would be
// to lose it.
func (f *Front) Refuse() { f.refusing.Store(true) }

// Empty has the node's clients go elsewhere, until Refill or the end of ctx: it is not ready, each
// answer ends its connection, and connections between two requests are closed after a while. What
// comes is served all the same. It does not wait; again, it does nothing.
func (f *Front) Empty(ctx context.Context) {
	cs := f.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.duck.Ready() {
		return
	}
	cs.duck.Begin(cs.now())
	f.lame.Store(true)
	ctx, cs.refill = context.WithCancel(ctx)
	go cs.empty(ctx)
}

// Refill ends Empty: the node is ready as before.
func (f *Front) Refill() {
	cs := f.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.duck.Ready() {
		return
	}
	cs.duck.End()
	f.lame.Store(false)
	cs.refill()
}

// Taken is how many requests were taken so far.
func (f *Front) Taken() int64 { return f.taken.Load() }

// Takes tells that clients are taken: a list of servers is known.
func (f *Front) Takes() bool { return f.ready.Load() }

// Leave has the clients go over to a later process that takes the new connections already: each
// answer ends its connection, and those that were idle for patience are closed. The node stays
// ready, since that process is. It returns when no connection is left or ctx ends.
func (f *Front) Leave(ctx context.Context, patience time.Duration) {
	f.draining.Store(true)
	f.conns.leave(ctx, patience)
}

// Resize changes the places for client connections.
func (f *Front) Resize(l connlimit.Limits) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	f.conns.table.Resize(l)
	f.conns.trim()
	f.conns.poke()
}

// Connections is how many client connections there are.
func (f *Front) Connections() int {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.table.Open()
}

// CloseSilent closes the connections over which nothing has come, or nothing since an answer.
func (f *Front) CloseSilent() {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	f.conns.restEnds(0, 0)
}

// Drain closes connections as they fall idle, until none is left or ctx ends.
func (f *Front) Drain(ctx context.Context) { f.conns.drain(ctx) }

// Listener keeps what it accepts within the front's places.
func (f *Front) Listener(l net.Listener) net.Listener { return cappedListener{l, f.conns} }

// Server makes the HTTP server that serves a Listener of the front's.
func (f *Front) Server() *http.Server {
	log := f.options.Log
	if log == nil {
		log = slog.Default()
	}
	srv := &http.Server{
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		Handler:  f, MaxHeaderBytes: f.options.MaxHead, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ConnState: f.conns.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	srv.ReadTimeout, srv.ReadHeaderTimeout = 0, readTimeout // a body has its own times
	if f.options.Strict {
		srv.ReadHeaderTimeout = headTimeout
		return srv
	}
	srv.TLSConfig = f.options.TLS
	return srv
}

// Serve serves a Listener until it is closed, with TLS where the options have it.
func (f *Front) Serve(srv *http.Server, l net.Listener) error {
	if srv.TLSConfig != nil {
		return srv.ServeTLS(l, "", "")
	}
	return srv.Serve(l)
}

type connKey struct{}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() || f.lame.Load() {
		w.Header().Set("Connection", "close") // have clients move to other nodes
	}
	if r.ContentLength != 0 { // also what net/http reads behind a refusal
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	}
	c := counted(r)
	if f.options.Strict && (r.ProtoMinor == 0 || c != nil && c.doubtful(r)) {
		// Whoever stands before may see the end of this request elsewhere: what comes behind it
		// is served to nobody.
		w.Header().Set("Connection", "close")
	}
	if err := f.framing(r); err != nil {
		refuse(w, r, err)
		return
	}
	if f.options.Edge != nil {
		if err := f.options.Edge.Apply(r); err != nil {
			refuse(w, r, &ingress.Rejection{Status: http.StatusBadRequest, Text: err.Error()})
			return
		}
	}
	if r.URL.Path == "/health/ready" {
		f.readiness(w)
		return
	}
	to, err := f.router.Route(r)
	if err != nil {
		refuse(w, r, err)
		return
	}
	control := http.NewResponseController(w)
	q, err := f.parse(r, &to, control)
	if err != nil {
		refuse(w, r, err)
		return
	}
	payload := q.Payload.(*h1client.Request)
	defer f.free(payload)
	if c != nil {
		if r.ProtoMajor == 1 && payload.Upload == nil && c.left() {
			panic(http.ErrAbortHandler) // nobody waits for it: nothing may go out for it
		}
		switch open, over := c.whole(r.ProtoMajor == 2); {
		case !open:
			panic(http.ErrAbortHandler) // to serve it here too would be to serve it twice
		case over, f.refusing.Load():
			w.Header().Set("Connection", "close")
			write(w, r.Method == http.MethodHead, engine.Answer{Verdict: engine.Rejected, RetryAfter: to.MaxRetryAfter})
			return
		}
	}
	id := payload.Header.Get("X-Request-Id")
	if !f.claim(id) {
		refuse(w, r, &ingress.Rejection{Status: http.StatusConflict, Text: "a request with this X-Request-ID is open"})
		return
	}
	f.asked.Store(time.Now().UnixNano())
	f.taken.Add(1)
	// net/http goes on reading, to see the client leave. The deadline of the
	// request's own bytes would look like that.
	ctx, settled := r.Context(), func() {}
	if payload.Upload == nil {
		control.SetReadDeadline(time.Time{})
	} else if f.options.Strict {
		control.EnableFullDuplex()
		if ctx, settled, err = f.takeStrict(r, control, &to, q); err != nil {
			f.disclaim(id)
			refuse(w, r, err)
			return
		}
		defer settled()
	} else {
		control.EnableFullDuplex() // an answer may begin before the body's end
		patient := r.Header.Get("Expect") != ""
		ctx, settled = take(ctx, control, payload.Upload, patient, nil)
		defer settled()
		if !patient {
			payload.Upload.Settle(h1client.UploadPause)
		}
	}
	switch {
	case c == nil:
		q.ClientDisconnected = func() bool { return ctx.Err() != nil }
	case r.ProtoMajor == 2:
		q.ClientDisconnected = c.streamLeft(ctx)
	default:
		var unwatch func()
		ctx, q.ClientDisconnected, unwatch = c.watch(ctx, f.options.Strict && payload.Upload == nil)
		defer unwatch()
	}
	a, err := to.Cluster.Do(ctx, q)
	if c != nil {
		c.answered()
	}
	f.disclaim(id)
	if u := payload.Upload; u != nil {
		if err != nil {
			settled() // why the client's side ended may not be noted yet
		}
		// net/http takes the end of a read's time for the client's end; such a client is there.
		broken := u.Failed()
		if here := r.Context().Err() == nil || errors.Is(broken, os.ErrDeadlineExceeded); here && broken != nil && (err != nil || a.Verdict != engine.Served) {
			discard(a)
			refuse(w, r, uploadFault(broken))
			return
		}
		if !u.Done() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
	}
	var barred *ingress.Rejection
	switch {
	case errors.As(err, &barred) && r.Context().Err() == nil: // it must not run beside, or behind, another one
		refuse(w, r, barred)
		return
	case errors.Is(err, engine.ErrRetired) && r.Context().Err() == nil:
		a = engine.Answer{Verdict: engine.Rejected, RetryAfter: to.MaxRetryAfter}
	case err != nil:
		panic(http.ErrAbortHandler) // nobody is there to be answered
	}
	if payload.Upload != nil { // its time may begin only now
		control.SetWriteDeadline(time.Now().Add(f.options.Stall))
	} else {
		control.SetWriteDeadline(time.Now().Add(q.Deadline - f.options.Clock.Now() + writeTimeout))
	}
	if c != nil && (c.last() || c.cut()) {
		w.Header().Set("Connection", "close")
	}
	if answer, ok := a.Value.(*h1client.Answer); ok {
		if to.Response != nil {
			to.Response.Apply(answer.Header)
		}
		if answer.Tunnel != nil {
			f.tunnel(control, answer)
			return
		}
	}
	write(w, r.Method == http.MethodHead, a)
	if u := payload.Upload; u != nil && f.options.Strict && !u.Done() && !isStream(a) {
		if control.Flush() == nil { // the answer is out at once, and stays readable
			u.Discard()
		}
	}
	if answer, ok := a.Value.(*h1client.Answer); ok && answer.Stream != nil {
		if !r.ProtoAtLeast(1, 1) && c != nil { // a cut is all that such a client can be told by
			c.cutUnless(f.pass(r.Context(), w, control, answer.Stream))
			return
		}
		if !f.pass(r.Context(), w, control, answer.Stream) {
			panic(http.ErrAbortHandler)
		}
	} else if ok {
		trail(w, answer.Trailer)
	}
}

// counted gives the connection of a request in the table of clients; nil if none is kept.
func counted(r *http.Request) *clientConn {
	nc, _ := r.Context().Value(connKey{}).(net.Conn)
	return inTable(nc)
}

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

// discard closes an answer that the client doesn't get.
func discard(a engine.Answer) {
	if c, ok := a.Value.(io.Closer); ok {
		c.Close()
	}
}

// trail writes the fields behind an answer's body.
func trail(w http.ResponseWriter, fields http.Header) {
	for name, values := range fields {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// Asked is when a request was last taken.
func (f *Front) Asked() time.Time { return time.Unix(0, f.asked.Load()) }

// claim takes an id for a request; false if one that is open has it.
func (f *Front) claim(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, taken := f.open[id]; taken {
		return false
	}
	f.open[id] = struct{}{}
	return true
}

func (f *Front) disclaim(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, id)
}

// framing refuses messages whose end this node and whoever sent them might see
// in different places: what is a body to one is a request to the other.
// net/http keeps Transfer-Encoding and drops a Content-Length beside it, and the
// reverse in HTTP/1.0; what goes on to a server is framed anew. With Strict the connection's raw
// bytes tell of both (seen), and such a request is the last one that is served on it.
func (f *Front) framing(r *http.Request) error {
	switch {
	case !f.options.Strict:
	case !r.ProtoAtLeast(1, 1) && counted(r) != nil && counted(r).coded():
		// net/http drops the coding, and would read the chunks as a request (RFC 9112, 6.1).
		return &ingress.Rejection{Status: http.StatusBadRequest, Text: "HTTP/1.0 has no transfer codings"}
	}
	if f.options.MaxBody > 0 && r.ContentLength > f.options.MaxBody {
		return &ingress.Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the body is too large"}
	}
	return nil
}

// refuse answers a request that no server gets to see. What may be left of its
// body is not waited for: the connection ends.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	var bad *ingress.Rejection
	if !errors.As(err, &bad) {
		bad = &ingress.Rejection{Status: http.StatusBadRequest, Text: "the body can't be read"}
	}
	if r.ContentLength != 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
	if bad.Allow != "" {
		w.Header().Set("Allow", bad.Allow)
	}
	if bad.Location != "" {
		w.Header().Set("Location", bad.Location)
	}
	if bad.RetryAfter > 0 {
		w.Header().Set("Retry-After", ingress.Seconds(bad.RetryAfter))
	}
	http.Error(w, bad.Text, bad.Status)
}

func (f *Front) readiness(w http.ResponseWriter) {
	if !f.ready.Load() || f.stopping.Load() || f.lame.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func write(w http.ResponseWriter, head bool, a engine.Answer) {
	h := w.Header()
	status, body, length := http.StatusBadGateway, []byte(nil), int64(-1)
	if a.Verdict == engine.Rejected {
		status = http.StatusServiceUnavailable
	}
	if answer, ok := a.Value.(*h1client.Answer); ok { // served, or the last word of a server
		status, body = answer.Status, answer.Body
		for name, values := range answer.Header {
			h[name] = values
		}
		if len(body) == 0 {
			length = answer.Length
		}
	}
	if a.Verdict == engine.Rejected && a.RetryAfter > 0 && len(h["Retry-After"]) == 0 {
		h.Set("Retry-After", ingress.Seconds(a.RetryAfter))
	}
	switch stream := isStream(a); {
	case (head || stream) && length >= 0:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case !head && !stream && !trailing(a): // fields behind a body go with chunks alone (RFC 9112, 7.1.2)
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	w.Write(body)
	if trailing(a) {
		http.NewResponseController(w).Flush() // or net/http would find the length by itself
	}
}

func isStream(a engine.Answer) bool {
	answer, ok := a.Value.(*h1client.Answer)
	return ok && answer.Stream != nil
}

func trailing(a engine.Answer) bool {
	answer, ok := a.Value.(*h1client.Answer)
	return ok && len(answer.Trailer) > 0
}

// pass passes a stream on, as fast as both sides are, through one buffer. What has begun
// is final: of a stream that breaks (not whole) the caller cuts the client's connection, or
// its stream, so that the part that came is not taken for the whole.
func (f *Front) pass(ctx context.Context, w http.ResponseWriter, control *http.ResponseController, s h1client.Stream) (whole bool) {
	defer s.Close()
	defer context.AfterFunc(ctx, s.Abort)() // the client leaves while the server pauses
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		n, err := s.Read(*buffer)
		if n > 0 {
			control.SetWriteDeadline(time.Now().Add(f.options.Stall))
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return false // the client is gone, or takes nothing
			}
			if n < len(*buffer) { // the server pauses: what there is goes out
				if err := control.Flush(); err != nil {
					return false
				}
			}
		}
		if err == io.EOF {
			trail(w, s.Trailer())
			return true
		}
		if err != nil {
			return false
		}
	}
}

var buffers = sync.Pool{New: func() any { b := make([]byte, streamBuffer); return &b }}

// parse reads and checks a request.
func (f *Front) parse(r *http.Request, to *ingress.Destination, control *http.ResponseController) (*engine.Request, error) {
	header := r.Header
	asked := to
	shown, known := certified(r, to.Certified)
	if known { // whatever its fields say
		asked = &ingress.Destination{Effect: to.Effect, Deadline: to.Deadline}
	}
	terms, err := ingress.Read(header, asked, f.options.Strict)
	if known {
		terms.Tenant = shown
	}
	if err != nil {
		return nil, err
	}
	if terms.ID == "" {
		terms.ID = f.idStart + strconv.FormatUint(f.lastID.Add(1), 36)
	}
	method := http.MethodPost
	if to.Effect == policy.Idempotent {
		method = http.MethodGet
	}
	keys := header["Idempotency-Key"]
	switch {
	case f.options.Strict && r.Method != method && !(r.Method == http.MethodHead && to.Effect == policy.Idempotent):
		return nil, &ingress.Rejection{Status: http.StatusMethodNotAllowed, Text: "the class wants " + method, Allow: method}
	case r.Method == http.MethodConnect, r.URL.Path == "*":
		return nil, &ingress.Rejection{Status: http.StatusMethodNotAllowed, Text: r.Method + " is not carried"}
	case f.options.Strict && to.Effect == policy.NotIdempotent && len(keys) > 0:
		return nil, ingress.Bad("the class takes no Idempotency-Key")
	case f.options.Strict && to.Effect == policy.Idempotent && r.ContentLength != 0:
		return nil, ingress.Bad("the class takes no body")
	}
	out := &h1client.Request{Method: r.Method, Host: r.Host, Limits: to.Streams}
	if err := f.body(r, control, out); err != nil {
		return nil, err
	}
	if !f.options.Strict && r.ProtoMajor == 1 && r.Method == http.MethodGet && asksUpgrade(header) {
		out.Upgrade = ingress.One(header["Upgrade"])
	}
	out.Trailers = strings.EqualFold(ingress.One(header["Te"]), "trailers")
	out.Header = h1client.EndToEnd(header) // net/http has no more use for it
	if to.Request != nil {
		to.Request.Apply(out.Header)
	}
	if len(header["X-Request-Id"]) == 0 {
		out.Header["X-Request-Id"] = []string{terms.ID}
	}
	out.Target = r.RequestURI
	if !strings.HasPrefix(out.Target, "/") { // in absolute form (RFC 9112, 3.2.2)
		out.Target = r.URL.RequestURI()
	}
	return &engine.Request{
		Class: to.Class, Tenant: terms.Tenant, WorkHint: terms.Hint,
		Deadline:    f.options.Clock.Now() + terms.Patience - answerMargin,
		MaxAttempts: to.MaxAttempts, PerTryTimeout: to.PerTry,
		Payload: out, UploadTimeout: terms.Patience - answerMargin,
	}, nil
}

// asksUpgrade tells whether a request wants another protocol on its connection (RFC 9110, 7.8).
func asksUpgrade(h http.Header) bool {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				return ingress.One(h["Upgrade"]) != ""
			}
		}
	}
	return false
}

// certified gives the tenant that a client's certificate, which TLS has verified, names.
func certified(r *http.Request, tenants map[string]int) (int, bool) {
	if len(tenants) == 0 || r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return 0, false
	}
	leaf := r.TLS.VerifiedChains[0][0]
	names := leaf.DNSNames
	for _, u := range leaf.URIs { // as in SPIFFE's ids
		names = append(names, u.String())
	}
	if len(names) == 0 { // the former way (RFC 6125, 6.4.4)
		names = []string{leaf.Subject.CommonName}
	}
	for _, name := range names {
		if i, ok := tenants[name]; ok {
			return i, true
		}
	}
	return 0, false
}
