package testutil

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"yokestall/internal/fake/appbox"
)

// Backend is an HTTP server that tells the test what reaches it.
type Backend struct {
	*httptest.Server
	Requests chan *http.Request // whole requests, as far as there is room for 1,000
}

// NewBackend starts a server that handles requests whose bodies were read.
func NewBackend(t testing.TB, handle http.HandlerFunc) *Backend {
	b := &Backend{Requests: make(chan *http.Request, 1000)}
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

// Addr is where the server listens.
func (b *Backend) Addr() string { return b.Listener.Addr().String() }

// OK answers 200 with the body "done".
func OK(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") }

// StartAppBox starts a stand-in app box.
func StartAppBox(t testing.TB, name string) *appbox.Box {
	t.Helper()
	b, err := appbox.Start(name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Down)
	return b
}
