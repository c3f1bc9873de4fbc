package main

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// endingServer is a server that notes when requests come, and when the program was told that the server is out.
type endingServer struct {
	http *http.Server
	addr string

	mu       sync.Mutex
	arrivals []time.Time
	told     time.Time // zero: the server is in use
}

func startEndingServer(t *testing.T) *endingServer {
	l := testutil.Listen(t)
	s := &endingServer{addr: l.Addr().String()}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	t.Cleanup(func() { s.http.Close() })
	return s
}

// ServeHTTP implements http.Handler.
func (s *endingServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	time.Sleep(endingWork) // the work of the request
	w.Write([]byte("done"))
}

// out notes when the program was told that the server is out, and has the server stop some time after.
func (s *endingServer) out(told time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told.IsZero() {
		s.told = told
		time.AfterFunc(time.Until(told.Add(endingServerStop)), func() { s.http.Close() })
	}
}

// late returns how long after its grace the last request came, and how many came then.
func (s *endingServer) late(allowed time.Duration) (count int, latest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.arrivals {
		if after := at.Sub(s.told.Add(allowed)); !s.told.IsZero() && after > 0 {
			count, latest = count+1, max(latest, after)
		}
	}
	return count, latest
}
