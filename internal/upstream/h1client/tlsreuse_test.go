package h1client

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// Guards against answers that reach the clients of other requests (docs/incidents/0003): over TLS, a second copy of an
// answer that came right behind it was read from the socket together with the answer, and was taken for the next one.
func TestDuplicateAnswerBehindAnswerOverTLS(t *testing.T) {
	var requests atomic.Int64
	copied := make(chan struct{}, 20)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		nc, in, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer nc.Close()
		for {
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%02d", requests.Add(1))
			io.WriteString(nc, answer) // a TLS record each
			io.WriteString(nc, answer)
			copied <- struct{}{}
			next, err := http.ReadRequest(in.Reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, next.Body)
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	p := poolOverTLS(server)
	for n := range 20 {
		want := fmt.Sprintf("%02d", n+1)
		if status, body := send(t.Context(), p, 1); status != policy.OK || body != want {
			t.Errorf("attempt %d: got status %d and body %q, want OK and %q", n, status, body, want)
		}
		testutil.Wait(t, copied, "the second copy")
	}
	p.UpdateEndpoints(true, nil)
}

// A connection over TLS is used again if nothing has come behind the answer, also if the endpoint has sent session
// tickets.
func TestReuseOverTLS(t *testing.T) {
	remoteAddrs := map[string]bool{}
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remoteAddrs[r.RemoteAddr] = true // needs no lock: there is one request at a time
		testutil.OK(w, r)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	p := poolOverTLS(server)
	for n := range 20 {
		if status, body := send(t.Context(), p, 1); status != policy.OK || body != "done" {
			t.Errorf("attempt %d: got status %d and body %q, want OK and \"done\"", n, status, body)
		}
	}
	if len(remoteAddrs) != 1 {
		t.Errorf("20 requests: got %d connections, want 1", len(remoteAddrs))
	}
	p.UpdateEndpoints(true, nil)
}

// poolOverTLS returns a pool whose endpoint 1 is the server. The pool has no reuse delay.
func poolOverTLS(server *httptest.Server) *Pool {
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	p := New(Options{
		EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: testutil.WaitTimeout, MaxConnections: 10,
		TLS: &tls.Config{RootCAs: roots, ServerName: "example.com"},
	})
	p.reuseDelay = 0
	p.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: server.Listener.Addr().String()}})
	return p
}
