// Package appbox is a stand-in for a server behind the load balancer: an HTTP server on
// loopback that can be slow, die and come back at the same address, and that keeps what
// reached it, for demos and tests.
package appbox

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// maxSeen is how many requests a box keeps; later ones are counted in Lost only.
const maxSeen = 1 << 20

// Request is one request that reached a box, whole.
type Request struct {
	ID  string // X-Request-ID
	Key string // Idempotency-Key
	At  time.Time
}

// Server is a stand-in server. Create it with Start; its methods are safe for concurrent use.
type Server struct {
	Name string

	addr    string
	delay   atomic.Int64 // ns, of each answer
	conns   atomic.Int64 // connections taken so far
	failing atomic.Bool

	mu         sync.Mutex
	httpServer *http.Server // nil while the box is down
	stopped    chan struct{}
	requests   []Request
	unrecorded int
}

// ResponseTimeHeader is the field of an answer with the time that the box took for it, in nanoseconds, from the whole request to
// the answer's first byte.
const ResponseTimeHeader = "X-Box-Time-Ns"

// Start starts a box on a free port of 127.0.0.1.
func Start(name string) (*Server, error) {
	b := &Server{Name: name, addr: "127.0.0.1:0"}
	return b, b.Up()
}

// Connections is how many connections the box has taken so far.
func (b *Server) Connections() int64 { return b.conns.Load() }

func (b *Server) countConnection(_ net.Conn, is http.ConnState) {
	if is == http.StateNew {
		b.conns.Add(1)
	}
}

// Addr is where the box listens, the same after Down and Up.
func (b *Server) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addr
}

// SetDelay has each answer from now on take so long.
func (b *Server) SetDelay(d time.Duration) { b.delay.Store(int64(d)) }

// SetFailing has each answer from now on be a 500, or not.
func (b *Server) SetFailing(on bool) { b.failing.Store(on) }

// Up starts the box, or starts it again at its address.
func (b *Server) Up() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.httpServer != nil {
		return nil
	}
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return fmt.Errorf("box %s: %w", b.Name, err)
	}
	b.addr = l.Addr().String()
	s := &http.Server{Handler: b, ConnState: b.countConnection}
	ended := make(chan struct{})
	b.httpServer, b.stopped = s, ended
	go func() {
		defer close(ended)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			b.mu.Lock()
			b.unrecorded++
			b.mu.Unlock()
		}
	}()
	return nil
}

// Down ends the box at once: connections break, new ones are refused.
func (b *Server) Down() {
	b.mu.Lock()
	s, ended := b.httpServer, b.stopped
	b.httpServer = nil
	b.mu.Unlock()
	if s != nil {
		s.Close()
		<-ended
	}
}

// ServeHTTP answers a request with the box's name and the request's id.
func (b *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return // never whole
	}
	seen := Request{ID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), At: time.Now()}
	b.mu.Lock()
	if len(b.requests) < maxSeen {
		b.requests = append(b.requests, seen)
	} else {
		b.unrecorded++
	}
	b.mu.Unlock()
	if d := time.Duration(b.delay.Load()); d > 0 {
		ctx, cancel := context.WithTimeout(r.Context(), d)
		<-ctx.Done()
		cancel()
	}
	if b.failing.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Box", b.Name)
	w.Header().Set(ResponseTimeHeader, strconv.FormatInt(time.Since(seen.At).Nanoseconds(), 10))
	fmt.Fprintf(w, "%s served %s (%d bytes)\n", b.Name, seen.ID, len(body))
}

// Seen gives what has reached the box so far, and how many requests it could not keep.
func (b *Server) Seen() (list []Request, lost int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Request(nil), b.requests...), b.unrecorded
}

// Count is how many requests have reached the box.
func (b *Server) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests) + b.unrecorded
}
