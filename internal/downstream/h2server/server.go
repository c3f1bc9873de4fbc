package h2server

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over each server connection that net/http does not offer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/engine"
	"yokestall/internal/h2flood"
)

const (
	// streamWindowBytes is the flow-control window of a stream (RFC 9113, 5.2): how many bytes a client may send before
	// the handler reads them.
	streamWindowBytes = 64 << 10
	// connWindowBytes is the flow-control window of a connection.
	connWindowBytes = 4 * streamWindowBytes
	// pingInterval is the time without a frame from the client after which the server sends a PING, and also the time
	// that the client has to answer it.
	pingInterval = 15 * time.Second
)

// unencryptedHTTP2 is the protocol name under which net/http hands over a connection on which the client began HTTP/2
// in clear text. The client's preface has already been read from such a connection.
const unencryptedHTTP2 = "unencrypted_http2"

// Options configure a Server.
type Options struct {
	MaxStreams   int // limit on the open streams of a connection, at least 1
	FloodLimits  h2flood.Limits
	StallTimeout time.Duration // how long a client may leave the data that it is sent unread
	Clock        engine.Clock
	Log          *slog.Logger // nil: the default logger
}

// Server serves the HTTP/2 connections of a net/http server. Create it with Attach.
type Server struct {
	Options
	// base is the net/http server that is passed to golang.org/x/net's server. It is not the one that accepts
	// connections, so that its Shutdown affects HTTP/2 connections alone.
	base         *http.Server
	http2        *http2.Server
	floodedConns atomic.Int64 // number of connections that exceeded FloodLimits
}

// Attach adds HTTP/2 to a net/http server that is not serving yet: negotiated by ALPN over TLS, by prior knowledge in
// clear text. golang.org/x/net's server serves the connections, since its copy in net/http does not accept a
// guardedConn, which counts the client's frames.
func Attach(srv *http.Server, o Options) *Server {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	s := &Server{
		Options: o,
		base: &http.Server{
			ErrorLog: srv.ErrorLog, MaxHeaderBytes: srv.MaxHeaderBytes,
			ConnState: srv.ConnState, IdleTimeout: srv.IdleTimeout,
		},
		http2: &http2.Server{
			MaxConcurrentStreams:     uint32(o.MaxStreams),
			MaxUploadBufferPerStream: streamWindowBytes, MaxUploadBufferPerConnection: connWindowBytes,
			ReadIdleTimeout: pingInterval, PingTimeout: pingInterval, WriteByteTimeout: o.StallTimeout,
		},
	}
	if err := http2.ConfigureServer(s.base, s.http2); err != nil {
		panic(err) // ConfigureServer only fails for a TLS configuration, and base has none
	}
	srv.Protocols = new(http.Protocols)
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetHTTP2(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	srv.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){
		http2.NextProtoTLS: s.serveTLS,
		unencryptedHTTP2:   s.serveUnencrypted,
	}
	return s
}

// serveTLS serves an HTTP/2 connection over TLS.
func (s *Server) serveTLS(_ *http.Server, c *tls.Conn, handler http.Handler) {
	s.serve(guardedTLSConn{s.newGuardedConn(c, false), c}, handler, false)
}

// serveUnencrypted serves an HTTP/2 connection in clear text, which net/http hands over wrapped in a tls.Conn.
func (s *Server) serveUnencrypted(_ *http.Server, c *tls.Conn, handler http.Handler) {
	inner, ok := c.NetConn().(interface{ UnencryptedNetConn() net.Conn })
	if !ok { // net/http does not behave as documented
		c.NetConn().Close()
		return
	}
	s.serve(s.newGuardedConn(inner.UnencryptedNetConn(), true), handler, true)
}

// serve serves a connection until it ends. prefaceRead says that the client's connection preface has already been read.
func (s *Server) serve(nc net.Conn, handler http.Handler, prefaceRead bool) {
	o := &http2.ServeConnOpts{Handler: handler, BaseConfig: s.base, SawClientPreface: prefaceRead}
	// The handler that net/http passes also provides the context of the connection.
	if h, ok := handler.(interface{ BaseContext() context.Context }); ok {
		o.Context = h.BaseContext()
	}
	s.http2.ServeConn(nc, o)
}

// StartDrain tells the clients of HTTP/2 connections to move to other connections (GOAWAY, RFC 9113, 6.8). Open streams
// are served, and so are those that a client opens before it receives the GOAWAY.
func (s *Server) StartDrain() { s.base.Shutdown(context.Background()) } // Shutdown does not wait because base has no listener.

// FloodedConnections returns the number of connections that were closed for exceeding Options.FloodLimits.
func (s *Server) FloodedConnections() int64 { return s.floodedConns.Load() }
