// Package modelbox is a fake server that behaves under load as internal/model says: an HTTP server on loopback whose
// jobs are queued, served and rejected by the model, in real time.
//
//   - modelbox.go: the server's start and end, and its fault
//   - jobs.go: how requests become jobs and get their answers
//   - events.go: what an observer is notified of
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
	Addr string // the same after Down and Up

	start time.Time // zero of the model's clock

	// mu guards the fields below.
	mu         sync.Mutex
	httpServer *http.Server  // nil while the server is down
	stopped    chan struct{} // closed when httpServer has ended
	model      *model.Server
	rng        *rand.Rand
	lastID     uint64               // of a job
	waiting    map[uint64]chan bool // by job: true is sent when it was served, false when it was lost
	timer      *time.Timer          // of the next job's completion
	effects    map[string]int       // by request id
	overloads  int
	observer   func(Event, string) // nil: there is none
}

// Start starts a server on a free port of 127.0.0.1, without slow start.
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

// listen starts the HTTP server at Addr and sets that to the address it got.
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

// Close ends the server for good.
func (s *Server) Close() {
	s.Down()
	s.timer.Stop()
}

// Down makes the server lose all its jobs: connections break, and new ones are refused.
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

// Up starts the server again at its address. It warms up as the model says.
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

// SetFault sets the server's fault; the zero value ends it.
func (s *Server) SetFault(fault model.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Fault = fault
}

// Effects returns how often each request, by its id, took effect, and how often the server stopped for overload.
func (s *Server) Effects() (effects map[string]int, overloads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.effects), s.overloads
}
