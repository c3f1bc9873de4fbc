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

// Defaults of Options.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultStallTimeout   = 30 * time.Second
	defaultBodyMemory     = 64 << 20 // bytes
)

const (
	// readTimeout is how long a client may take to send a request, from the acceptance of its connection or from the
	// request's first byte up to the request's last byte. It does not apply to uploads.
	readTimeout = 2 * time.Second
	// platformHeaderTimeout is readTimeout's counterpart for the header of a request with Options.Strict. The
	// platform's clients may take 2 s, and a new connection is accepted some time after the client has opened it.
	platformHeaderTimeout = 2500 * time.Millisecond
	// keepAliveTimeout is how long a connection may be idle between two requests.
	keepAliveTimeout = 10 * time.Second
)

// Options configure a Server.
type Options struct {
	Clock engine.Clock
	// ConnectionLimits limits the number of client connections.
	ConnectionLimits connlimit.Limits
	// Strict holds clients to the platform's protocol: each request needs an ID, a timeout, a tenant if tenants are
	// configured, and the method of its class; uploads need a minimum rate. Without Strict, the server generates
	// missing IDs, the class's deadline applies to requests without a timeout, and a request without a tenant counts
	// for the first tenant.
	Strict bool
	// Log receives the messages of net/http's server. If it is nil, the default logger is used.
	Log *slog.Logger
	// MaxBodyBytes limits the length of a request's body. 0 means no limit.
	MaxBodyBytes int64
	// BodyMemory is the memory for request bodies, in bytes. 0 means 64 MiB. When it is used up, requests with bodies of more
	// than minBodyBuffer are rejected.
	BodyMemory int64
	// StallTimeout is how long a client may leave a part of a stream unread, or pause an upload. 0 means 30 s. With
	// Strict, platformUploadStall applies to uploads.
	StallTimeout time.Duration

	// The fields below have no effect with Strict.

	TLS *tls.Config // nil: no TLS
	// MaxHeaderBytes limits the size of a request's header. 0 means 16 KiB.
	MaxHeaderBytes int
	// ForwardedHeaders rewrites the header fields that describe a request's path to this node, such as Forwarded. If it
	// is nil, the fields stay as they are. A request for which it returns an error is rejected with status 400 and the
	// error's text.
	ForwardedHeaders interface{ Apply(r *http.Request) error }
}

// Server serves clients over HTTP. It implements http.Handler. Create it with New.
type Server struct {
	options Options
	router  ingress.Router
	conns   *clientConns

	// The states below are set by the methods in lifecycle.go.
	ready                 atomic.Bool
	failingHealthChecks   atomic.Bool
	closingAfterResponses atomic.Bool
	lameDuck              atomic.Bool
	latestDeadline        atomic.Int64 // on Options.Clock, in nanoseconds, as RejectDeadlinesAfter has set it; 0: not set

	requestCount  atomic.Int64
	lastRequestAt atomic.Int64 // Unix nanoseconds; 0 before the first request
	lastDeadline  atomic.Int64 // the latest deadline of a request so far, on Options.Clock, in nanoseconds

	idPrefix string        // prefix of generated request IDs, random for each Server
	lastID   atomic.Uint64 // number of the last generated ID

	requestIDs *requestIDs
	events     *eventLog
	bodyMemory bodyMemory

	// mu guards the fields below.
	mu      sync.Mutex
	tunnels map[io.Closer]struct{} // connections to endpoints of the open tunnels; nil after CloseTunnels
}

var _ http.Handler = (*Server)(nil)

// New returns a server whose health checks fail until SetReady is called.
func New(router ingress.Router, o Options) *Server {
	if o.MaxHeaderBytes == 0 || o.Strict {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if o.StallTimeout == 0 {
		o.StallTimeout = defaultStallTimeout
	}
	if o.BodyMemory == 0 {
		o.BodyMemory = defaultBodyMemory
	}
	conns := newClientConns(o.ConnectionLimits)
	events := newEventLog(o.Log)
	conns.countsFields, conns.events = o.TLS == nil || o.Strict, events
	return &Server{
		options: o, router: router, conns: conns,
		requestIDs: newRequestIDs(), events: events, tunnels: map[io.Closer]struct{}{},
		bodyMemory: bodyMemory{limit: o.BodyMemory},
		idPrefix:   strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
}

// HTTPServer returns a net/http server that serves s on the listeners that Listener returns. The caller closes it.
func (s *Server) HTTPServer() *http.Server {
	log := s.options.Log
	if log == nil {
		log = slog.Default()
	}
	srv := &http.Server{
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		Handler:        s,
		MaxHeaderBytes: s.options.MaxHeaderBytes,
		// There is no ReadTimeout because the handler sets its own deadlines for bodies.
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       keepAliveTimeout,
		ConnState:         s.conns.onStateChange,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	if s.options.Strict {
		srv.ReadHeaderTimeout = platformHeaderTimeout
		return srv
	}
	srv.TLSConfig = s.options.TLS
	return srv
}

// Serve serves a listener until it is closed, over TLS if the options have a TLS configuration. srv comes from
// HTTPServer.
func (s *Server) Serve(srv *http.Server, l net.Listener) error {
	if srv.TLSConfig != nil {
		return srv.ServeTLS(l, "", "")
	}
	return srv.Serve(l)
}

// RequestCount returns the number of requests that were admitted so far.
func (s *Server) RequestCount() int64 { return s.requestCount.Load() }

// LastRequestAt returns when the last request was admitted, or the Unix epoch if there was none.
func (s *Server) LastRequestAt() time.Time { return time.Unix(0, s.lastRequestAt.Load()) }

// LastDeadline returns the latest deadline, on Options.Clock, of the requests that were admitted so far; 0 if there were none.
func (s *Server) LastDeadline() time.Duration { return time.Duration(s.lastDeadline.Load()) }

// noteDeadline records the deadline of a request that is admitted.
func (s *Server) noteDeadline(deadline time.Duration) {
	for last := s.lastDeadline.Load(); int64(deadline) > last; last = s.lastDeadline.Load() {
		if s.lastDeadline.CompareAndSwap(last, int64(deadline)) {
			return
		}
	}
}

// Connections returns the number of client connections.
func (s *Server) Connections() int {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return s.conns.table.Len()
}

// SetConnectionLimits changes the limits on client connections.
func (s *Server) SetConnectionLimits(l connlimit.Limits) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	s.conns.table.Resize(l)
	s.conns.closeVictims()
	s.conns.notifyChanged()
}
