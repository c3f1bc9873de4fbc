package app

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// Guards against refusals of requests that may have run (docs/incidents/0002): a server turned a request away, the next
// one took it and broke off, and the client got the first server's 503 with X-Not-Processed: 1.
func TestRefusedByOneServerAndRunByAnother(t *testing.T) {
	for _, downstream := range []webpeer.Protocol{{}, {HTTP2: true}} {
		for _, upstream := range []webpeer.Protocol{{}, {HTTP2: true}} {
			t.Run(downstream.String()+" to "+upstream.String(), func(t *testing.T) {
				var servers turnAwayFirst
				addrs := []string{startServer(t, upstream, &servers), startServer(t, upstream, &servers)}
				c := newCellWithServers(t, downstream, upstream, nil, nil, config.Listener{HTTP2: 128}, addrs...)
				for _, id := range []string{"a", "b"} {
					resp, _, err := c.exchange("POST", "/pay/x", "", strings.NewReader("body"), 4, "X-Request-Id", id)
					if err != nil || servers.taken(id) && resp.StatusCode != http.StatusBadGateway {
						t.Errorf("request %s, taken by a server: %v: answer %v, error %v; want status 502 if a server took it",
							id, servers.taken(id), resp, err)
					}
				}
				if !servers.taken("a") {
					t.Error("the first request was not sent again")
				}
			})
		}
	}
}

// turnAwayFirst are servers that turn away the first attempt of each request, and take the second and break off.
type turnAwayFirst struct {
	mu       sync.Mutex
	attempts map[string]int // by request id
}

// ServeHTTP implements http.Handler.
func (s *turnAwayFirst) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	if s.attempts == nil {
		s.attempts = map[string]int{}
	}
	id := r.Header.Get("X-Request-Id")
	s.attempts[id]++
	first := s.attempts[id] == 1
	s.mu.Unlock()
	if !first {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// taken reports whether a server has taken the request.
func (s *turnAwayFirst) taken(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[id] > 1
}

// startServer starts an HTTP server that ends with the test, and returns its address.
func startServer(t *testing.T, protocol webpeer.Protocol, h http.Handler) string {
	l := testutil.Listen(t)
	server := &http.Server{Handler: h, Protocols: protocol.HTTPProtocols()}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}
