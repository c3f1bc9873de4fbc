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
	// streamWindowBytes is the flow-control window of a stream (RFC 9113, 5.2): what a client may send ahead of
	// reading.
	streamWindowBytes = 64 << 10
	// connWindowBytes is the flow-control window of a connection.
	connWindowBytes = 4 * streamWindowBytes
	// pingInterval is the time without a frame after which a client is sent a PING, and the time that it has to answer.
	pingInterval = 15 * time.Second
)

// unencryptedHTTP2 is the protocol under which net/http hands over a connection on which HTTP/2 was begun in clear
// text. Its preface has been read.
const unencryptedHTTP2 = "unencrypted_http2"

// Options configure a Server.
type Options struct {
	MaxStreams   int // open at once on a connection, 1 or more
	FloodLimits  h2flood.Limits
	StallTimeout time.Duration // how long a client may leave what it is sent unread
	Clock        engine.Clock
	Log          *slog.Logger // nil: the default logger
}

// Server serves the HTTP/2 connections of a net/http server. Create it with Attach.
type Server struct {
	Options
	// base is the net/http server that golang.org/x/net's server is given, apart from the one that accepts connections:
	// its Shutdown concerns the connections of HTTP/2 alone.
	base    *http.Server
	http2   *http2.Server
	flooded atomic.Int64 // connections closed for a flood
}

// Attach has a net/http server that is not serving yet speak HTTP/2 too: negotiated by ALPN over TLS, by prior
// knowledge in clear text. The connections are served by golang.org/x/net's server, since the copy of it in net/http
// accepts no net.Conn of ours, which counts what clients do.
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
		panic(err) // only for a TLS configuration, and base has none
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

// serveTLS serves a connection over TLS.
func (s *Server) serveTLS(_ *http.Server, c *tls.Conn, handler http.Handler) {
	s.serve(guardedTLSConn{s.newGuardedConn(c, false), c}, handler, false)
}

// serveUnencrypted serves a connection in clear text, which net/http hands over inside a tls.Conn.
func (s *Server) serveUnencrypted(_ *http.Server, c *tls.Conn, handler http.Handler) {
	inner, ok := c.NetConn().(interface{ UnencryptedNetConn() net.Conn })
	if !ok { // not as net/http documents it
		c.NetConn().Close()
		return
	}
	s.serve(s.newGuardedConn(inner.UnencryptedNetConn(), true), handler, true)
}

// serve serves a connection to its end. prefaceRead says that the client's preface has been read.
func (s *Server) serve(nc net.Conn, handler http.Handler, prefaceRead bool) {
	o := &http2.ServeConnOpts{Handler: handler, BaseConfig: s.base, SawClientPreface: prefaceRead}
	if h, ok := handler.(interface{ BaseContext() context.Context }); ok { // net/http passes its context this way
		o.Context = h.BaseContext()
	}
	s.http2.ServeConn(nc, o)
}

// StartDrain tells the clients of HTTP/2 connections to move (GOAWAY, RFC 9113, 6.8). Open streams, and those that a
// client opens before it learns of it, are served.
func (s *Server) StartDrain() { s.base.Shutdown(context.Background()) } // which does not wait: base has no listener

// FloodedConnections returns the number of connections that were closed for exceeding Options.FloodLimits.
func (s *Server) FloodedConnections() int64 { return s.flooded.Load() }
