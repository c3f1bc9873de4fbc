package extproc_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	reflectionpb "google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/downstream/extproc"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fake/proxy"
	"yokestall/internal/files"
	"yokestall/internal/stress/callers"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// rig is a processor before servers.
type rig struct {
	t       testing.TB
	program *config.Program
	app     *app.App
	server  *extproc.Server
	conn    *grpc.ClientConn
	stop    context.CancelFunc
	ended   chan error
}

// start runs a processor with changes to the rig's program, old and new in turn, before servers.
func start(t testing.TB, addrs []string, changes ...string) *rig {
	return startWith(t, nil, insecure.NewCredentials(), addrs, changes...)
}

func startWith(t testing.TB, keys *tlskeys.Store, creds credentials.TransportCredentials, addrs []string, changes ...string) *rig {
	t.Helper()
	p, err := config.ParseProgram("test.toml", []byte(strings.NewReplacer(changes...).Replace(callers.Program)))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, program: p, ended: make(chan error, 1)}
	if r.app, err = app.New(r.version(addrs), app.Options{Seed: 1, Log: testutil.Log(t), Keys: keys}); err != nil {
		t.Fatal(err)
	}
	l := testutil.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.server = stop, r.app.NewProcessor(p.ExtProc)
	go func() { r.ended <- r.app.ServeProcessor(ctx, l, r.server, p.ExtProc) }()
	if r.conn, err = grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(creds)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		if err := testutil.Wait(t, r.ended, "the processor's end"); err != nil {
			t.Error(err)
		}
		r.conn.Close()
		r.app.Close()
	})
	return r
}

func (r *rig) version(addrs []string) *files.Snapshot {
	c := &cluster.Cluster{Name: "rooms", ShrinkTo: -1, Empty: len(addrs) == 0}
	for i, a := range addrs {
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{ID: fmt.Sprint(i), Address: a, Weight: 1})
	}
	return &files.Snapshot{Program: r.program, Version: &cluster.Version{Clusters: map[string]*cluster.Cluster{c.Name: c}}}
}

// open begins an exchange.
func (r *rig) open(ctx context.Context) grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse] {
	r.t.Helper()
	s, err := pb.NewExternalProcessorClient(r.conn).Process(ctx)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// head makes a request's head; fields are names and values in turn.
func head(end bool, path string, fields ...string) *pb.ProcessingRequest {
	m := &corev3.HeaderMap{Headers: []*corev3.HeaderValue{
		{Key: ":method", RawValue: []byte("POST")}, {Key: ":authority", Value: "a"}, {Key: ":path", RawValue: []byte(path)}, {Key: ":scheme", Value: "http"},
	}}
	for i := 0; i+1 < len(fields); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: fields[i], RawValue: []byte(fields[i+1])})
	}
	return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestHeaders{RequestHeaders: &pb.HttpHeaders{Headers: m, EndOfStream: end}}}
}

func answered(code string) *pb.ProcessingRequest {
	return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_ResponseHeaders{ResponseHeaders: &pb.HttpHeaders{
		Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{{Key: ":status", RawValue: []byte(code)}}}, EndOfStream: true,
	}}}
}

// named gives the server in a reply; "": it names none.
func named(r *pb.ProcessingResponse) string {
	h := http.Header{}
	proxy.Mutate(h, r.GetRequestHeaders().GetResponse().GetHeaderMutation())
	return h.Get(extproc.EndpointHeader)
}

func (r *rig) quiet() {
	r.t.Helper()
	testutil.Until(r.t, "all to be over in the books", func() bool { return r.server.Open() == 0 })
}

func boxes(t testing.TB, n int) (list []*appbox.Box, addrs []string) {
	for i := range n {
		b := testutil.Box(t, fmt.Sprintf("box-%d", i))
		list, addrs = append(list, b), append(addrs, b.Addr())
	}
	return list, addrs
}

// Both ways, over every mode in which a body may come, with the caller's own fields kept.
func TestModes(t *testing.T) {
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header()["X-Two"] = []string{"a", "b"}
		w.WriteHeader(201)
		fmt.Fprintf(w, "%s %s %d %s", r.Method, r.URL, len(body), r.Header.Get("X-Own"))
	})
	r := start(t, []string{b.Addr()})
	for _, mode := range []filterv3.ProcessingMode_BodySendMode{
		filterv3.ProcessingMode_NONE, filterv3.ProcessingMode_BUFFERED, filterv3.ProcessingMode_BUFFERED_PARTIAL,
		filterv3.ProcessingMode_STREAMED, filterv3.ProcessingMode_FULL_DUPLEX_STREAMED,
	} {
		p := &proxy.Proxy{Conn: r.conn, Mode: mode}
		defer p.Close()
		for _, n := range []int{0, 10, 200_000} {
			for _, way := range []string{"", "/pick"} {
				a := proxy.Ask{Method: "POST", Path: way + "/x?q=1", Body: bytes.Repeat([]byte("b"), n), Timeout: testutil.Patience, Header: http.Header{"X-Own": {"mine"}}}
				out := p.Do(t.Context(), a)
				if refused := way == "" && n > 0 && (mode == filterv3.ProcessingMode_NONE || mode == filterv3.ProcessingMode_STREAMED); refused {
					if out.Status != 501 {
						t.Errorf("%v%s: a body that can't be had: %+v", mode, way, out)
					}
					continue
				}
				if want := fmt.Sprintf("POST %s/x?q=1 %d mine", way, n); out.Status != 201 || string(out.Body) != want || len(out.Header["X-Two"]) != 2 || out.Immediate != (way == "") {
					t.Errorf("%v%s, %d bytes: %+v, %q", mode, way, n, out, out.Body)
				}
			}
		}
	}
	r.quiet()
}

// Bodies that come in parts while the head waits: messages of gRPC, framed for the server, and a body of
// STREAMED that is not held back; with fields behind it, or an end of its own. In pick each part is passed.
func TestParts(t *testing.T) {
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%q", body)
	})
	r := start(t, []string{b.Addr()})
	part := func(body string, end, none bool) *pb.ProcessingRequest {
		return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestBody{
			RequestBody: &pb.HttpBody{Body: []byte(body), EndOfStream: end, EndOfStreamWithoutMessage: none},
		}}
	}
	trailers := &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestTrailers{RequestTrailers: &pb.HttpTrailers{}}}
	for _, tc := range []struct {
		name   string
		config *pb.ProtocolConfiguration
		parts  []*pb.ProcessingRequest
		want   string
	}{
		{"gRPC", &pb.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_GRPC}, []*pb.ProcessingRequest{part("abc", false, false), part("", false, false), part("", true, true)},
			"\x00\x00\x00\x00\x03abc\x00\x00\x00\x00\x00"},
		{"gRPC, trailers", &pb.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_GRPC}, []*pb.ProcessingRequest{part("abc", false, false), trailers}, "\x00\x00\x00\x00\x03abc"},
		{"streamed", &pb.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_STREAMED, SendBodyWithoutWaitingForHeaderResponse: true},
			[]*pb.ProcessingRequest{part("abc", false, false), part("def", true, false)}, "abcdef"},
		{"duplex, trailers", &pb.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_FULL_DUPLEX_STREAMED},
			[]*pb.ProcessingRequest{part("abc", false, false), part("def", false, false), trailers}, "abcdef"},
		{"buffered, trailers", &pb.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_BUFFERED}, []*pb.ProcessingRequest{part("abc", false, false), trailers}, "abc"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := r.open(t.Context())
			first := head(false, "/x")
			first.ProtocolConfig = tc.config
			s.Send(first)
			for _, m := range tc.parts {
				s.Send(m)
			}
			var last *pb.ProcessingResponse
			for {
				reply, err := s.Recv()
				if err != nil {
					break
				}
				last = reply
			}
			if got := string(last.GetImmediateResponse().GetBody()); got != fmt.Sprintf("%q", tc.want) && string(last.GetStreamedImmediateResponse().GetBodyResponse().GetBody()) != fmt.Sprintf("%q", tc.want) {
				t.Errorf("the server got %s, not %q", got, tc.want)
			}
			s = r.open(t.Context())
			first = head(false, "/pick/x")
			first.ProtocolConfig = tc.config
			s.Send(first)
			if reply, err := s.Recv(); err != nil || named(reply) == "" {
				t.Fatalf("%v, %v", reply, err)
			}
			for _, m := range tc.parts { // each has its reply, of its kind
				s.Send(m)
				reply, err := s.Recv()
				if err != nil || (m.GetRequestBody() != nil) != (reply.GetRequestBody() != nil) || (m.GetRequestTrailers() != nil) != (reply.GetRequestTrailers() != nil) {
					t.Errorf("%v gets %v, %v", m, reply, err)
				}
			}
			s.Send(answered("200"))
			s.Recv()
			s.CloseSend()
		})
	}
	r.quiet()
}

// With mode_override heeded the caller is asked to buffer what it would not have sent; in pick it is
// asked to keep bodies to itself.
func TestModeOverride(t *testing.T) {
	_, addrs := boxes(t, 1)
	r := start(t, addrs, "report =", "mode_override = true\nreport =")
	for _, tc := range []struct {
		path string
		mode filterv3.ProcessingMode_BodySendMode
		want filterv3.ProcessingMode_BodySendMode
	}{{"/x", filterv3.ProcessingMode_NONE, filterv3.ProcessingMode_BUFFERED}, {"/pick/x", filterv3.ProcessingMode_STREAMED, filterv3.ProcessingMode_NONE}} {
		s := r.open(t.Context())
		msg := head(false, tc.path)
		msg.ProtocolConfig = &pb.ProtocolConfiguration{RequestBodyMode: tc.mode}
		s.Send(msg)
		reply, err := s.Recv()
		if err != nil || reply.GetModeOverride() == nil || reply.GetModeOverride().RequestBodyMode != tc.want {
			t.Fatalf("%s: %v, %v", tc.path, reply, err)
		}
		if tc.want == filterv3.ProcessingMode_BUFFERED {
			s.Send(&pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestBody{RequestBody: &pb.HttpBody{Body: []byte("body"), EndOfStream: true}}})
			if reply, err = s.Recv(); err != nil || !strings.Contains(string(reply.GetImmediateResponse().GetBody()), "(4 bytes)") {
				t.Errorf("%v, %v", reply, err)
			}
		} else {
			s.Send(answered("200"))
			s.Recv()
		}
		s.CloseSend()
	}
	r.quiet()
}

// Messages that break the order or can't be read end their stream with a word on why; what goes to no
// server for its content is answered. None of them reaches a server.
func TestMalformed(t *testing.T) {
	b, addrs := boxes(t, 1)
	r := start(t, addrs)
	bare := func(list ...*corev3.HeaderValue) *pb.ProcessingRequest {
		return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestHeaders{RequestHeaders: &pb.HttpHeaders{Headers: &corev3.HeaderMap{Headers: list}, EndOfStream: true}}}
	}
	body := &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestBody{RequestBody: &pb.HttpBody{EndOfStream: true}}}
	observed := answered("200")
	observed.ObservabilityMode = true
	for _, tc := range []struct {
		name string
		send []*pb.ProcessingRequest
		says string // in the error; or
		code int    // of the answer
	}{
		{"response first", []*pb.ProcessingRequest{answered("200")}, "response_headers ahead of request_headers", 0},
		{"nothing in it", []*pb.ProcessingRequest{{}}, "the first one has to be request_headers", 0},
		{"headers twice", []*pb.ProcessingRequest{head(false, "/pick/x"), head(false, "/pick/x")}, "message 2: request_headers twice", 0},
		{"a body after the end", []*pb.ProcessingRequest{head(true, "/pick/x"), body}, "message 2: request_body behind the end", 0},
		{"observability that changes", []*pb.ProcessingRequest{head(true, "/pick/x"), observed}, "observability_mode changes", 0},
		{"no status", []*pb.ProcessingRequest{head(true, "/pick/x"), answered("")}, ":status is missing", 0},
		{"no path", []*pb.ProcessingRequest{bare(&corev3.HeaderValue{Key: ":method", Value: "GET"})}, `:path "" is missing`, 0},
		{"no method", []*pb.ProcessingRequest{bare(&corev3.HeaderValue{Key: ":path", Value: "/"})}, `:method "" is missing`, 0},
		{"a path twice", []*pb.ProcessingRequest{bare(&corev3.HeaderValue{Key: ":path", Value: "/"}, &corev3.HeaderValue{Key: ":path", Value: "/y"})}, "comes twice", 0},
		{"text and bytes", []*pb.ProcessingRequest{bare(&corev3.HeaderValue{Key: "x", Value: "a", RawValue: []byte("b")})}, "both set", 0},
		{"a line's end", []*pb.ProcessingRequest{head(true, "/x", "x", "a\r\ny: b")}, "control characters", 0},
		{"a name with a space", []*pb.ProcessingRequest{head(true, "/x", "x y", "a")}, "malformed", 0},
		{"bytes that are no UTF-8", []*pb.ProcessingRequest{head(true, "/pay/x", "x-request-id", "\xff\xfe")}, "", 400},
		{"1 MB of fields", []*pb.ProcessingRequest{head(true, "/x", "x", strings.Repeat("v", 1_000_000))}, "", 431},
		{"no key", []*pb.ProcessingRequest{head(true, "/push/x")}, "", 400},
		{"a message over the bound", []*pb.ProcessingRequest{head(true, "/x", "x", strings.Repeat("v", 2<<20))}, "larger than max", 0},
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
			if tc.code != 0 && int(last.GetImmediateResponse().GetStatus().GetCode()) != tc.code || tc.says != "" && !strings.Contains(err.Error(), tc.says) {
				t.Errorf("%v, %v", last, err)
			}
		})
	}
	r.quiet()
	if n := b[0].Count(); n != 0 {
		t.Errorf("%d reached a server", n)
	}
}

// A caller that gives up at each point of an exchange leaves nothing open and nothing going out.
func TestCallerLeaves(t *testing.T) {
	for _, tc := range []struct {
		name  string
		path  string
		leave func(s grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse], cancel func())
	}{
		{"before the decision", "/pick/pay/x", func(_ grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse], cancel func()) { cancel() }},
		{"while carried", "/pay/x", func(_ grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse], cancel func()) { cancel() }},
		{"after the decision", "/pick/pay/x", func(s grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse], cancel func()) {
			s.Recv()
			cancel()
		}},
		{"in order, with no word", "/pick/pay/x", func(s grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse], _ func()) {
			s.Recv()
			s.CloseSend()
			s.Recv()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list, addrs := boxes(t, 1)
			list[0].SetDelay(testutil.Patience)
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
			// What may have run stays known: its id gets no second one.
			s = r.open(t.Context())
			s.Send(head(true, tc.path, "x-request-id", "one"))
			reply, err := s.Recv()
			for strings.HasPrefix(tc.name, "before") && strings.Contains(string(reply.GetImmediateResponse().GetBody()), "with this id is open") && t.Context().Err() == nil {
				s = r.open(t.Context()) // the first stream may come to be known after it was left
				s.Send(head(true, tc.path, "x-request-id", "one"))
				reply, err = s.Recv()
			}
			if code := reply.GetImmediateResponse().GetStatus().GetCode(); strings.HasPrefix(tc.name, "before") == (code == 409) {
				t.Errorf("asked again: %v, %v", reply, err)
			}
			s.CloseSend()
			if list[0].Count() > 1 {
				t.Errorf("%d reached the server", list[0].Count())
			}
		})
	}
}

// A caller that never tells: when the request's time is up, what was named may have run, and its id gets no
// second server.
func TestNeverTold(t *testing.T) {
	r := start(t, []string{"127.0.0.1:1"})
	for i := range 50 {
		fields := []string{"x-request-id", fmt.Sprint("n", i), "x-timeout-ms", "30"}
		first := r.open(t.Context())
		first.Send(head(true, "/pick/pay/x", fields...))
		if reply, err := first.Recv(); err != nil || named(reply) == "" {
			continue // a breaker is open by now
		}
		for over := false; !over; {
			again := r.open(t.Context())
			again.Send(head(true, "/pick/pay/x", fields...))
			reply, err := again.Recv()
			if named(reply) != "" || err != nil {
				t.Fatalf("turn %d: %v, %v", i, reply, err)
			}
			over = strings.Contains(string(reply.GetImmediateResponse().GetBody()), "may have run")
			again.CloseSend()
		}
		first.CloseSend()
	}
}

// The deadline is the least of the call's, the route's and the request's own fields; nothing is decided
// past it, and what is open ends there.
func TestDeadline(t *testing.T) {
	r := start(t, nil) // no server: a request is held for as long as it may
	for name, fields := range map[string][]string{
		"x-timeout-ms":  {"x-timeout-ms", "60"},
		"grpc-timeout":  {"grpc-timeout", "60m"},
		"envoy's field": {"x-envoy-expected-rq-timeout-ms", "60"},
		"the call's":    nil,
		"the route's":   {"x-long", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), testutil.Patience)
			if name == "the call's" {
				cancel()
				ctx, cancel = context.WithTimeout(t.Context(), 60*time.Millisecond)
			}
			defer cancel()
			for _, path := range []string{"/x", "/pick/x"} {
				s := r.open(ctx)
				s.Send(head(true, path, fields...))
				reply, err := s.Recv()
				if code := reply.GetImmediateResponse().GetStatus().GetCode(); named(reply) != "" || err == nil && code != 502 && code != 503 {
					t.Errorf("%v, %v", reply, err)
				}
			}
		})
	}
}

// A body that never comes: its request has its final answer when its time is up, not an error.
func TestBodyNeverComes(t *testing.T) {
	b, addrs := boxes(t, 1)
	r := start(t, addrs)
	s := r.open(t.Context())
	s.Send(head(false, "/pay/x", "x-timeout-ms", "60"))
	if reply, err := s.Recv(); err != nil || reply.GetRequestHeaders() == nil {
		t.Fatalf("%v, %v", reply, err)
	}
	if reply, err := s.Recv(); err != nil || reply.GetImmediateResponse().GetStatus().GetCode() != 503 {
		t.Errorf("%v, %v", reply, err)
	}
	r.quiet()
	if b[0].Count() != 0 {
		t.Error("it reached a server")
	}
}

// Asked twice about the same request: what the second one gets, by way, class, identity and by what
// became of the first. No server sees the effect twice.
func TestAskedTwice(t *testing.T) {
	const same, other = "same id", "same key, another id"
	for _, tc := range []struct {
		path, as, when string
		code           int // of the second; 0: it is decided on anew
	}{
		{"/push/x", same, "open", 200}, {"/push/x", other, "open", 200}, // joins
		{"/push/x", same, "answered", 200}, {"/push/x", other, "answered", 200}, // the first one's answer
		{"/push/x", other, "another request", 422},
		{"/push/x", other, "failed", 0}, {"/push/x", other, "refused", 0},
		{"/pay/x", same, "open", 409}, {"/pay/x", same, "answered", 200}, {"/pay/x", same, "failed", 409}, {"/pay/x", same, "refused", 0},
		{"/pick/push/x", same, "open", 409}, {"/pick/push/x", other, "open", 409}, {"/pick/push/x", other, "answered", 409},
		{"/pick/push/x", other, "failed", 409}, {"/pick/push/x", other, "refused", 0},
		{"/pick/pay/x", same, "open", 409}, {"/pick/pay/x", same, "answered", 409}, {"/pick/pay/x", same, "failed", 409}, {"/pick/pay/x", same, "refused", 0},
		{"/pick/x", same, "open", 409}, {"/pick/x", same, "answered", 0},
	} {
		t.Run(strings.Join([]string{tc.path, tc.as, tc.when}, ", "), func(t *testing.T) {
			t.Parallel()
			hold := make(chan struct{})
			let := sync.OnceFunc(func() { close(hold) })
			b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
				<-hold
				if tc.when == "failed" {
					panic(http.ErrAbortHandler)
				}
				io.WriteString(w, "done "+r.Header.Get("X-Request-Id"))
			})
			t.Cleanup(let)
			addrs := []string{b.Addr()}
			if tc.when == "refused" {
				addrs = []string{testutil.RefusingAddr(t)}
			}
			r := start(t, addrs)
			p := &proxy.Proxy{Conn: r.conn, Mode: filterv3.ProcessingMode_BUFFERED}
			defer p.Close()
			a := proxy.Ask{Method: "POST", Path: tc.path, Body: []byte("b"), Timeout: 3 * time.Second, Header: http.Header{"X-Request-Id": {"one"}}}
			if strings.Contains(tc.path, "push") {
				a.Header.Set("Idempotency-Key", "k")
			}
			first := make(chan proxy.Result, 1)
			go func() { first <- p.Do(t.Context(), a) }()
			if tc.when != "refused" {
				testutil.Wait(t, b.Got, "the first at its server")
			}
			if tc.when != "open" {
				let()
				one := testutil.Wait(t, first, "the first's answer")
				if want := map[string]int{"refused": 503, "failed": 502}[tc.when]; want != 0 && one.Status != want && one.Status != 503 || one.Status == 0 {
					t.Fatalf("the first: %+v", one)
				}
				testutil.Until(t, "the first's end in the books", func() bool { return r.server.Open() == 0 })
			}
			a.Header = a.Header.Clone()
			if tc.as == other {
				a.Header.Set("X-Request-Id", "two")
			}
			if tc.when == "another request" {
				a.Path += "other"
			}
			second := make(chan proxy.Result, 1)
			go func() { second <- p.Do(t.Context(), a) }()
			if tc.when == "open" && tc.code == 200 { // it waits for the first
				testutil.Until(t, "the second to join", func() bool { return r.server.Stats.Repeats.Load() == 1 })
			}
			if tc.when == "open" && tc.code != 200 { // it does not wait
				two := testutil.Wait(t, second, "the second's answer")
				second <- two
			}
			let()
			two := testutil.Wait(t, second, "the second's answer")
			switch {
			case tc.code == 0 && (two.Status == 409 || two.Status == 422), tc.code != 0 && two.Status != tc.code:
				t.Errorf("the second: %+v %q", two, two.Body)
			case tc.code == 200 && (string(two.Body) != "done one" || two.Header.Get("Idempotent-Replayed") != "true"):
				t.Errorf("the second: %+v %q", two, two.Body)
			}
			if n := len(b.Got); tc.code != 0 && n > 0 {
				t.Errorf("%d more reached the server", n)
			}
			if tc.when == "open" {
				if one := testutil.Wait(t, first, "the first's answer"); one.Status != 200 {
					t.Errorf("the first: %+v", one)
				}
			}
		})
	}
}

// A caller's own retry asks again, and is named another server where the class allows it; an unsafe
// request that may have run is not.
func TestCallerRetries(t *testing.T) {
	refused, err := structpb.NewStruct(map[string]any{"response.code_details": "upstream_reset_before_response_started{connection_failure}"})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		path, code string
		connected  bool
		again      bool
	}{
		{"/pick/x", "500", true, true}, {"/pick/push/x", "500", true, true},
		{"/pick/pay/x", "500", true, false}, {"/pick/pay/x", "503", false, true}, {"/pick/pay/x", "", true, false},
	} {
		t.Run(tc.path+tc.code, func(t *testing.T) {
			first, second := "127.0.0.1:1", "127.0.0.1:2" // nobody connects to them
			r := start(t, []string{first}, `report = "200ms"`, `report = "30s"`)
			ask := func(count string) (grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse], *pb.ProcessingResponse) {
				s := r.open(t.Context())
				s.Send(head(true, tc.path, "x-request-id", "one", "idempotency-key", "k", "x-envoy-attempt-count", count))
				reply, err := s.Recv()
				if err != nil {
					t.Fatal(err)
				}
				return s, reply
			}
			s, reply := ask("1")
			if named(reply) != first {
				t.Fatalf("%v", reply)
			}
			if err := r.app.Apply(r.version([]string{first, second})); err != nil {
				t.Fatal(err)
			}
			msg := answered(tc.code)
			if !tc.connected {
				msg.Attributes = map[string]*structpb.Struct{"envoy.filters.http.ext_proc": refused}
			}
			if tc.code != "" {
				s.Send(msg)
				if _, err := s.Recv(); err != nil {
					t.Fatal(err)
				}
			}
			s.CloseSend()
			s, reply = ask("2")
			if got := named(reply); tc.again != (got == second) || !tc.again && reply.GetImmediateResponse() == nil {
				t.Errorf("the retry gets %q, %v", got, reply.GetImmediateResponse())
			}
			if tc.again {
				s.Send(answered("200"))
				s.Recv()
			}
			s.CloseSend()
			r.quiet()
		})
	}
}

// A server that was chosen for a retry and is gone before the caller comes for it is not named, however
// short ago it went: the caller's send is still to come.
func TestGoneBeforeItIsNamed(t *testing.T) {
	first, second, third := "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	r := start(t, []string{first}, `report = "200ms"`, `report = "30s"`)
	for i := range 20 {
		if err := r.app.Apply(r.version([]string{first})); err != nil {
			t.Fatal(err)
		}
		ask := func(count string) (grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse], string) {
			s := r.open(t.Context())
			s.Send(head(true, "/pick/x", "x-request-id", fmt.Sprint("r", i), "x-envoy-attempt-count", count))
			reply, err := s.Recv()
			if err != nil {
				t.Fatal(err)
			}
			return s, named(reply)
		}
		s, got := ask("1")
		if got != first {
			continue // a breaker is open: it is refused
		}
		if err := r.app.Apply(r.version([]string{first, second})); err != nil {
			t.Fatal(err)
		}
		s.Send(answered("500"))
		s.Recv()
		s.CloseSend()
		s.Recv() // the second is chosen by now, or will be at once
		if err := r.app.Apply(r.version([]string{first, third})); err != nil {
			t.Fatal(err)
		}
		s, got = ask("2")
		if got == second {
			t.Errorf("turn %d: a server that was gone is named", i)
		}
		s.Send(answered("200"))
		s.Recv()
		s.CloseSend()
	}
}

// A server that drains between the decision and the caller's taking of it is not named any more: the
// request gets another one. A caller that names a server of its own is counted, and the one that was
// named is not blamed.
func TestDrainBeforeTheSend(t *testing.T) {
	list, addrs := boxes(t, 2)
	r := start(t, addrs)
	p := &proxy.Proxy{Conn: r.conn, Wrong: testutil.Box(t, "wrong").Addr()}
	defer p.Close()
	for i := range 30 {
		out := p.Do(t.Context(), proxy.Ask{Method: "GET", Path: "/pick/x", Timeout: 5 * time.Second})
		if out.Status != 200 {
			t.Fatalf("%+v", out)
		}
		if i == 10 {
			if err := r.app.Apply(r.version(addrs[1:])); err != nil { // the first is gone
				t.Fatal(err)
			}
		}
		if i > 10 && out.Servers[0] == addrs[0] {
			t.Errorf("named %s after its end was told", out.Servers[0])
		}
	}
	before := list[1].Count()
	out := p.Do(t.Context(), proxy.Ask{Method: "GET", Path: "/pick/x", Timeout: 5 * time.Second, Fault: proxy.WrongServer})
	if n := r.server.Stats.Strays.Load(); n != 1 || out.Status != 200 || list[1].Count() != before {
		t.Errorf("%d strays, %+v", n, out)
	}
	if out := p.Do(t.Context(), proxy.Ask{Method: "GET", Path: "/pick/x", Timeout: 5 * time.Second}); out.Status != 200 {
		t.Errorf("the server that was named is blamed: %+v", out)
	}
	r.quiet()
}

// Bounds: streams in all, streams that say nothing, and one that reads nothing beside others.
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
	var silent []grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse]
	for range 10 {
		silent = append(silent, r.open(t.Context()))
	}
	testutil.Until(t, "the streams to be there", func() bool { return r.server.Open() == 10 })
	if _, err := r.open(t.Context()).Recv(); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("one over the bound: %v", err)
	}
	for _, s := range silent {
		if _, err := s.Recv(); status.Code(err) != codes.DeadlineExceeded {
			t.Errorf("one that says nothing: %v", err)
		}
	}
	r.quiet()
	// Bodies that are held: the second of two large ones finds no room, and room comes back.
	bodies := &proxy.Proxy{Conn: r.conn, Mode: filterv3.ProcessingMode_BUFFERED}
	defer bodies.Close()
	large := proxy.Ask{Method: "POST", Path: "/held", Body: make([]byte, 700_000), Timeout: testutil.Patience}
	got := make(chan proxy.Result, 1)
	go func() { got <- bodies.Do(t.Context(), large) }()
	testutil.Wait(t, b.Got, "the first body at its server")
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
	testutil.Wait(t, b.Got, "it")
	ctx, cancel := context.WithCancel(t.Context())
	slow := r.open(ctx)
	slow.Send(head(true, "/large"))
	testutil.Wait(t, b.Got, "the large answer to be asked for")
	p := &proxy.Proxy{Conn: r.conn}
	defer p.Close()
	for range 20 {
		if out := p.Do(t.Context(), proxy.Ask{Method: "GET", Path: "/x", Timeout: testutil.Patience}); out.Status != 200 {
			t.Errorf("beside a slow reader: %+v", out)
		}
	}
	cancel()
	r.quiet()
}

// Answers that are long: passed on while they come where the caller takes that, and broken ones
// visibly so; refused with 502 where they can't be given whole.
func TestLongAnswers(t *testing.T) {
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Write(bytes.Repeat([]byte("x"), 3_000_000))
		if r.URL.Path == "/broken" {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	r := start(t, []string{b.Addr()})
	for _, tc := range []struct {
		path   string
		mode   filterv3.ProcessingMode_BodySendMode
		status int
		broken bool
	}{
		{"/x", filterv3.ProcessingMode_NONE, 200, false}, {"/x", filterv3.ProcessingMode_FULL_DUPLEX_STREAMED, 200, false},
		{"/broken", filterv3.ProcessingMode_NONE, 200, true}, {"/x", filterv3.ProcessingMode_BUFFERED, 502, false},
	} {
		p := &proxy.Proxy{Conn: r.conn, Mode: tc.mode}
		out := p.Do(t.Context(), proxy.Ask{Method: "GET", Path: tc.path, Timeout: testutil.Patience})
		p.Close()
		if out.Status != tc.status || out.Broken != tc.broken || !tc.broken && tc.status == 200 && len(out.Body) != 3_000_000 {
			t.Errorf("%+v: status %d, broken %v, %d bytes, %v", tc, out.Status, out.Broken, len(out.Body), out.Err)
		}
	}
}

// The end with exchanges open: health says so, callers are told to move, what is open is finished.
// Nothing is asked of an observer.
func TestEndWithStreamsOpen(t *testing.T) {
	hold := make(chan struct{})
	let := sync.OnceFunc(func() { close(hold) })
	b := testutil.NewBackend(t, func(http.ResponseWriter, *http.Request) { <-hold })
	t.Cleanup(let)
	r := start(t, []string{b.Addr()})
	watched := r.open(t.Context())
	m := head(true, "/pay/x")
	m.ObservabilityMode = true
	watched.Send(m)
	watched.CloseSend()
	if reply, err := watched.Recv(); err != io.EOF {
		t.Errorf("an observer gets %v, %v", reply, err)
	}
	services, err := reflectionpb.NewServerReflectionClient(r.conn).ServerReflectionInfo(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	services.Send(&reflectionpb.ServerReflectionRequest{MessageRequest: &reflectionpb.ServerReflectionRequest_ListServices{}})
	if reply, err := services.Recv(); err != nil || !strings.Contains(reply.String(), "envoy.service.ext_proc.v3.ExternalProcessor") {
		t.Errorf("reflection: %v, %v", reply, err)
	}
	services.CloseSend()
	health, err := healthpb.NewHealthClient(r.conn).Watch(t.Context(), &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if h, err := health.Recv(); err != nil || h.Status != healthpb.HealthCheckResponse_SERVING {
		t.Fatalf("%v, %v", h, err)
	}
	p := &proxy.Proxy{Conn: r.conn}
	defer p.Close()
	got := make(chan proxy.Result, 2)
	for _, path := range []string{"/pay/x", "/pick/pay/x"} {
		go func() { got <- p.Do(t.Context(), proxy.Ask{Method: "GET", Path: path, Timeout: testutil.Patience}) }()
		if path == "/pay/x" {
			testutil.Wait(t, b.Got, "the request at its server")
		}
	}
	testutil.Until(t, "both to be open", func() bool { return r.server.Stats.Carried.Load()+r.server.Stats.Picked.Load() == 2 })
	if err := r.app.Apply(r.version([]string{b.Addr()})); err != nil { // a new configuration too
		t.Fatal(err)
	}
	r.stop()
	if h, err := health.Recv(); err == nil && h.Status != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("%v", h)
	}
	let()
	for range 2 {
		if out := testutil.Wait(t, got, "an open one's answer"); out.Status != 200 {
			t.Errorf("%+v", out)
		}
	}
}

// Mutual TLS with keys from files.
func TestTLS(t *testing.T) {
	authority, err := keymaker.New("test")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := authority.Write(folder, "front.test", "front.test"); err != nil {
		t.Fatal(err)
	}
	keys, err := tlskeys.Open(folder, "", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	_, addrs := boxes(t, 1)
	change := []string{"[extproc]", "[keys]\nfolder = \"keys\"\n[extproc]\ntls = true\nclient_roots = \"ca\"\nclient_required = true"}
	for _, shows := range []bool{true, false} {
		set := keys.Client(tlskeys.Servers{Name: "front.test", Roots: "ca"})
		if shows {
			set = keys.Client(tlskeys.Servers{Name: "front.test", Roots: "ca", Certificate: "front.test"})
		}
		r := startWith(t, keys, credentials.NewTLS(set), addrs, change...)
		p := &proxy.Proxy{Conn: r.conn}
		out := p.Do(t.Context(), proxy.Ask{Method: "GET", Path: "/x", Timeout: testutil.Patience})
		p.Close()
		if shows != (out.Status == 200) {
			t.Errorf("a certificate shown %v: %+v", shows, out)
		}
	}
}
