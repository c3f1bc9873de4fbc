// Package h2server serves clients over HTTP/2 beside net/http's server for HTTP/1.1: what a client
// does to its connection is held to limits (internal/h2flood), and clients can be told to move
// while requests over HTTP/1.1 go on.
package h2server

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over each server connection that net/http does not offer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/engine"
	"yokestall/internal/h2flood"
)

const (
	// window is how many bytes of a stream a client may send ahead (RFC 9113, 5.2).
	window = 64 << 10
	// silence is after how much of it a client is asked for a sign of life, and how long that
	// may take.
	silence = 15 * time.Second
)

// Options are the figures of a Server.
type Options struct {
	MaxStreams   int // open at once on a connection, 1 or more
	FloodLimits  h2flood.Limits
	StallTimeout time.Duration // a client may leave what it is sent unread for so long
	Clock        engine.Clock
	Log          *slog.Logger // nil: the default one
}

// Server serves the HTTP/2 connections of a net/http server. Create it with Attach.
type Server struct {
	Options
	// over2 stands for net/http's server towards them, so that they can be told to move alone.
	over2  *http.Server
	floods atomic.Int64
}

// unencrypted is the name under which net/http hands over a connection on which HTTP/2 was begun
// in clear text. Its preface has been read.
const unencrypted = "unencrypted_http2"

// Attach has a server that is not yet serving speak HTTP/2 too: by ALPN over TLS, by prior
// knowledge else. Its connections are served by golang.org/x/net's server rather than by the copy
// of it in net/http, which takes no connection of ours: what clients do is counted on the way.
func Attach(srv *http.Server, o Options) *Server {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	s := &Server{Options: o, over2: &http.Server{
		ErrorLog: srv.ErrorLog, MaxHeaderBytes: srv.MaxHeaderBytes, ConnState: srv.ConnState, IdleTimeout: srv.IdleTimeout,
	}}
	srv.Protocols = new(http.Protocols)
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetHTTP2(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	h2 := &http2.Server{
		MaxConcurrentStreams: uint32(o.MaxStreams), MaxUploadBufferPerStream: window, MaxUploadBufferPerConnection: 4 * window,
		ReadIdleTimeout: silence, PingTimeout: silence, WriteByteTimeout: o.StallTimeout,
	}
	if err := http2.ConfigureServer(s.over2, h2); err != nil {
		panic(err) // only of a TLS configuration, and it has none
	}
	serve := func(nc net.Conn, h http.Handler, begun bool) {
		o := &http2.ServeConnOpts{Handler: h, BaseConfig: s.over2, SawClientPreface: begun}
		if c, ok := h.(interface{ BaseContext() context.Context }); ok { // as net/http passes it on
			o.Context = c.BaseContext()
		}
		h2.ServeConn(nc, o)
	}
	srv.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){
		http2.NextProtoTLS: func(_ *http.Server, c *tls.Conn, h http.Handler) {
			serve(guardedTLS{s.guard(c, false), c}, h, false)
		},
		unencrypted: func(_ *http.Server, c *tls.Conn, h http.Handler) {
			inner, ok := c.NetConn().(interface{ UnencryptedNetConn() net.Conn })
			if !ok { // another hand-over than that of net/http's documentation
				c.NetConn().Close()
				return
			}
			serve(s.guard(inner.UnencryptedNetConn(), true), h, true)
		},
	}
	return s
}

// StartDrain tells the clients of HTTP/2 connections to move (GOAWAY, RFC 9113, 6.8): what is open on
// them goes on to its end, what a client begins before it hears is served too.
func (s *Server) StartDrain() { s.over2.Shutdown(context.Background()) } // which has no listener to wait for

// FloodedConnections counts the connections that were ended for passing a limit of Options.FloodLimits.
func (s *Server) FloodedConnections() int64 { return s.floods.Load() }

func (s *Server) guard(nc net.Conn, begun bool) *guarded {
	now := s.Clock.Now()
	return &guarded{Conn: nc, server: s, guard: h2flood.New(s.FloodLimits, now, begun)}
}

// guarded counts what an HTTP/2 connection carries.
type guarded struct {
	net.Conn
	server *Server

	mu    sync.Mutex // reads and writes are on goroutines of their own
	guard *h2flood.Guard
	over  bool
}

// NetConn gives the connection that is counted.
func (g *guarded) NetConn() net.Conn { return g.Conn }

// Read implements net.Conn. A flood ends in a connection error: the server says so to the client
// (ENHANCE_YOUR_CALM) and closes.
func (g *guarded) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := g.server.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over || g.flood(g.guard.Read(now, p[:n])) {
		return 0, http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	return n, err
}

// Write implements net.Conn. What the client led the server to write ends the connection at its
// next word.
func (g *guarded) Write(p []byte) (int, error) {
	n, err := g.Conn.Write(p)
	now := g.server.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.over {
		g.flood(g.guard.Wrote(now, p[:n]))
	}
	return n, err
}

// flood notes the end of a connection, once; g.mu is held.
func (g *guarded) flood(err error) bool {
	if err == nil {
		return false
	}
	g.over = true
	g.server.floods.Add(1)
	g.server.Log.Warn("HTTP/2 connection closed", "client", g.RemoteAddr().String(), "err", err)
	return true
}

// guardedTLS is one with the state of TLS, by which the server checks what it was agreed on.
type guardedTLS struct {
	*guarded
	tls *tls.Conn
}

// ConnectionState is asked for by golang.org/x/net's server.
func (g guardedTLS) ConnectionState() tls.ConnectionState { return g.tls.ConnectionState() }
