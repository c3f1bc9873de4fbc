// Package modelbox is a fake server that behaves under load like a modelled server of internal/model: an HTTP server on
// loopback that passes each request to the model as a job, which the model queues, serves or rejects in real time.
//
//   - modelbox.go: start and stop of the server, and its fault
//   - jobs.go: the jobs and responses of requests
//   - events.go: the events that an observer receives
package modelbox

import (
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/model"
)

// Server is a fake server. Create it with Start; its methods are safe for concurrent use.
type Server struct {
	Addr string // the address that the server listens on; it stays the same after Down and Up

	start time.Time // time at which the model's clock was zero

	// mu guards the fields below.
	mu         sync.Mutex
	httpServer *http.Server  // nil while the server is down
	stopped    chan struct{} // closed when httpServer has ended
	model      *model.Server
	rng        *rand.Rand
	lastID     uint64               // ID of the latest job
	waiting    map[uint64]chan bool // by job ID; receives true when the job was served, false when it was lost
	timer      *time.Timer          // fires at the completion of the next job
	effects    map[string]int       // number of effects by request ID
	overloads  int                  // number of times that the server stopped because of overload
	observer   func(Event, string)  // nil if there is no observer
}

// Start starts a server on a free port of 127.0.0.1. The server does not warm up after this first start.
func Start(spec *model.ServerSpec, seed uint64) (*Server, error) {
	s := &Server{
		Addr:    "127.0.0.1:0",
		start:   time.Now(),
		model:   model.NewServer(spec),
		rng:     rand.New(rand.NewPCG(seed, 11)),
		waiting: map[uint64]chan bool{},
		effects: map[string]int{},
	}
	s.timer = time.AfterFunc(time.Hour, s.completeJobs)
	return s, s.listen()
}

// listen starts the HTTP server at Addr and sets Addr to the listener's actual address.
func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	s.Addr = listener.Addr().String()
	httpServer := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	stopped := make(chan struct{})
	s.httpServer, s.stopped = httpServer, stopped
	go func() {
		defer close(stopped)
		httpServer.Serve(listener)
	}()
	return nil
}

// Close stops the server and its timer. The server can't be used afterwards.
func (s *Server) Close() {
	s.Down()
	s.timer.Stop()
}

// Down stops the server at once: all its jobs are lost, open connections are closed, and new ones are refused.
func (s *Server) Down() {
	s.mu.Lock()
	s.failJobs(s.model.Stop())
	httpServer, stopped := s.httpServer, s.stopped
	s.httpServer = nil
	s.mu.Unlock()
	if httpServer != nil {
		httpServer.Close()
		<-stopped
	}
}

// Up restarts the model, which then warms up as its specification says, and the HTTP server at its address if it is
// down.
func (s *Server) Up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Start(s.now())
	if s.httpServer != nil {
		return nil
	}
	return s.listen()
}

// now returns the time on the model's clock.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// SetFault replaces the server's fault. The zero value means no fault.
func (s *Server) SetFault(fault model.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Fault = fault
}

// Effects returns the number of effects of each request, by request ID, and how often the server stopped because of
// overload.
func (s *Server) Effects() (effects map[string]int, overloads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.effects), s.overloads
}
