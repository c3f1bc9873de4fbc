package extproc

import (
	"encoding/binary"
	"regexp"
	"strings"
	"testing"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// letters of messages: H, B, T of requests, h, b, t of responses; E, e, X, x: heads and bodies with
// end_of_stream.
func message(letter byte) *pb.ProcessingRequest {
	ends := letter == 'E' || letter == 'e' || letter == 'X' || letter == 'x'
	r := &pb.ProcessingRequest{}
	switch letter {
	case 'H', 'E':
		r.Request = &pb.ProcessingRequest_RequestHeaders{RequestHeaders: &pb.HttpHeaders{EndOfStream: ends}}
	case 'B', 'X':
		r.Request = &pb.ProcessingRequest_RequestBody{RequestBody: &pb.HttpBody{Body: []byte("b"), EndOfStream: ends}}
	case 'T':
		r.Request = &pb.ProcessingRequest_RequestTrailers{RequestTrailers: &pb.HttpTrailers{}}
	case 'h', 'e':
		r.Request = &pb.ProcessingRequest_ResponseHeaders{ResponseHeaders: &pb.HttpHeaders{EndOfStream: ends}}
	case 'b', 'x':
		r.Request = &pb.ProcessingRequest_ResponseBody{ResponseBody: &pb.HttpBody{Body: []byte("b"), EndOfStream: ends}}
	case 't':
		r.Request = &pb.ProcessingRequest_ResponseTrailers{ResponseTrailers: &pb.HttpTrailers{}}
	}
	return r
}

var (
	requests  = regexp.MustCompile(`^(E|HB*[XT]?)$`)
	responses = regexp.MustCompile(`^(h?b*[xt]?|e)$`)
	lower     = regexp.MustCompile(`[a-z]`)
	upper     = regexp.MustCompile(`[A-Z]`)
)

// TestOrder compares StreamState with the protocol's order as two expressions, on drawn sequences;
// what it lets pass gets the reply of its kind.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := filterv3.ProcessingMode_BodySendMode(rapid.IntRange(0, 5).Draw(t, "mode"))
		m, sent := NewStreamState(), ""
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			letter := rapid.SampledFrom([]byte("HHEBBXThebxt")).Draw(t, "letter")
			msg := message(letter)
			if sent == "" {
				msg.ProtocolConfig = &pb.ProtocolConfiguration{RequestBodyMode: mode, ResponseBodyMode: mode}
			}
			kind, end, err := m.Step(msg)
			sent += string(letter)
			allowed := requests.MatchString(lower.ReplaceAllString(sent, "")) &&
				responses.MatchString(upper.ReplaceAllString(sent, "")) &&
				(sent[0] == 'H' || sent[0] == 'E')
			if (err == nil) != allowed {
				t.Fatalf("%s: %v, allowed %v", sent, err, allowed)
			}
			if err != nil {
				return
			}
			if want := strings.ContainsRune("EeXxTt", rune(letter)); end != want {
				t.Fatalf("%s: end %v", sent, end)
			}
			reply := m.ContinueReply(msg, kind)
			body := reply.GetRequestBody().GetResponse()
			if kind == ResponseBody {
				body = reply.GetResponseBody().GetResponse()
			}
			duplex := mode == filterv3.ProcessingMode_FULL_DUPLEX_STREAMED || mode == filterv3.ProcessingMode_GRPC
			isBody := kind == RequestBody || kind == ResponseBody
			if isBody && duplex != (body.GetBodyMutation().GetStreamedResponse() != nil) {
				t.Fatalf("%s: a body in mode %v gets %v", sent, mode, reply)
			}
			if got := [...]bool{false,
				reply.GetRequestHeaders() != nil, reply.GetRequestBody() != nil, reply.GetRequestTrailers() != nil,
				reply.GetResponseHeaders() != nil, reply.GetResponseBody() != nil, reply.GetResponseTrailers() != nil}; !got[kind] {
				t.Fatalf("%v gets %v", kind, reply)
			}
		}
	})
}

// FuzzMachine: whatever messages come, each as its length and its bytes, StreamState and the parser of
// headers give a verdict, and what they let pass has names and values that may go on.
func FuzzMachine(f *testing.F) {
	add := func(letters string) {
		var all []byte
		for i := range len(letters) {
			b, err := proto.Marshal(message(letters[i]))
			if err != nil {
				f.Fatal(err)
			}
			all = append(binary.BigEndian.AppendUint16(all, uint16(len(b))), b...)
		}
		f.Add(all)
	}
	add("HBXhbt")
	add("Ee")
	add("hH")
	f.Fuzz(func(t *testing.T, all []byte) {
		m := NewStreamState()
		for len(all) >= 2 {
			n := min(int(binary.BigEndian.Uint16(all)), len(all)-2)
			msg := &pb.ProcessingRequest{}
			if proto.Unmarshal(all[2:2+n], msg) != nil {
				return
			}
			all = all[2+n:]
			kind, _, err := m.Step(msg)
			if err != nil {
				return
			}
			if m.ObserveOnly != (m.ContinueReply(msg, kind) == nil) && kind != NoPhase {
				t.Fatalf("%v observed %v", kind, m.ObserveOnly)
			}
			h, err := parseHeaders(msg.GetRequestHeaders().GetHeaders(), 1<<16)
			if err != nil {
				continue
			}
			if r, err := h.newRequest(); err == nil && (r.Method == "" || r.RequestURI[0] != '/' || r.URL == nil) {
				t.Fatalf("%+v", r)
			}
		}
	})
}
