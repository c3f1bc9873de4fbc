package h2client

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/engine"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// newScriptedEndpoint starts an endpoint that allows streams concurrent streams on a connection. It calls onRequest for each
// request, but not before the client has acknowledged the settings. conns returns the number of connections so far.
func newScriptedEndpoint(t testing.TB, streams uint32, onRequest func(f *http2.Framer, nc net.Conn, stream uint32)) (addr string, conns func() int) {
	count := make(chan int, 100)
	addr = testutil.Accept(t, func(nc net.Conn) {
		count <- 1
		io.ReadFull(nc, make([]byte, len(http2.ClientPreface)))
		f := http2.NewFramer(nc, nc)
		f.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: streams})
		settled, early := false, []uint32(nil) // whether the client has acknowledged the settings, and the streams before that
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				return
			}
			switch frame := frame.(type) {
			case *http2.SettingsFrame:
				if !frame.IsAck() {
					f.WriteSettingsAck()
					continue
				}
				settled = true
				for _, id := range early {
					onRequest(f, nc, id)
				}
			case *http2.HeadersFrame:
				if !settled {
					early = append(early, frame.StreamID)
					continue
				}
				onRequest(f, nc, frame.StreamID)
			}
		}
	})
	return addr, func() int { return len(count) }
}

// The status of an attempt whose stream ends without an answer says whether the request may have run. A request that
// certainly has not may be sent again whatever its class (RFC 9113, 6.8 and 8.7).
func TestFailureStatus(t *testing.T) {
	for _, tc := range []struct {
		name      string
		onRequest func(f *http2.Framer, nc net.Conn, stream uint32)
		want      policy.Status
	}{
		{"refused", func(f *http2.Framer, _ net.Conn, id uint32) { f.WriteRSTStream(id, http2.ErrCodeRefusedStream) }, policy.Rejected},
		{"reset otherwise", func(f *http2.Framer, _ net.Conn, id uint32) { f.WriteRSTStream(id, http2.ErrCodeInternal) }, policy.Reset},
		{"cancelled by the server", func(f *http2.Framer, _ net.Conn, id uint32) { f.WriteRSTStream(id, http2.ErrCodeCancel) }, policy.Reset},
		{"beyond a GOAWAY", func(f *http2.Framer, _ net.Conn, _ uint32) { f.WriteGoAway(0, http2.ErrCodeNo, nil) }, policy.NeverSent},
		{"within a GOAWAY, then closed", func(f *http2.Framer, nc net.Conn, id uint32) { f.WriteGoAway(id, http2.ErrCodeNo, nil); nc.Close() }, policy.Reset},
		{"closed", func(_ *http2.Framer, nc net.Conn, _ uint32) { nc.Close() }, policy.Reset},
		{"a malformed frame", func(_ *http2.Framer, nc net.Conn, _ uint32) { nc.Write([]byte{0, 0, 1, 0, 0, 0, 0, 0, 0, 1}) }, policy.Reset},
	} {
		addr, _ := newScriptedEndpoint(t, 1, tc.onRequest)
		pool := New(h1client.Options{EndpointIdleTimeout: time.Minute, ConnectTimeout: testutil.WaitTimeout, MaxConnections: 10})
		pool.UpdateEndpoints(true, []h1client.Endpoint{{ID: 1, Address: addr}})
		q := &h1client.Request{Method: "POST", Target: "/x", Host: "a", Header: http.Header{}, Body: []byte("b")}
		if res := pool.Exchange(engine.NewCall(t.Context()), 1, q, testutil.WaitTimeout); res.Status != tc.want {
			t.Errorf("%s: status %v, want %v", tc.name, res.Status, tc.want)
		}
		pool.UpdateEndpoints(true, nil)
	}
}

// Guards against answers that reach the clients of other requests, as over HTTP/1.1 (docs/incidents/0001): a second
// copy of an answer carries the id of its own stream, and is not the answer to a request that is open when the copy
// arrives.
func TestLateDuplicateAnswers(t *testing.T) {
	answer := func(f *http2.Framer, stream uint32) {
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: rawpeer.Fields(":status", "200"), EndHeaders: true})
		f.WriteData(stream, true, fmt.Appendf(nil, "stream %d", stream))
	}
	first := uint32(0)
	addr, conns := newScriptedEndpoint(t, 1, func(f *http2.Framer, _ net.Conn, stream uint32) {
		for duplicate := first; duplicate > 0 && duplicate < stream; duplicate += 2 {
			answer(f, duplicate)
		}
		if first == 0 {
			first = stream
		}
		answer(f, stream)
	})
	pool := New(h1client.Options{EndpointIdleTimeout: time.Minute, ConnectTimeout: testutil.WaitTimeout, MaxConnections: 10})
	pool.UpdateEndpoints(true, []h1client.Endpoint{{ID: 1, Address: addr}})
	q := &h1client.Request{Method: "GET", Target: "/x", Host: "a", Header: http.Header{}}
	for n := range 10 {
		res := pool.Exchange(engine.NewCall(t.Context()), 1, q, testutil.WaitTimeout)
		want := fmt.Sprintf("stream %d", 1+2*n)
		if a, ok := res.Answer.(*h1client.Answer); !ok || string(a.Body) != want {
			t.Errorf("request %d: result %+v, want the body %q", n, res, want)
		}
	}
	if conns() != 1 {
		t.Errorf("got %d connections, want 1, so that the copies arrive at open requests", conns())
	}
	pool.UpdateEndpoints(true, nil)
}

// An endpoint that allows one stream on a connection gets at most maxConnsPerEndpoint connections. An attempt that finds no
// free stream is rejected without being sent, and a stream that ends becomes free for another attempt.
func TestStreamLimit(t *testing.T) {
	held := make(chan struct{}, 10)
	addr, conns := newScriptedEndpoint(t, 1, func(*http2.Framer, net.Conn, uint32) { held <- struct{}{} })
	pool := New(h1client.Options{EndpointIdleTimeout: time.Minute, ConnectTimeout: testutil.WaitTimeout, MaxConnections: 100})
	pool.UpdateEndpoints(true, []h1client.Endpoint{{ID: 1, Address: addr}})
	q := &h1client.Request{Method: "GET", Target: "/x", Host: "a", Header: http.Header{}}
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan policy.Status, 10)
	for range maxConnsPerEndpoint {
		go func() { ended <- pool.Exchange(engine.NewCall(ctx), 1, q, testutil.WaitTimeout).Status }()
		testutil.Wait(t, held, "a stream to be open")
	}
	if res := pool.Exchange(engine.NewCall(t.Context()), 1, q, testutil.WaitTimeout); res.Status != policy.Rejected || conns() != maxConnsPerEndpoint {
		t.Errorf("without a free stream: status %v with %d connections, want rejected with maxConnsPerEndpoint connections", res.Status, conns())
	}
	leave()
	for range maxConnsPerEndpoint {
		if s := testutil.Wait(t, ended, "the end of the cancelled attempts"); s != policy.Cancelled {
			t.Errorf("status of a cancelled attempt is %v, want cancelled", s)
		}
	}
	ctx, leave = context.WithCancel(t.Context())
	go func() { ended <- pool.Exchange(engine.NewCall(ctx), 1, q, testutil.WaitTimeout).Status }()
	testutil.Wait(t, held, "a stream to be open after the cancelled ones")
	leave()
	testutil.Wait(t, ended, "the end of the attempt")
	pool.UpdateEndpoints(true, nil)
	testutil.Until(t, "all connections to be closed", func() bool { pool.mu.Lock(); defer pool.mu.Unlock(); return pool.connections == 0 })
}

// An attempt that gets a stream but may no longer be sent, as after a final answer, returns the stream. If it did not, later
// attempts would need another connection.
func TestUnsentAttemptReleasesPlace(t *testing.T) {
	held := make(chan struct{}, 10)
	addr, conns := newScriptedEndpoint(t, 2, func(*http2.Framer, net.Conn, uint32) { held <- struct{}{} })
	pool := New(h1client.Options{EndpointIdleTimeout: time.Minute, ConnectTimeout: testutil.WaitTimeout, MaxConnections: 100})
	pool.UpdateEndpoints(true, []h1client.Endpoint{{ID: 1, Address: addr}})
	q := &h1client.Request{Method: "GET", Target: "/x", Host: "a", Header: http.Header{}}
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan policy.Status, 1)
	go func() { ended <- pool.Exchange(engine.NewCall(ctx), 1, q, testutil.WaitTimeout).Status }()
	testutil.Wait(t, held, "a stream to be open")
	given := engine.NewCall(t.Context())
	given.Revoke()
	for range 5 {
		if res := pool.Exchange(given, 1, q, testutil.WaitTimeout); res.Status != policy.NeverSent || conns() != 1 {
			t.Errorf("call that may not be sent: status %v with %d connections, want never sent with 1", res.Status, conns())
		}
	}
	leave()
	testutil.Wait(t, ended, "the end of the first attempt")
	pool.UpdateEndpoints(true, nil)
}

// grpcOutcome counts some gRPC status codes as failures, and a failure with grpc-retry-pushback-ms as final. The fields may be
// trailers or, in a Trailers-Only response, in the header.
func TestGRPCOutcomes(t *testing.T) {
	for _, tc := range []struct {
		kind, status, pushback string
		want                   policy.Status
		final                  bool
	}{
		{"application/grpc", "0", "", policy.OK, false}, {"application/grpc+proto", "5", "", policy.OK, false},
		{"application/grpc", "14", "", policy.ErrorResponse, false}, {"application/grpc", "8", "", policy.ErrorResponse, false},
		{"application/grpc;x=y", "13", "-1", policy.ErrorResponse, true}, {"application/grpc", "14", "200", policy.ErrorResponse, true},
		{"application/grpc", "0", "200", policy.OK, false}, {"text/plain", "14", "", policy.OK, false},
		{"application/grpc-web", "14", "", policy.OK, false}, {"application/grpc", "", "", policy.OK, false},
	} {
		fields := http.Header{"Grpc-Status": {tc.status}}
		if tc.pushback != "" {
			fields.Set("Grpc-Retry-Pushback-Ms", tc.pushback)
		}
		for _, trailing := range []bool{true, false} {
			a := &h1client.Answer{Header: http.Header{"Content-Type": {tc.kind}}, Trailer: fields}
			if !trailing {
				a.Header, a.Trailer = fields.Clone(), nil
				a.Header.Set("Content-Type", tc.kind)
			}
			if s, final := grpcOutcome(a); s != tc.want || final != tc.final {
				t.Errorf("%+v, as trailers %v: status %v, final %v", tc, trailing, s, final)
			}
		}
	}
}
