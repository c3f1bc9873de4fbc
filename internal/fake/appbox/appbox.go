// Package appbox is a fake application server behind the load balancer, for demos and tests: an HTTP server on loopback
// that can delay or fail its responses, stop and restart at the same address, and that records the requests it received.
//
//   - appbox.go: start and stop of the server, and its settings
//   - requests.go: responses and the record of requests
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

	delay       atomic.Int64 // delay of each response in nanoseconds
	connections atomic.Int64 // number of connections accepted so far
	failing     atomic.Bool

	// mu guards the fields below.
	mu         sync.Mutex
	addr       string        // the listen address; its port is 0 until the first Up
	httpServer *http.Server  // nil while the server is down
	stopped    chan struct{} // closed when httpServer has ended
	requests   []Request     // the first maxRequests complete requests
	unrecorded int           // number of requests beyond maxRequests, plus one for each listener that failed
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

// Connections returns the number of connections that the server has accepted so far.
func (s *Server) Connections() int64 { return s.connections.Load() }

// SetDelay sets the delay of each response to requests that arrive from now on.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// SetFailing sets whether the server answers each request with status 500 from now on.
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
		return fmt.Errorf("starting application server %s: %w", s.Name, err)
	}
	s.addr = listener.Addr().String()
	s.httpServer = &http.Server{Handler: s, ConnState: s.countConnection}
	s.stopped = make(chan struct{})
	go s.serve(s.httpServer, listener, s.stopped)
	return nil
}

// serve runs an HTTP server until it is closed or fails, and then closes stopped.
func (s *Server) serve(httpServer *http.Server, listener net.Listener, stopped chan<- struct{}) {
	defer close(stopped)
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.mu.Lock()
		s.unrecorded++
		s.mu.Unlock()
	}
}

// countConnection is the ConnState hook that counts new connections.
func (s *Server) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		s.connections.Add(1)
	}
}

// Down stops the server at once: open connections are closed, and new ones are refused. It does nothing while the
// server is down.
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
