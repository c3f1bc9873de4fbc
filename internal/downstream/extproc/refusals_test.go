package extproc_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"yokestall/internal/fake/proxy"
	"yokestall/internal/testutil"
)

// Guards against refusals of requests that may have run (docs/incidents/0002), for requests that the processor
// forwards: an endpoint turned a request away, the next one took it and broke off, and the caller got the first
// endpoint's 503.
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

// Guards against refusals of requests that may have run (docs/incidents/0002), for requests that the caller sends: an
// endpoint's refusal is replaced by 502 where the request may have run at this endpoint or an earlier one, unless a
// repeat is harmless.
func TestPickedEndpointRefusesWhatMayHaveRun(t *testing.T) {
	for name, tc := range map[string]struct {
		path, scope string
		responses   []string // status codes of the attempts' responses; a suffix NP stands for X-Not-Processed: 1
		replaced    bool     // the last response is replaced by 502
	}{
		"not idempotent, unavailable":                {"/pick/pay/x", "all", []string{"503"}, true},
		"not idempotent, not processed":              {"/pick/pay/x", "all", []string{"503 NP"}, false},
		"not idempotent, too many requests":          {"/pick/pay/x", "all", []string{"429"}, false},
		"not idempotent, an error":                   {"/pick/pay/x", "all", []string{"500"}, false},
		"keyed by zone, an error, not processed":     {"/pick/push/x", "zone", []string{"500", "503 NP"}, true},
		"keyed by zone, an error, too many requests": {"/pick/push/x", "zone", []string{"500", "429"}, true},
		"keyed by zone, not processed twice":         {"/pick/push/x", "zone", []string{"503 NP", "503 NP"}, false},
		"keyed everywhere, an error, not processed":  {"/pick/push/x", "all", []string{"500", "503 NP"}, false},
		"idempotent, unavailable":                    {"/pick/x", "all", []string{"503"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addrs := []string{"127.0.0.1:1", "127.0.0.1:2"} // the test connects to neither
			r := startProcessor(t, addrs, `report = "200ms"`, `report = "30s"`, `scope = "all"`, `scope = "`+tc.scope+`"`)
			var reply *pb.ProcessingResponse
			for i, response := range tc.responses {
				reply = r.exchangePick(tc.path, i+1, response)
			}
			code := reply.GetImmediateResponse().GetStatus().GetCode()
			if replaced := code == http.StatusBadGateway; replaced != tc.replaced || !replaced && code != 0 {
				t.Errorf("reply to the last response: immediate response with status %d; replaced by 502: %v, want %v",
					code, replaced, tc.replaced)
			}
			r.awaitIdle()
			if served := r.server.Stats.Served.Load(); tc.replaced && served != 0 {
				t.Errorf("%d requests count as served, want none", served)
			}
		})
	}
}

// exchangePick requests an endpoint for an attempt, reports its response, and returns the processor's reply to that.
func (r *rig) exchangePick(path string, attempt int, response string) *pb.ProcessingResponse {
	s := r.open(r.t.Context())
	defer s.CloseSend()
	count := fmt.Sprint(attempt)
	s.Send(requestHeaders(true, path, "x-request-id", "one", "idempotency-key", "k", "x-envoy-attempt-count", count))
	reply, err := s.Recv()
	if err != nil || namedEndpoint(reply) == "" {
		r.t.Fatalf("attempt %d: reply %v, error %v; want an endpoint", attempt, reply, err)
	}
	code, notProcessed := strings.CutSuffix(response, " NP")
	message := responseHeaders(code)
	if notProcessed {
		fields := message.GetResponseHeaders().Headers
		fields.Headers = append(fields.Headers, &corev3.HeaderValue{Key: "x-not-processed", RawValue: []byte("1")})
	}
	s.Send(message)
	if reply, err = s.Recv(); err != nil {
		r.t.Fatalf("attempt %d: reply to the response: %v", attempt, err)
	}
	return reply
}
