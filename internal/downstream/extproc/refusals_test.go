package extproc_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"yokestall/internal/fake/proxy"
	"yokestall/internal/testutil"
)

// Guards against refusals of requests that may have run (docs/incidents/0002), for requests that the processor forwards: an
// endpoint turned a request away, the next one took it and broke off, and the caller got the first endpoint's 503.
func TestForwardedRequestRefusedByOneEndpointAndRunByAnother(t *testing.T) {
	var attempts atomic.Int64
	handle := func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	r := startProcessor(t, []string{testutil.NewBackend(t, handle).Addr(), testutil.NewBackend(t, handle).Addr()})
	p := &proxy.Proxy{Conn: r.conn}
	defer p.Close()
	out := p.Do(t.Context(), proxy.Request{Method: "POST", Path: "/pay/x", Timeout: testutil.WaitTimeout})
	if attempts.Load() != 2 || out.Status != http.StatusBadGateway {
		t.Errorf("got status %d after %d attempts, error %v; want status 502 after 2", out.Status, attempts.Load(), out.Err)
	}
}
