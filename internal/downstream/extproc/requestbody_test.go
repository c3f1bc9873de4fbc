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

// Forwarding and picking, in every body mode; the caller's own header fields stay.
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
						t.Errorf("%v%s: a body that can't be had: %+v", mode, way, out)
					}
					continue
				}
				want := fmt.Sprintf("POST %s/x?q=1 %d mine", way, n)
				if out.Status != 201 || string(out.Body) != want ||
					len(out.Header["X-Two"]) != 2 || out.ByProcessor != (way == "") {
					t.Errorf("%v%s, %d bytes: %+v, %q", mode, way, n, out, out.Body)
				}
			}
		}
	}
	r.quiet()
}

// bodyCase is a request body that comes in parts.
type bodyCase struct {
	name   string
	config *pb.ProtocolConfiguration
	parts  []*pb.ProcessingRequest
	want   string // at the endpoint, where the processor forwards it
}

// bodyCases are gRPC messages, which get gRPC's prefix for the endpoint, and parts that are STREAMED without waiting
// for the reply to the headers, or come in full duplex; with trailers, or an end of their own.
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

// openBody opens a stream and sends the request headers of a body that follows.
func (r *rig) openBody(path string, config *pb.ProtocolConfiguration) callerStream {
	s := r.open(r.t.Context())
	first := head(false, path)
	first.ProtocolConfig = config
	s.Send(first)
	return s
}

// TestBodyParts checks that the endpoint gets a body that comes in parts.
func TestBodyParts(t *testing.T) {
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%q", body)
	})
	r := start(t, []string{b.Addr()})
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
				t.Errorf("the endpoint got %s, not %q", got, tc.want)
			}
		})
	}
	r.quiet()
}

// TestBodyPartsOfPick checks that with a pick each part is continued by a reply of its kind.
func TestBodyPartsOfPick(t *testing.T) {
	_, addrs := boxes(t, 1)
	r := start(t, addrs)
	for _, tc := range bodyCases() {
		t.Run(tc.name, func(t *testing.T) {
			s := r.openBody("/pick/x", tc.config)
			if reply, err := s.Recv(); err != nil || named(reply) == "" {
				t.Fatalf("%v, %v", reply, err)
			}
			for _, m := range tc.parts {
				s.Send(m)
				reply, err := s.Recv()
				if err != nil || (m.GetRequestBody() != nil) != (reply.GetRequestBody() != nil) ||
					(m.GetRequestTrailers() != nil) != (reply.GetRequestTrailers() != nil) {
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

// Where the caller applies mode_override, it is requested to buffer a body that it would not have sent; with a pick it
// is requested to send no bodies.
func TestModeOverride(t *testing.T) {
	_, addrs := boxes(t, 1)
	r := start(t, addrs, "report =", "mode_override = true\nreport =")
	for _, tc := range []struct {
		path string
		mode filterv3.ProcessingMode_BodySendMode
		want filterv3.ProcessingMode_BodySendMode
	}{
		{"/x", filterv3.ProcessingMode_NONE, filterv3.ProcessingMode_BUFFERED},
		{"/pick/x", filterv3.ProcessingMode_STREAMED, filterv3.ProcessingMode_NONE},
	} {
		s := r.open(t.Context())
		msg := head(false, tc.path)
		msg.ProtocolConfig = &pb.ProtocolConfiguration{RequestBodyMode: tc.mode}
		s.Send(msg)
		reply, err := s.Recv()
		if err != nil || reply.GetModeOverride() == nil || reply.GetModeOverride().RequestBodyMode != tc.want {
			t.Fatalf("%s: %v, %v", tc.path, reply, err)
		}
		if tc.want == filterv3.ProcessingMode_BUFFERED {
			s.Send(bodyPart(&pb.HttpBody{Body: []byte("body"), EndOfStream: true}))
			reply, err = s.Recv()
			if err != nil || !strings.Contains(string(reply.GetImmediateResponse().GetBody()), "(4 bytes)") {
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

// A body that does not come: the request is answered at its deadline, and the stream has no error.
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
