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

// Messages that are out of order or malformed end their stream with an error that says why; requests that are not valid
// are answered. None of them reaches an endpoint.
func TestMalformed(t *testing.T) {
	b, addrs := boxes(t, 1)
	r := start(t, addrs)
	bare := func(list ...*corev3.HeaderValue) *pb.ProcessingRequest {
		return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestHeaders{
			RequestHeaders: &pb.HttpHeaders{Headers: &corev3.HeaderMap{Headers: list}, EndOfStream: true},
		}}
	}
	path := &corev3.HeaderValue{Key: ":path", Value: "/"}
	body := &pb.ProcessingRequest{
		Request: &pb.ProcessingRequest_RequestBody{RequestBody: &pb.HttpBody{EndOfStream: true}},
	}
	observed := answered("200")
	observed.ObservabilityMode = true
	for _, tc := range []struct {
		name string
		send []*pb.ProcessingRequest
		says string // in the error; or
		code int    // of the answer
	}{
		{"response first", []*pb.ProcessingRequest{answered("200")}, "response_headers received before request_headers", 0},
		{"nothing in it", []*pb.ProcessingRequest{{}}, "the first message must be request_headers", 0},
		{"headers twice", []*pb.ProcessingRequest{head(false, "/pick/x"), head(false, "/pick/x")},
			"message 2: request_headers received twice", 0},
		{"a body after the end", []*pb.ProcessingRequest{head(true, "/pick/x"), body},
			"message 2: request_body received after end_of_stream or trailers", 0},
		{"observability that changes", []*pb.ProcessingRequest{head(true, "/pick/x"), observed},
			"observability_mode differs from that of the first message", 0},
		{"no status", []*pb.ProcessingRequest{head(true, "/pick/x"), answered("")}, ":status is missing", 0},
		{"no path", []*pb.ProcessingRequest{bare(&corev3.HeaderValue{Key: ":method", Value: "GET"})},
			`:path "" is missing`, 0},
		{"no method", []*pb.ProcessingRequest{bare(path)}, `:method "" is missing`, 0},
		{"a path twice", []*pb.ProcessingRequest{bare(path, &corev3.HeaderValue{Key: ":path", Value: "/y"})},
			`":path" is unknown or occurs twice`, 0},
		{"text and bytes", []*pb.ProcessingRequest{
			bare(&corev3.HeaderValue{Key: "x", Value: "a", RawValue: []byte("b")}),
		}, "both set", 0},
		{"a line's end", []*pb.ProcessingRequest{head(true, "/x", "x", "a\r\ny: b")}, "control characters", 0},
		{"a name with a space", []*pb.ProcessingRequest{head(true, "/x", "x y", "a")}, "malformed", 0},
		{"bytes that are no UTF-8", []*pb.ProcessingRequest{head(true, "/pay/x", "x-request-id", "\xff\xfe")},
			"", 400},
		{"1 MB of fields", []*pb.ProcessingRequest{head(true, "/x", "x", strings.Repeat("v", 1_000_000))}, "", 431},
		{"no key", []*pb.ProcessingRequest{head(true, "/push/x")}, "", 400},
		{"a message over the bound", []*pb.ProcessingRequest{head(true, "/x", "x", strings.Repeat("v", 2<<20))},
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
				t.Errorf("%v, %v", last, err)
			}
		})
	}
	r.quiet()
	if n := b[0].Count(); n != 0 {
		t.Errorf("%d reached a server", n)
	}
}

// A caller that disconnects at any point of a stream leaves nothing in flight.
func TestCallerLeaves(t *testing.T) {
	for _, tc := range []struct {
		name  string
		path  string
		leave func(s callerStream, cancel func())
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
			list, addrs := boxes(t, 1)
			list[0].SetDelay(testutil.WaitTimeout)
			if strings.HasPrefix(tc.name, "before") {
				addrs = nil // nothing can be decided: the request is held
			}
			r := start(t, addrs)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := r.open(ctx)
			s.Send(head(true, tc.path, "x-request-id", "one"))
			if tc.name == "while carried" {
				testutil.Until(t, "the attempt to be out", func() bool { return list[0].Count() == 1 })
			}
			tc.leave(s, cancel)
			r.quiet()
			// A request that may have run is remembered: it does not run again under its id.
			s = r.open(t.Context())
			s.Send(head(true, tc.path, "x-request-id", "one"))
			reply, err := s.Recv()
			// The same conflict is found in the table of picks or, a moment earlier, in the store of idempotency keys.
			isOpen := func() bool {
				body := string(reply.GetImmediateResponse().GetBody())
				return strings.Contains(body, "with this id is open") ||
					strings.Contains(body, "a request under this key, or id, is open")
			}
			for strings.HasPrefix(tc.name, "before") && isOpen() && t.Context().Err() == nil {
				s = r.open(t.Context()) // the processor may get the first stream after it was left
				s.Send(head(true, tc.path, "x-request-id", "one"))
				reply, err = s.Recv()
			}
			code := reply.GetImmediateResponse().GetStatus().GetCode()
			if strings.HasPrefix(tc.name, "before") == (code == 409) {
				t.Errorf("sent again: %v, %v", reply, err)
			}
			s.CloseSend()
			if list[0].Count() > 1 {
				t.Errorf("%d reached the server", list[0].Count())
			}
		})
	}
}

// The deadline is the least of the call's, the route's and the request's own; streams end there, and nothing is decided
// after it.
func TestDeadline(t *testing.T) {
	r := start(t, nil) // no endpoint: a request is queued until its deadline
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
				s.Send(head(true, path, fields...))
				reply, err := s.Recv()
				code := reply.GetImmediateResponse().GetStatus().GetCode()
				if named(reply) != "" || err == nil && code != 502 && code != 503 {
					t.Errorf("%v, %v", reply, err)
				}
			}
		})
	}
}

// The limits: streams in all, streams without a message, buffered bodies, and a stream that reads nothing beside
// others.
func TestBounds(t *testing.T) {
	hold := make(chan struct{})
	let := sync.OnceFunc(func() { close(hold) })
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/large":
			w.Write(make([]byte, 8<<20))
		case "/held":
			<-hold
		}
	})
	t.Cleanup(let)
	r := start(t, []string{b.Addr()}, "report =", "streams = 10\nbuffer_mb = 1\nfirst_message = \"2s\"\nreport =")
	var silent []callerStream
	for range 10 {
		silent = append(silent, r.open(t.Context()))
	}
	testutil.Until(t, "the streams to be there", func() bool { return r.server.InFlight() == 10 })
	if _, err := r.open(t.Context()).Recv(); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("one over the bound: %v", err)
	}
	for _, s := range silent {
		if _, err := s.Recv(); status.Code(err) != codes.DeadlineExceeded {
			t.Errorf("one that says nothing: %v", err)
		}
	}
	r.quiet()
	// Buffered bodies: the second of two large ones finds no capacity, and capacity comes back.
	bodies := &proxy.Proxy{Conn: r.conn, BodyMode: filterv3.ProcessingMode_BUFFERED}
	defer bodies.Close()
	large := proxy.Request{Method: "POST", Path: "/held", Body: make([]byte, 700_000), Timeout: testutil.WaitTimeout}
	got := make(chan proxy.Result, 1)
	go func() { got <- bodies.Do(t.Context(), large) }()
	testutil.Wait(t, b.Requests, "the first body at its server")
	if out := bodies.Do(t.Context(), large); out.Status != 503 || out.Header.Get("Retry-After") == "" {
		t.Errorf("over the bytes that may be held: %+v", out)
	}
	let()
	if out := testutil.Wait(t, got, "the first's answer"); out.Status != 200 {
		t.Errorf("%+v", out)
	}
	r.quiet()
	if out := bodies.Do(t.Context(), large); out.Status != 200 {
		t.Errorf("once there is room again: %+v", out)
	}
	testutil.Wait(t, b.Requests, "it")
	ctx, cancel := context.WithCancel(t.Context())
	slow := r.open(ctx)
	slow.Send(head(true, "/large"))
	testutil.Wait(t, b.Requests, "the large answer to be asked for")
	p := &proxy.Proxy{Conn: r.conn}
	defer p.Close()
	for range 20 {
		out := p.Do(t.Context(), proxy.Request{Method: "GET", Path: "/x", Timeout: testutil.WaitTimeout})
		if out.Status != 200 {
			t.Errorf("beside a slow reader: %+v", out)
		}
	}
	cancel()
	r.quiet()
}
