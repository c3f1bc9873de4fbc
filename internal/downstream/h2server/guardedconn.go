package h2server

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over each server connection that net/http does not offer

import (
	"crypto/tls"
	"net"
	"sync"

	"golang.org/x/net/http2"

	"yokestall/internal/h2flood"
)

// guardedConn counts the frames of an HTTP/2 connection and ends the connection when it exceeds the flood limits.
type guardedConn struct {
	net.Conn
	server *Server

	// mu guards the fields below: reads and writes run on different goroutines.
	mu      sync.Mutex
	guard   *h2flood.Guard
	flooded bool // a limit was exceeded
}

// newGuardedConn returns a connection whose frames are counted from now on. prefaceRead says that the client's
// connection preface has already been read.
func (s *Server) newGuardedConn(nc net.Conn, prefaceRead bool) *guardedConn {
	now := s.Clock.Now()
	return &guardedConn{Conn: nc, server: s, guard: h2flood.New(s.FloodLimits, now, prefaceRead)}
}

// NetConn returns the connection that g wraps.
func (g *guardedConn) NetConn() net.Conn { return g.Conn }

// HTTP2 tells the ConnState hook that the connection serves HTTP/2.
func (g *guardedConn) HTTP2() {}

// Read implements net.Conn. When a flood limit is exceeded, it returns a connection error, for which golang.org/x/net's
// server sends a GOAWAY (ENHANCE_YOUR_CALM) and closes the connection.
func (g *guardedConn) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := g.server.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.flooded || g.recordFlood(g.guard.Received(now, p[:n])) {
		return 0, http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	return n, err
}

// Write implements net.Conn. If a flood limit is exceeded by the frames that the client has caused the server to write,
// the connection ends at its next Read.
func (g *guardedConn) Write(p []byte) (int, error) {
	n, err := g.Conn.Write(p)
	now := g.server.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.flooded {
		g.recordFlood(g.guard.Sent(now, p[:n]))
	}
	return n, err
}

// recordFlood counts and logs a flood and returns true, or returns false if err is nil. The caller holds mu.
func (g *guardedConn) recordFlood(err error) bool {
	if err == nil {
		return false
	}
	g.flooded = true
	g.server.floodedConns.Add(1)
	g.server.Log.Warn("HTTP/2 connection closed", "client", g.RemoteAddr().String(), "err", err)
	return true
}

// guardedTLSConn is a guardedConn over TLS.
type guardedTLSConn struct {
	*guardedConn
	tls *tls.Conn
}

// ConnectionState returns the state of the TLS connection. golang.org/x/net's server uses it to check the negotiated
// TLS parameters.
func (g guardedTLSConn) ConnectionState() tls.ConnectionState { return g.tls.ConnectionState() }
