package node

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

// zeros is an infinite reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// A malformed request gets an error status with a short text and reaches no server.
func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	n, _ := startReady(t, b)
	for name, c := range map[string]struct {
		class  string
		change func(r *http.Request)
		status int
	}{
		"no id":          {"read", func(r *http.Request) { r.Header.Del("X-Request-ID") }, 400},
		"two ids":        {"read", func(r *http.Request) { r.Header.Add("X-Request-ID", "b") }, 400},
		"bad id":         {"read", func(r *http.Request) { r.Header.Set("X-Request-ID", "a b") }, 400},
		"unknown class":  {"read", func(r *http.Request) { r.URL.Path = "/nosuch" }, 404},
		"no tenant":      {"read", func(r *http.Request) { r.Header.Del("X-Tenant-Id") }, 400},
		"unknown tenant": {"read", func(r *http.Request) { r.Header.Set("X-Tenant-Id", "nobody") }, 400},
		"no time-out":    {"read", func(r *http.Request) { r.Header.Del("X-Timeout-Ms") }, 400},
		"bad time-out":   {"read", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "soon") }, 400},
		"negative time":  {"read", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "-5") }, 400},
		"endless time":   {"read", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", strings.Repeat("9", 30)) }, 400},
		"wrong method":   {"read", func(r *http.Request) { r.Method = http.MethodPost }, 405},
		"keyed by GET":   {"push", func(r *http.Request) { r.Method = http.MethodGet }, 405},
		"no key":         {"push", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"unsafe, keyed":  {"pay", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") }, 400},
		"large body": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(io.LimitReader(zeros{}, maxBodyBytes+1)), maxBodyBytes+1
		}, 413},
	} {
		t.Run(name, func(t *testing.T) {
			r := n.request(c.class)
			c.change(r)
			a := n.do(r)
			if a.status != c.status || a.body == "" || len(a.body) > 100 {
				t.Errorf("got status %d, want %d; got text %q, want 1 to 100 bytes", a.status, c.status, a.body)
			}
		})
	}
	if len(b.Requests) != 0 {
		t.Errorf("%d malformed requests reached a server, want 0", len(b.Requests))
	}
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("a valid request after the malformed ones: got status %d, want 200", a.status)
	}
}
