package h1server

// This file holds the process states that clients notice: readiness, draining, lame duck mode and the end of a
// shutdown.

import (
	"context"
	"net/http"
	"time"
)

// SetReady makes health checks succeed. It is to be called once the endpoint list is known.
func (s *Server) SetReady() { s.ready.Store(true) }

// IsReady reports whether SetReady was called.
func (s *Server) IsReady() bool { return s.ready.Load() }

// FailHealthChecks makes health checks fail from now on. Requests are still served.
func (s *Server) FailHealthChecks() { s.failingHealthChecks.Store(true) }

// CloseAfterResponses makes each response close its connection from now on, so that clients move to other nodes.
func (s *Server) CloseAfterResponses() { s.closingAfterResponses.Store(true) }

// RejectDeadlinesAfter rejects requests that arrive from now on and whose deadline is after latest, on Options.Clock,
// because the shutdown leaves no time to serve them.
func (s *Server) RejectDeadlinesAfter(latest time.Duration) { s.latestDeadline.Store(int64(latest)) }

// endsBefore reports whether the server's shutdown ends before a deadline.
func (s *Server) endsBefore(deadline time.Duration) bool {
	latest := s.latestDeadline.Load()
	return latest != 0 && int64(deadline) > latest
}

// EnterLameDuck moves clients to other nodes until ExitLameDuck is called or ctx ends: health checks fail, each
// response closes its connection, and idle connections are closed after adminstate.LameDuckIdleDelay. Requests are
// still served. EnterLameDuck does not wait, and has no effect in lame duck mode.
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

// DrainToSuccessor moves the clients to a successor, which already accepts the new connections: each response closes
// its connection, and connections that have been idle for idleTimeout are closed. Health checks still succeed, as they
// do at the successor. DrainToSuccessor returns when no connection is left or ctx ends.
func (s *Server) DrainToSuccessor(ctx context.Context, idleTimeout time.Duration) {
	s.closingAfterResponses.Store(true)
	s.conns.drainToSuccessor(ctx, idleTimeout)
}

// Drain closes connections once they have been idle for drainIdleTimeout. It returns when only idle HTTP/2 connections are
// left or ctx ends. CloseAfterResponses has to be called before.
func (s *Server) Drain(ctx context.Context) { s.conns.drain(ctx) }

// CloseIdleConnections closes the connections on which nothing was received at all, or nothing since the last response.
func (s *Server) CloseIdleConnections() {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	s.conns.closeExpired(0, 0)
}

// serveHealthCheck answers GET /health/ready.
func (s *Server) serveHealthCheck(w http.ResponseWriter) {
	if !s.ready.Load() || s.failingHealthChecks.Load() || s.lameDuck.Load() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}
