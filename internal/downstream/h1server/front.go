// Package h1server takes clients' requests over HTTP/1.1 and gives them their answers.
// It decides neither where a request goes (a Router does) nor what becomes of it there
// (the engine does).
package h1server

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
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
	// usualStall is Options.StallTimeout where that is 0.
	usualStall   = 30 * time.Second
	streamBuffer = 32 << 10 // bytes a stream holds in the front, beside the sockets' own
	// leastHeld is what an upload may hold where the memory for uploads is taken.
	leastHeld = 4 << 10
	// maxHeld is the memory for request bodies that are not only passed on, of a front.
	maxHeld = 64 << 20
)

// Options are the figures of a Front.
type Options struct {
	Clock            engine.Clock
	ConnectionLimits connlimit.Limits
	// Strict holds clients to the platform's protocol: an id, a time-out and, where
	// there are tenants, a tenant with each request, and the method that goes with the
	// class. Else the front gives ids, the class's deadline holds, and a request with
	// no tenant counts for the first one.
	Strict       bool
	Log          *slog.Logger // of what net/http has to say; nil: the default one
	MaxBodyBytes int64        // bytes of a request's body; 0: any length
	// BodyMemory is the memory for request bodies that are not only passed on, in bytes; 0: 64 MB.
	BodyMemory int64
	// StallTimeout is how long a client may leave a part of a stream untaken, or an upload with nothing
	// to read (with Strict uploads have a pace of their own); 0: 30 s.
	StallTimeout time.Duration
	// The following is of no effect with Strict.
	TLS *tls.Config // nil: clear text
	// MaxHeaderBytes is how many bytes a request's head may have; 0: 16 KiB.
	MaxHeaderBytes int
	// ForwardedHeaders writes anew what a request says of its way to here; nil: it stays.
	ForwardedHeaders interface{ Apply(r *http.Request) error }
}

// Server serves clients. Create it with New.
type Server struct {
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
func New(router ingress.Router, o Options) *Server {
	if o.MaxHeaderBytes == 0 || o.Strict {
		o.MaxHeaderBytes = maxHeader
	}
	if o.StallTimeout == 0 {
		o.StallTimeout = usualStall
	}
	if o.BodyMemory == 0 {
		o.BodyMemory = maxHeld
	}
	return &Server{
		options: o, router: router, conns: newClientConns(o.ConnectionLimits), open: map[string]struct{}{}, tunnels: map[io.Closer]struct{}{},
		idStart: strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
}

// SetReady tells clients' health checks that servers are known.
func (f *Server) SetReady() { f.ready.Store(true) }

// FailHealthChecks has the health check fail; requests are served on.
func (f *Server) FailHealthChecks() { f.stopping.Store(true) }

// CloseAfterResponses has answers tell clients to move.
func (f *Server) CloseAfterResponses() { f.draining.Store(true) }

// RejectNewRequests has whatever comes from now on answered at once: a stop leaves it no time, and to take it would be
// to lose it.
func (f *Server) RejectNewRequests() { f.refusing.Store(true) }

// EnterLameDuck has the node's clients go elsewhere, until Refill or the end of ctx: it is not ready, each
// answer ends its connection, and connections between two requests are closed after a while. What
// comes is served all the same. It does not wait; again, it does nothing.
func (f *Server) EnterLameDuck(ctx context.Context) {
	cs := f.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.duck.Ready() {
		return
	}
	cs.duck.Enter(cs.now())
	f.lame.Store(true)
	ctx, cs.refill = context.WithCancel(ctx)
	go cs.empty(ctx)
}

// ExitLameDuck ends Empty: the node is ready as before.
func (f *Server) ExitLameDuck() {
	cs := f.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.duck.Ready() {
		return
	}
	cs.duck.Exit()
	f.lame.Store(false)
	cs.refill()
}

// RequestCount is how many requests were taken so far.
func (f *Server) RequestCount() int64 { return f.taken.Load() }

// IsReady tells that clients are taken: a list of servers is known.
func (f *Server) IsReady() bool { return f.ready.Load() }

// DrainToSuccessor has the clients go over to a later process that takes the new connections already: each
// answer ends its connection, and those that were idle for patience are closed. The node stays
// ready, since that process is. It returns when no connection is left or ctx ends.
func (f *Server) DrainToSuccessor(ctx context.Context, patience time.Duration) {
	f.draining.Store(true)
	f.conns.leave(ctx, patience)
}

// SetConnectionLimits changes the places for client connections.
func (f *Server) SetConnectionLimits(l connlimit.Limits) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	f.conns.table.Resize(l)
	f.conns.trim()
	f.conns.poke()
}

// Connections is how many client connections there are.
func (f *Server) Connections() int {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.table.Len()
}

// CloseIdleConnections closes the connections over which nothing has come, or nothing since an answer.
func (f *Server) CloseIdleConnections() {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	f.conns.restEnds(0, 0)
}

// Drain closes connections as they fall idle, until none is left or ctx ends.
func (f *Server) Drain(ctx context.Context) { f.conns.drain(ctx) }

// Listener keeps what it accepts within the front's places.
func (f *Server) Listener(l net.Listener) net.Listener { return cappedListener{l, f.conns} }

// HTTPServer makes the HTTP server that serves a Listener of the front's.
func (f *Server) HTTPServer() *http.Server {
	log := f.options.Log
	if log == nil {
		log = slog.Default()
	}
	srv := &http.Server{
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		Handler:  f, MaxHeaderBytes: f.options.MaxHeaderBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
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
func (f *Server) Serve(srv *http.Server, l net.Listener) error {
	if srv.TLSConfig != nil {
		return srv.ServeTLS(l, "", "")
	}
	return srv.Serve(l)
}

// Asked is when a request was last taken.
func (f *Server) Asked() time.Time { return time.Unix(0, f.asked.Load()) }

// claim takes an id for a request; false if one that is open has it.
func (f *Server) claim(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, taken := f.open[id]; taken {
		return false
	}
	f.open[id] = struct{}{}
	return true
}

// disclaim gives an id back once its request has its final answer.
func (f *Server) disclaim(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, id)
}

// readiness answers the health check.
func (f *Server) readiness(w http.ResponseWriter) {
	if !f.ready.Load() || f.stopping.Load() || f.lame.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}
