package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestRequestWithoutBodyIsSentOnce checks that a request whose server closes a kept connection without an answer reaches
// the server once, and that the processor is told that the connection ended, not that there was none.
func TestRequestWithoutBodyIsSentOnce(t *testing.T) {
	var received atomic.Int64
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		if received.Add(1) > 1 {
			server.Listener.Close() // a second connection is refused
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	p := &Proxy{}
	defer p.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for i, want := range []string{detailsUpstream, detailsReset} {
		x := &exchange{proxy: p, ctx: t.Context(), request: Request{Method: http.MethodGet, Path: "/"}}
		if details, err := x.roundTrip(http.Header{}, address); err != nil || details != want {
			t.Errorf("request %d: got details %q and error %v, want %q", i+1, details, err, want)
		}
	}
	if n := received.Load(); n != 2 {
		t.Errorf("the server received %d requests, want 2", n)
	}
}
