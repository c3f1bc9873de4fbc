package appbox

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// maxRequests is how many requests a server records; later ones are only counted.
	maxRequests = 1 << 20

	// maxBody is how many bytes of a request's body are read.
	maxBody = 1 << 20
)

// ResponseTimeHeader is the field of an answer with the time that the server took for it, in nanoseconds, from the
// complete request to the answer's first byte.
const ResponseTimeHeader = "X-Box-Time-Ns"

// Request is a complete request that reached a server.
type Request struct {
	ID  string    // X-Request-ID
	Key string    // Idempotency-Key
	At  time.Time // when it was complete
}

// ServeHTTP answers a request with the server's name and the request's id.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return // the request is not complete
	}
	request := Request{ID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), At: time.Now()}
	s.record(request)
	if delay := time.Duration(s.delay.Load()); delay > 0 {
		ctx, cancel := context.WithTimeout(r.Context(), delay)
		<-ctx.Done()
		cancel()
	}
	if s.failing.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	took := time.Since(request.At)
	w.Header().Set("X-Box", s.Name)
	w.Header().Set(ResponseTimeHeader, strconv.FormatInt(took.Nanoseconds(), 10))
	fmt.Fprintf(w, "%s served %s (%d bytes)\n", s.Name, request.ID, len(body))
}

// record adds a request to the recorded ones.
func (s *Server) record(request Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requests) < maxRequests {
		s.requests = append(s.requests, request)
	} else {
		s.unrecorded++
	}
}

// Seen returns the requests that have reached the server so far, and how many more could not be recorded.
func (s *Server) Seen() (requests []Request, unrecorded int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests), s.unrecorded
}

// Count returns how many requests have reached the server.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests) + s.unrecorded
}
