// Package modelbox is a stand-in for a server that behaves under load as internal/model says: an HTTP
// server on loopback whose jobs wait, are served and turned away by the model, in real time.
package modelbox

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yokestall/internal/model"
)

// WorkHeader is a job's work in microseconds.
const WorkHeader = "X-Work-Us"

// Server is a server. Create it with Start; its methods are safe for concurrent use.
type Server struct {
	Addr string // the same after Down and Up

	start time.Time

	mu         sync.Mutex
	httpServer *http.Server // nil while the box is down
	done       chan struct{}
	model      *model.Server
	rng        *rand.Rand
	lastID     uint64
	waiting    map[uint64]chan bool // by job; true: served
	timer      *time.Timer
	effects    map[string]int // by request id
	observer   func(Event, string)
	overloads  int
}

// Event is what a box saw of a request.
type Event uint8

// What a box sees.
const (
	Arrived Event = iota
	Completed
	Overloaded
)

// Watch has a function told of each request as it comes, as it takes effect, and as the box falls over with it.
func (b *Server) Watch(seen func(what Event, requestID string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observer = seen
}

func (b *Server) notify(what Event, r *http.Request) {
	b.mu.Lock()
	seen := b.observer
	b.mu.Unlock()
	if seen != nil {
		seen(what, r.Header.Get("X-Request-Id"))
	}
}

// Start starts a box on a free port of 127.0.0.1, warm.
func Start(k *model.ServerSpec, seed uint64) (*Server, error) {
	b := &Server{
		Addr: "127.0.0.1:0", start: time.Now(), model: model.NewServer(k),
		rng: rand.New(rand.NewPCG(seed, 11)), waiting: map[uint64]chan bool{}, effects: map[string]int{},
	}
	b.timer = time.AfterFunc(time.Hour, b.completeJobs)
	return b, b.listen()
}

// listen takes connections at the box's address.
func (b *Server) listen() error {
	l, err := net.Listen("tcp", b.Addr)
	if err != nil {
		return err
	}
	b.Addr = l.Addr().String()
	srv, done := &http.Server{Handler: b, ErrorLog: log.New(io.Discard, "", 0)}, make(chan struct{})
	b.httpServer, b.done = srv, done
	go func() {
		defer close(done)
		srv.Serve(l)
	}()
	return nil
}

// Close ends the box.
func (b *Server) Close() {
	b.Down()
	b.timer.Stop()
}

func (b *Server) now() time.Duration { return time.Since(b.start) }

// Down has the box lose all its jobs: connections break, new ones are refused.
func (b *Server) Down() {
	b.mu.Lock()
	b.failJobs(b.model.Stop())
	srv, done := b.httpServer, b.done
	b.httpServer = nil
	b.mu.Unlock()
	if srv != nil {
		srv.Close()
		<-done
	}
}

// Up starts it again, cold, at its address.
func (b *Server) Up() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.model.Start(b.now())
	if b.httpServer != nil {
		return nil
	}
	return b.listen()
}

// SetFault sets what is wrong with it.
func (b *Server) SetFault(t model.Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.model.Fault = t
}

// Effects gives how often each request took effect, by its id, and how often the box fell over.
func (b *Server) Effects() (by map[string]int, fell int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	by = make(map[string]int, len(b.effects))
	for id, n := range b.effects {
		by[id] = n
	}
	return by, b.overloads
}

func (b *Server) failJobs(lost []model.Job) {
	for _, j := range lost {
		if c := b.waiting[j.ID]; c != nil {
			delete(b.waiting, j.ID)
			c <- false
		}
	}
}

// completeJobs ends the jobs whose service is over.
func (b *Server) completeJobs() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		j, ok := b.model.PopCompleted(b.now())
		if !ok {
			break
		}
		if c := b.waiting[j.ID]; c != nil {
			delete(b.waiting, j.ID)
			c <- true
		}
	}
	b.armTimer()
}

func (b *Server) armTimer() {
	if at, ok := b.model.NextCompletion(); ok {
		b.timer.Reset(max(0, at-b.now()))
	}
}

// ServeHTTP takes a job.
func (b *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	us, err := strconv.ParseInt(r.Header.Get(WorkHeader), 10, 40)
	if err != nil || us <= 0 {
		http.Error(w, "no work", http.StatusBadRequest)
		return
	}
	b.notify(Arrived, r)
	b.mu.Lock()
	b.lastID++
	j := model.Job{ID: b.lastID, Work: time.Duration(us) * time.Microsecond, Key: r.Header.Get("Idempotency-Key")}
	fate, lost := b.model.Arrive(b.now(), j, b.rng)
	c := make(chan bool, 1)
	if fate == model.Accepted {
		b.waiting[j.ID] = c
		b.armTimer()
	}
	if fate == model.Overloaded {
		b.overloads++
		b.failJobs(lost)
	}
	b.mu.Unlock()
	if fate == model.Overloaded {
		b.notify(Overloaded, r)
	}
	switch fate {
	case model.Rejected:
		w.Header().Set("X-Not-Processed", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	case model.Failed:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case model.Duplicate:
		fmt.Fprintln(w, "seen before")
		return
	case model.Unreachable, model.Overloaded:
		panic(http.ErrAbortHandler)
	}
	if !<-c {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.effects[r.Header.Get("X-Request-Id")]++
	silent := b.model.Fault.Unresponsive
	b.mu.Unlock()
	b.notify(Completed, r)
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintln(w, "done")
}
