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
	// maxRequests is the number of requests that a server records. Later requests are only counted.
	maxRequests = 1 << 20

	// maxBody is the number of bytes of a request body that are read.
	maxBody = 1 << 20
)

// ResponseTimeHeader is the response header with the time from the complete request to the first byte of the response,
// in nanoseconds.
const ResponseTimeHeader = "X-Box-Time-Ns"

// Request is a complete request that a server received.
type Request struct {
	ID   string    // value of the header X-Request-ID
	Key  string    // value of the header Idempotency-Key
	Path string    // method and path
	At   time.Time // time at which the request was complete
}

// ServeHTTP answers a request, after the delay that is set, with the server's name and the request's ID, or with status
// 500 if the server is set to fail.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return // an incomplete request is not recorded
	}
	request := Request{
		ID:   r.Header.Get("X-Request-Id"),
		Key:  r.Header.Get("Idempotency-Key"),
		Path: r.Method + " " + r.URL.Path,
		At:   time.Now(),
	}
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

// record records a request, or only counts it once maxRequests are recorded.
func (s *Server) record(request Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requests) < maxRequests {
		s.requests = append(s.requests, request)
	} else {
		s.unrecorded++
	}
}

// Seen returns a copy of the recorded requests, and the number of requests that were not recorded. A failure of the
// listener counts as one unrecorded request.
func (s *Server) Seen() (requests []Request, unrecorded int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests), s.unrecorded
}

// Count returns the number of complete requests that the server has received, recorded or not. A failure of the listener
// counts as one more.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests) + s.unrecorded
}
