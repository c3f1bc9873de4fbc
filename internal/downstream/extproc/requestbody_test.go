package extproc_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"yokestall/internal/fake/proxy"
	"yokestall/internal/testutil"
)

// TestModes checks forwarding and picking in each body mode, without a body and with bodies of two lengths. Header fields
// of the caller reach the endpoint. Forwarding a body that the caller doesn't send to the processor is answered with 501.
func TestModes(t *testing.T) {
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header()["X-Two"] = []string{"a", "b"}
		w.WriteHeader(201)
		fmt.Fprintf(w, "%s %s %d %s", r.Method, r.URL, len(body), r.Header.Get("X-Own"))
	})
	r := startProcessor(t, []string{b.Addr()})
	for _, mode := range []filterv3.ProcessingMode_BodySendMode{
		filterv3.ProcessingMode_NONE, filterv3.ProcessingMode_BUFFERED, filterv3.ProcessingMode_BUFFERED_PARTIAL,
		filterv3.ProcessingMode_STREAMED, filterv3.ProcessingMode_FULL_DUPLEX_STREAMED,
	} {
		p := &proxy.Proxy{Conn: r.conn, BodyMode: mode}
		defer p.Close()
		for _, n := range []int{0, 10, 200_000} {
			for _, way := range []string{"", "/pick"} {
				a := proxy.Request{
					Method: "POST", Path: way + "/x?q=1", Body: bytes.Repeat([]byte("b"), n),
					Timeout: testutil.WaitTimeout, Header: http.Header{"X-Own": {"mine"}},
				}
				out := p.Do(t.Context(), a)
				bypassing := mode == filterv3.ProcessingMode_NONE || mode == filterv3.ProcessingMode_STREAMED
				if way == "" && n > 0 && bypassing {
					if out.Status != 501 {
						t.Errorf("%v%s: body that bypasses the processor: %+v, want status 501", mode, way, out)
					}
					continue
				}
				want := fmt.Sprintf("POST %s/x?q=1 %d mine", way, n)
				if out.Status != 201 || string(out.Body) != want ||
					len(out.Header["X-Two"]) != 2 || out.ByProcessor != (way == "") {
					t.Errorf("%v%s, %d bytes: %+v with body %q, want status 201, body %q, 2 values of X-Two, ByProcessor %v",
						mode, way, n, out, out.Body, want, way == "")
				}
			}
		}
	}
	r.awaitIdle()
}

// bodyCase is a request body that the caller sends in parts.
type bodyCase struct {
	name   string
	config *pb.ProtocolConfiguration
	parts  []*pb.ProcessingRequest
	want   string // the body that the endpoint gets if the processor forwards the request
}

// bodyCases returns bodies that are sent in parts: gRPC messages, which the endpoint gets with gRPC's prefix, parts in
// the mode STREAMED that don't wait for the reply to the headers, parts in full duplex, and a buffered body. They end
// with trailers or with end_of_stream.
func bodyCases() []bodyCase {
	part := func(body string, end bool) *pb.ProcessingRequest {
		return bodyPart(&pb.HttpBody{Body: []byte(body), EndOfStream: end})
	}
	endWithoutMessage := bodyPart(&pb.HttpBody{EndOfStream: true, EndOfStreamWithoutMessage: true})
	trailers := &pb.ProcessingRequest{
		Request: &pb.ProcessingRequest_RequestTrailers{RequestTrailers: &pb.HttpTrailers{}},
	}
	inMode := func(mode filterv3.ProcessingMode_BodySendMode) *pb.ProtocolConfiguration {
		return &pb.ProtocolConfiguration{RequestBodyMode: mode}
	}
	early := inMode(filterv3.ProcessingMode_STREAMED)
	early.SendBodyWithoutWaitingForHeaderResponse = true
	return []bodyCase{
		{
			name:   "gRPC",
			config: inMode(filterv3.ProcessingMode_GRPC),
			parts:  []*pb.ProcessingRequest{part("abc", false), part("", false), endWithoutMessage},
			want:   "\x00\x00\x00\x00\x03abc\x00\x00\x00\x00\x00",
		},
		{
			name:   "gRPC, trailers",
			config: inMode(filterv3.ProcessingMode_GRPC),
			parts:  []*pb.ProcessingRequest{part("abc", false), trailers},
			want:   "\x00\x00\x00\x00\x03abc",
		},
		{
			name:   "streamed",
			config: early,
			parts:  []*pb.ProcessingRequest{part("abc", false), part("def", true)},
			want:   "abcdef",
		},
		{
			name:   "duplex, trailers",
			config: inMode(filterv3.ProcessingMode_FULL_DUPLEX_STREAMED),
			parts:  []*pb.ProcessingRequest{part("abc", false), part("def", false), trailers},
			want:   "abcdef",
		},
		{
			name:   "buffered, trailers",
			config: inMode(filterv3.ProcessingMode_BUFFERED),
			parts:  []*pb.ProcessingRequest{part("abc", false), trailers},
			want:   "abc",
		},
	}
}

func bodyPart(body *pb.HttpBody) *pb.ProcessingRequest {
	return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestBody{RequestBody: body}}
}

// openBody opens a stream and sends request headers that a body follows.
func (r *rig) openBody(path string, config *pb.ProtocolConfiguration) callerStream {
	s := r.open(r.t.Context())
	first := requestHeaders(false, path)
	first.ProtocolConfig = config
	s.Send(first)
	return s
}

// TestBodyParts checks that the endpoint gets a body that the caller sends in parts.
func TestBodyParts(t *testing.T) {
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%q", body)
	})
	r := startProcessor(t, []string{b.Addr()})
	for _, tc := range bodyCases() {
		t.Run(tc.name, func(t *testing.T) {
			s := r.openBody("/x", tc.config)
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
			want, got := fmt.Sprintf("%q", tc.want), string(last.GetImmediateResponse().GetBody())
			streamed := string(last.GetStreamedImmediateResponse().GetBodyResponse().GetBody())
			if got != want && streamed != want {
				t.Errorf("the endpoint got body %s (in a streamed response: %s), want %q", got, streamed, tc.want)
			}
		})
	}
	r.awaitIdle()
}

// TestBodyPartsOfPick checks that each part of a picked request's body gets a reply of its kind.
func TestBodyPartsOfPick(t *testing.T) {
	_, addrs := startBoxes(t, 1)
	r := startProcessor(t, addrs)
	for _, tc := range bodyCases() {
		t.Run(tc.name, func(t *testing.T) {
			s := r.openBody("/pick/x", tc.config)
			if reply, err := s.Recv(); err != nil || namedEndpoint(reply) == "" {
				t.Fatalf("reply to the request headers: %v, error %v; want an endpoint", reply, err)
			}
			for _, m := range tc.parts {
				s.Send(m)
				reply, err := s.Recv()
				if err != nil || (m.GetRequestBody() != nil) != (reply.GetRequestBody() != nil) ||
					(m.GetRequestTrailers() != nil) != (reply.GetRequestTrailers() != nil) {
					t.Errorf("message %v got the reply %v, error %v; want a reply of the same kind", m, reply, err)
				}
			}
			s.Send(responseHeaders("200"))
			s.Recv()
			s.CloseSend()
		})
	}
	r.awaitIdle()
}

// For a caller that applies mode_override, the reply to the headers sets it: to BUFFERED if the request is forwarded and
// its body would bypass the processor, to NONE if an endpoint is picked.
func TestModeOverride(t *testing.T) {
	_, addrs := startBoxes(t, 1)
	r := startProcessor(t, addrs, "report =", "mode_override = true\nreport =")
	for _, tc := range []struct {
		path string
		mode filterv3.ProcessingMode_BodySendMode
		want filterv3.ProcessingMode_BodySendMode
	}{
		{"/x", filterv3.ProcessingMode_NONE, filterv3.ProcessingMode_BUFFERED},
		{"/pick/x", filterv3.ProcessingMode_STREAMED, filterv3.ProcessingMode_NONE},
	} {
		s := r.open(t.Context())
		msg := requestHeaders(false, tc.path)
		msg.ProtocolConfig = &pb.ProtocolConfiguration{RequestBodyMode: tc.mode}
		s.Send(msg)
		reply, err := s.Recv()
		if err != nil || reply.GetModeOverride() == nil || reply.GetModeOverride().RequestBodyMode != tc.want {
			t.Fatalf("%s: reply to the request headers: %v, error %v; want mode_override %v", tc.path, reply, err, tc.want)
		}
		if tc.want == filterv3.ProcessingMode_BUFFERED {
			s.Send(bodyPart(&pb.HttpBody{Body: []byte("body"), EndOfStream: true}))
			reply, err = s.Recv()
			if err != nil || !strings.Contains(string(reply.GetImmediateResponse().GetBody()), "(4 bytes)") {
				t.Errorf("%s: reply to the body: %v, error %v; want an answer that contains \"(4 bytes)\"", tc.path, reply, err)
			}
		} else {
			s.Send(responseHeaders("200"))
			s.Recv()
		}
		s.CloseSend()
	}
	r.awaitIdle()
}

// If the body never arrives, the request is answered with 503 at its deadline, and the stream ends without an error.
func TestBodyNeverComes(t *testing.T) {
	b, addrs := startBoxes(t, 1)
	r := startProcessor(t, addrs)
	s := r.open(t.Context())
	s.Send(requestHeaders(false, "/pay/x", "x-timeout-ms", "60"))
	if reply, err := s.Recv(); err != nil || reply.GetRequestHeaders() == nil {
		t.Fatalf("reply to the request headers: %v, error %v; want a headers reply", reply, err)
	}
	if reply, err := s.Recv(); err != nil || reply.GetImmediateResponse().GetStatus().GetCode() != 503 {
		t.Errorf("reply at the deadline: %v, error %v; want status 503", reply, err)
	}
	r.awaitIdle()
	if b[0].Count() != 0 {
		t.Error("the request reached an endpoint before its body was complete")
	}
}
