// Package appbox is a fake of an application server behind the load balancer, for demos and tests: an HTTP server on
// loopback that can be slow, fail, crash and come back at the same address, and that records what reached it.
//
//   - appbox.go: the server's start and end, and its settings
//   - requests.go: how it answers and what it records
package appbox

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a fake application server. Create it with Start; its methods are safe for concurrent use.
type Server struct {
	Name string

	delay       atomic.Int64 // of each answer, in nanoseconds
	connections atomic.Int64 // accepted so far
	failing     atomic.Bool

	// mu guards the fields below.
	mu         sync.Mutex
	addr       string        // with port 0 until the first Up
	httpServer *http.Server  // nil while the server is down
	stopped    chan struct{} // closed when httpServer has ended
	requests   []Request     // at most maxRequests
	unrecorded int           // requests beyond maxRequests, and listeners that failed
}

// Start starts a server on a free port of 127.0.0.1.
func Start(name string) (*Server, error) {
	s := &Server{Name: name, addr: "127.0.0.1:0"}
	return s, s.Up()
}

// Addr returns the address that the server listens on. It stays the same after Down and Up.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Connections returns how many connections the server has accepted so far.
func (s *Server) Connections() int64 { return s.connections.Load() }

// SetDelay sets how long each answer takes from now on.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// SetFailing sets whether each answer from now on is a 500.
func (s *Server) SetFailing(on bool) { s.failing.Store(on) }

// Up starts the server, at its former address if it had one. It does nothing while the server is up.
func (s *Server) Up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("box %s: %w", s.Name, err)
	}
	s.addr = listener.Addr().String()
	s.httpServer = &http.Server{Handler: s, ConnState: s.countConnection}
	s.stopped = make(chan struct{})
	go s.serve(s.httpServer, listener, s.stopped)
	return nil
}

// serve runs an HTTP server until it is closed, and closes stopped then.
func (s *Server) serve(httpServer *http.Server, listener net.Listener, stopped chan<- struct{}) {
	defer close(stopped)
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.mu.Lock()
		s.unrecorded++
		s.mu.Unlock()
	}
}

// countConnection counts a connection that is new.
func (s *Server) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		s.connections.Add(1)
	}
}

// Down ends the server at once: connections break, and new ones are refused.
func (s *Server) Down() {
	s.mu.Lock()
	httpServer, stopped := s.httpServer, s.stopped
	s.httpServer = nil
	s.mu.Unlock()
	if httpServer != nil {
		httpServer.Close()
		<-stopped
	}
}
