package extproc_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fake/proxy"
	"yokestall/internal/testutil"
)

// A message that is out of order or malformed ends its stream with an error that gives the reason. An invalid request is
// answered. No such request reaches an endpoint.
func TestMalformed(t *testing.T) {
	b, addrs := startBoxes(t, 1)
	r := startProcessor(t, addrs)
	fieldsOnly := func(list ...*corev3.HeaderValue) *pb.ProcessingRequest {
		return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestHeaders{
			RequestHeaders: &pb.HttpHeaders{Headers: &corev3.HeaderMap{Headers: list}, EndOfStream: true},
		}}
	}
	path := &corev3.HeaderValue{Key: ":path", Value: "/"}
	body := &pb.ProcessingRequest{
		Request: &pb.ProcessingRequest_RequestBody{RequestBody: &pb.HttpBody{EndOfStream: true}},
	}
	observed := responseHeaders("200")
	observed.ObservabilityMode = true
	for _, tc := range []struct {
		name string
		send []*pb.ProcessingRequest
		says string // text that the stream's error contains; "" if an answer is expected
		code int    // status code of the expected answer; 0 if an error is expected
	}{
		{"response first", []*pb.ProcessingRequest{responseHeaders("200")}, "response_headers received before request_headers", 0},
		{"nothing in it", []*pb.ProcessingRequest{{}}, "the first message must be request_headers", 0},
		{"headers twice", []*pb.ProcessingRequest{requestHeaders(false, "/pick/x"), requestHeaders(false, "/pick/x")},
			"message 2: request_headers received twice", 0},
		{"a body after the end", []*pb.ProcessingRequest{requestHeaders(true, "/pick/x"), body},
			"message 2: request_body received after end_of_stream or trailers", 0},
		{"observability that changes", []*pb.ProcessingRequest{requestHeaders(true, "/pick/x"), observed},
			"observability_mode differs from that of the first message", 0},
		{"no status", []*pb.ProcessingRequest{requestHeaders(true, "/pick/x"), responseHeaders("")}, ":status is missing", 0},
		{"no path", []*pb.ProcessingRequest{fieldsOnly(&corev3.HeaderValue{Key: ":method", Value: "GET"})},
			`:path "" is missing`, 0},
		{"no method", []*pb.ProcessingRequest{fieldsOnly(path)}, `:method "" is missing`, 0},
		{"a path twice", []*pb.ProcessingRequest{fieldsOnly(path, &corev3.HeaderValue{Key: ":path", Value: "/y"})},
			`":path" is unknown or occurs twice`, 0},
		{"text and bytes", []*pb.ProcessingRequest{
			fieldsOnly(&corev3.HeaderValue{Key: "x", Value: "a", RawValue: []byte("b")}),
		}, "both set", 0},
		{"a line's end", []*pb.ProcessingRequest{requestHeaders(true, "/x", "x", "a\r\ny: b")}, "control characters", 0},
		{"a name with a space", []*pb.ProcessingRequest{requestHeaders(true, "/x", "x y", "a")}, "malformed", 0},
		{"bytes that are no UTF-8", []*pb.ProcessingRequest{requestHeaders(true, "/pay/x", "x-request-id", "\xff\xfe")},
			"", 400},
		{"1 MB of fields", []*pb.ProcessingRequest{requestHeaders(true, "/x", "x", strings.Repeat("v", 1_000_000))}, "", 431},
		{"no key", []*pb.ProcessingRequest{requestHeaders(true, "/push/x")}, "", 400},
		{"a message over the bound", []*pb.ProcessingRequest{requestHeaders(true, "/x", "x", strings.Repeat("v", 2<<20))},
			"larger than max", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := r.open(t.Context())
			var err error
			var last *pb.ProcessingResponse
			for _, m := range tc.send {
				s.Send(m)
			}
			s.CloseSend()
			for err == nil {
				var reply *pb.ProcessingResponse
				if reply, err = s.Recv(); reply != nil {
					last = reply
				}
			}
			code := int(last.GetImmediateResponse().GetStatus().GetCode())
			if tc.code != 0 && code != tc.code || tc.says != "" && !strings.Contains(err.Error(), tc.says) {
				t.Errorf("last reply %v, error %v; want status %d (0: any), error with %q", last, err, tc.code, tc.says)
			}
		})
	}
	r.awaitIdle()
	if n := b[0].Count(); n != 0 {
		t.Errorf("%d requests reached an endpoint, want 0", n)
	}
}

// After a caller disconnects, at any point of a stream, no stream and no request stays in flight. A request that may have
// run is not sent again under the same id.
func TestCallerLeaves(t *testing.T) {
	for _, tc := range []struct {
		name       string
		path       string
		disconnect func(s callerStream, cancel func())
	}{
		{"before the decision", "/pick/pay/x", func(_ callerStream, cancel func()) { cancel() }},
		{"while carried", "/pay/x", func(_ callerStream, cancel func()) { cancel() }},
		{"after the decision", "/pick/pay/x", func(s callerStream, cancel func()) {
			s.Recv()
			cancel()
		}},
		{"in order, with no word", "/pick/pay/x", func(s callerStream, _ func()) {
			s.Recv()
			s.CloseSend()
			s.Recv()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list, addrs := startBoxes(t, 1)
			list[0].SetDelay(testutil.WaitTimeout)
			if strings.HasPrefix(tc.name, "before") {
				addrs = nil // without an endpoint the request is queued
			}
			r := startProcessor(t, addrs)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := r.open(ctx)
			s.Send(requestHeaders(true, tc.path, "x-request-id", "one"))
			if tc.name == "while carried" {
				testutil.Until(t, "the attempt to reach the endpoint", func() bool { return list[0].Count() == 1 })
			}
			tc.disconnect(s, cancel)
			r.awaitIdle()
			// The id of a request that may have run is stored, so that a second request with it is rejected as a conflict.
			s = r.open(t.Context())
			s.Send(requestHeaders(true, tc.path, "x-request-id", "one"))
			reply, err := s.Recv()
			// A conflict with a request in flight is found in Server.picks or, if both streams are opened at about the same
			// time, in the idempotency store, with another text.
			isOpen := func() bool {
				body := string(reply.GetImmediateResponse().GetBody())
				return strings.Contains(body, "with this id is open") ||
					strings.Contains(body, "a request under this key, or id, is open")
			}
			for strings.HasPrefix(tc.name, "before") && isOpen() && t.Context().Err() == nil {
				s = r.open(t.Context()) // the processor may handle the first stream after the caller has disconnected
				s.Send(requestHeaders(true, tc.path, "x-request-id", "one"))
				reply, err = s.Recv()
			}
			code := reply.GetImmediateResponse().GetStatus().GetCode()
			if strings.HasPrefix(tc.name, "before") == (code == 409) {
				t.Errorf("second request with the id: reply %v, error %v; want status 409 if the first request may have run, "+
					"another reply if it has not run", reply, err)
			}
			s.CloseSend()
			if list[0].Count() > 1 {
				t.Errorf("%d requests reached the endpoint, want at most 1", list[0].Count())
			}
		})
	}
}

// A request's deadline is the earliest of the gRPC call's, the route's and the request's own. Without an endpoint the
// request is answered with a failure at the deadline, or the call ends, and no endpoint is named.
func TestDeadline(t *testing.T) {
	r := startProcessor(t, nil) // no endpoint: a request is queued until its deadline
	for name, fields := range map[string][]string{
		"x-timeout-ms":  {"x-timeout-ms", "60"},
		"grpc-timeout":  {"grpc-timeout", "60m"},
		"envoy's field": {"x-envoy-expected-rq-timeout-ms", "60"},
		"the call's":    nil,
		"the route's":   {"x-long", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), testutil.WaitTimeout)
			if name == "the call's" {
				cancel()
				ctx, cancel = context.WithTimeout(t.Context(), 60*time.Millisecond)
			}
			defer cancel()
			for _, path := range []string{"/x", "/pick/x"} {
				s := r.open(ctx)
				s.Send(requestHeaders(true, path, fields...))
				reply, err := s.Recv()
				code := reply.GetImmediateResponse().GetStatus().GetCode()
				if namedEndpoint(reply) != "" || err == nil && code != 502 && code != 503 {
					t.Errorf("%s: reply %v, error %v; want status 502 or 503, or an error, and no endpoint", path, reply, err)
				}
			}
		})
	}
}

// TestBounds checks the limits of the server: the number of open streams, the time without a first message, and the
// length of buffered bodies. A stream that reads nothing must not hold up other streams.
func TestBounds(t *testing.T) {
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/large":
			w.Write(make([]byte, 8<<20))
		case "/held":
			<-hold
		}
	})
	t.Cleanup(release)
	r := startProcessor(t, []string{b.Addr()}, "report =", "streams = 10\nbuffer_mb = 1\nfirst_message = \"2s\"\nreport =")
	var silent []callerStream
	for range 10 {
		silent = append(silent, r.open(t.Context()))
	}
	testutil.Until(t, "10 open streams", func() bool { return r.server.InFlight() == 10 })
	if _, err := r.open(t.Context()).Recv(); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("stream over the limit: error %v, want code ResourceExhausted", err)
	}
	for _, s := range silent {
		if _, err := s.Recv(); status.Code(err) != codes.DeadlineExceeded {
			t.Errorf("stream without a first message: error %v, want code DeadlineExceeded", err)
		}
	}
	r.awaitIdle()
	// The first of two large bodies leaves too little buffer space for the second. The space is free again after the first
	// request's end.
	bodies := &proxy.Proxy{Conn: r.conn, BodyMode: filterv3.ProcessingMode_BUFFERED}
	defer bodies.Close()
	large := proxy.Request{Method: "POST", Path: "/held", Body: make([]byte, 700_000), Timeout: testutil.WaitTimeout}
	got := make(chan proxy.Result, 1)
	go func() { got <- bodies.Do(t.Context(), large) }()
	testutil.Wait(t, b.Requests, "the first request with a large body at its endpoint")
	if out := bodies.Do(t.Context(), large); out.Status != 503 || out.Header.Get("Retry-After") == "" {
		t.Errorf("body that exceeds the free buffer space: %+v, want status 503 with Retry-After", out)
	}
	release()
	if out := testutil.Wait(t, got, "the answer to the first request with a large body"); out.Status != 200 {
		t.Errorf("first request with a large body: %+v, want status 200", out)
	}
	r.awaitIdle()
	if out := bodies.Do(t.Context(), large); out.Status != 200 {
		t.Errorf("large body after the buffer space was freed: %+v, want status 200", out)
	}
	testutil.Wait(t, b.Requests, "the last request with a large body at its endpoint")
	ctx, cancel := context.WithCancel(t.Context())
	slow := r.open(ctx)
	slow.Send(requestHeaders(true, "/large"))
	testutil.Wait(t, b.Requests, "the request for a large response at its endpoint")
	p := &proxy.Proxy{Conn: r.conn}
	defer p.Close()
	for range 20 {
		out := p.Do(t.Context(), proxy.Request{Method: "GET", Path: "/x", Timeout: testutil.WaitTimeout})
		if out.Status != 200 {
			t.Errorf("request while another stream's caller does not read: %+v, want status 200", out)
		}
	}
	cancel()
	r.awaitIdle()
}
