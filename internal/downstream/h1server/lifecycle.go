package h1server

// What clients are told about the process: readiness, draining, lame duck mode and the end of a shutdown.

import (
	"context"
	"io"
	"net/http"
	"time"
)

// SetReady has health checks succeed: the endpoint list is known.
func (s *Server) SetReady() { s.ready.Store(true) }

// IsReady reports whether SetReady was called.
func (s *Server) IsReady() bool { return s.ready.Load() }

// FailHealthChecks has health checks fail from now on. Requests are served all the same.
func (s *Server) FailHealthChecks() { s.failingHealthChecks.Store(true) }

// CloseAfterResponses has each response end its connection, so that clients move to other nodes.
func (s *Server) CloseAfterResponses() { s.closingAfterResponses.Store(true) }

// RejectNewRequests has requests that arrive from now on rejected: the shutdown leaves no time to serve them.
func (s *Server) RejectNewRequests() { s.rejecting.Store(true) }

// EnterLameDuck moves clients to other nodes, until ExitLameDuck or the end of ctx: health checks fail, each response
// ends its connection, and idle connections are closed after adminstate.LameDuckIdleDelay. Requests are served all the
// same. It does not wait. In lame duck mode it does nothing.
func (s *Server) EnterLameDuck(ctx context.Context) {
	cs := s.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.lameDuck.Ready() {
		return
	}
	cs.lameDuck.Enter(cs.now())
	s.lameDuck.Store(true)
	ctx, cs.stopLameDuck = context.WithCancel(ctx)
	go cs.runLameDuck(ctx)
}

// ExitLameDuck ends lame duck mode.
func (s *Server) ExitLameDuck() {
	cs := s.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.lameDuck.Ready() {
		return
	}
	cs.lameDuck.Exit()
	s.lameDuck.Store(false)
	cs.stopLameDuck()
}

// DrainToSuccessor moves the clients to a successor, which accepts the new connections already: each response ends its
// connection, and connections that were idle for idleTimeout are closed. Health checks still succeed, as they do at the
// successor. It returns when no connection is left or ctx ends.
func (s *Server) DrainToSuccessor(ctx context.Context, idleTimeout time.Duration) {
	s.closingAfterResponses.Store(true)
	s.conns.drainToSuccessor(ctx, idleTimeout)
}

// Drain closes connections as they become idle, until none is left but idle HTTP/2 connections, or ctx ends.
func (s *Server) Drain(ctx context.Context) { s.conns.drain(ctx) }

// CloseIdleConnections closes the connections on which nothing was received, or nothing since a response.
func (s *Server) CloseIdleConnections() {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	s.conns.closeExpired(0, 0)
}

// serveHealthCheck answers GET /health/ready.
func (s *Server) serveHealthCheck(w http.ResponseWriter) {
	if !s.ready.Load() || s.failingHealthChecks.Load() || s.lameDuck.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}
