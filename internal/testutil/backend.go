package testutil

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"yokestall/internal/fake/appbox"
)

// requestsCapacity is the capacity of Backend.Requests. The handlers block when the test has not received as many requests.
const requestsCapacity = 1000

// Backend is an HTTP server that sends the requests it receives to the test.
type Backend struct {
	*httptest.Server
	Requests chan *http.Request // requests with complete bodies; a handler blocks while the channel is full
}

// NewBackend starts a server that calls handle after it has read the complete body of a request. The server ends with the test.
func NewBackend(t testing.TB, handle http.HandlerFunc) *Backend {
	b := &Backend{Requests: make(chan *http.Request, requestsCapacity)}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		b.Requests <- r
		handle(w, r)
	}))
	t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
	return b
}

// Addr returns the address that the server listens on.
func (b *Backend) Addr() string { return b.Listener.Addr().String() }

// OK is a handler that answers with status 200 and the body "done".
func OK(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") }

// StartAppServer starts a fake application server that ends with the test.
func StartAppServer(t testing.TB, name string) *appbox.Server {
	t.Helper()
	b, err := appbox.Start(name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Down)
	return b
}
