package h2server_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/downstream/h1server"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
)

// heldUpRouter is a router that is held up with the first request, until the test closes release.
type heldUpRouter struct {
	entered chan struct{} // capacity 1; holds a value once the first request has come
	release chan struct{}
}

// Route implements ingress.Router. It routes no request.
func (r *heldUpRouter) Route(*http.Request) (ingress.Destination, error) {
	select {
	case r.entered <- struct{}{}:
		<-r.release
	default:
	}
	return ingress.Destination{}, &ingress.Rejection{Status: http.StatusNotFound, Message: "no route"}
}

// Guards against a request that was read and gets no answer, because its connection is closed for another client's while the server
// is held up: over HTTP/1.1 and HTTP/2, in clear text and over TLS, with and without a body.
func TestReadRequestKeepsItsPlaceOverAllProtocols(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		for _, overHTTP2 := range []bool{false, true} {
			for _, body := range []string{"", strings.Repeat("b", 5000)} {
				t.Run(fmt.Sprintf("TLS %v, HTTP2 %v, %d bytes", withTLS, overHTTP2, len(body)), func(t *testing.T) {
					t.Parallel()
					checkPlaceKept(t, withTLS, overHTTP2, body)
				})
			}
		}
	}
}

// checkPlaceKept sends a request to a server that is held up with it, has other clients want its place, and checks that it is
// answered.
func checkPlaceKept(t *testing.T, withTLS, overHTTP2 bool, body string) {
	const others = 6
	router := &heldUpRouter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	certificates := httptest.NewTLSServer(nil)
	t.Cleanup(certificates.Close)
	server, addr := serveWith(t, router, h1server.Options{
		Clock: engine.NewClock(), TLS: serverTLS(certificates, withTLS),
		ConnectionLimits: connlimit.Limits{Active: 1, New: 4, Overflow: others},
	})
	status := make(chan int, 1)
	go func() { status <- sendOver(certificates, addr, withTLS, overHTTP2, body) }()
	<-router.entered
	time.Sleep(2 * connlimit.PartialGrace)
	for range others { // want the place
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: a\r\n")
		time.Sleep(connlimit.NewGrace)
	}
	close(router.release)
	if got := <-status; got != http.StatusNotFound {
		t.Errorf("status %d, want %d; ends: %v", got, http.StatusNotFound, server.ConnectionEnds())
	}
}

// sendOver sends a request and returns the status of its answer, 0 if there is none.
func sendOver(certificates *httptest.Server, addr string, withTLS, overHTTP2 bool, body string) (status int) {
	transport := certificates.Client().Transport.(*http.Transport).Clone()
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP1(!overHTTP2)
	transport.Protocols.SetHTTP2(overHTTP2 && withTLS)
	transport.Protocols.SetUnencryptedHTTP2(overHTTP2 && !withTLS)
	defer transport.CloseIdleConnections()
	scheme := "http"
	if withTLS {
		scheme = "https"
	}
	r, err := http.NewRequest(http.MethodPost, scheme+"://"+addr+"/x", strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
