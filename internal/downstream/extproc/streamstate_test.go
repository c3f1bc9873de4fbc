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

// message returns the message that a letter stands for: H headers, B a body and T trailers of a request, E headers and X
// a body of a request with end_of_stream. The lower-case letters stand for the same messages of a response.
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
	requestOrder  = regexp.MustCompile(`^(E|HB*[XT]?)$`)
	responseOrder = regexp.MustCompile(`^(h?b*[xt]?|e)$`)
	lower         = regexp.MustCompile(`[a-z]`)
	upper         = regexp.MustCompile(`[A-Z]`)
)

// TestOrder compares StreamState, on random sequences of messages, with the protocol's order, which is given as one
// regular expression for each direction. Each message that StreamState accepts gets a reply of its kind.
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
			allowed := requestOrder.MatchString(lower.ReplaceAllString(sent, "")) &&
				responseOrder.MatchString(upper.ReplaceAllString(sent, "")) &&
				(sent[0] == 'H' || sent[0] == 'E')
			if (err == nil) != allowed {
				t.Fatalf("sequence %s: Step returned error %v; sequence allowed: %v", sent, err, allowed)
			}
			if err != nil {
				return
			}
			if want := strings.ContainsRune("EeXxTt", rune(letter)); end != want {
				t.Fatalf("sequence %s: Step reports last = %v, want %v", sent, end, want)
			}
			reply := m.ContinueReply(msg, kind)
			body := reply.GetRequestBody().GetResponse()
			if kind == ResponseBody {
				body = reply.GetResponseBody().GetResponse()
			}
			duplex := mode == filterv3.ProcessingMode_FULL_DUPLEX_STREAMED || mode == filterv3.ProcessingMode_GRPC
			isBody := kind == RequestBody || kind == ResponseBody
			if isBody && duplex != (body.GetBodyMutation().GetStreamedResponse() != nil) {
				t.Fatalf("sequence %s: reply to a body in mode %v: %v, with a streamed body wanted: %v", sent, mode, reply, duplex)
			}
			if got := [...]bool{false,
				reply.GetRequestHeaders() != nil, reply.GetRequestBody() != nil, reply.GetRequestTrailers() != nil,
				reply.GetResponseHeaders() != nil, reply.GetResponseBody() != nil, reply.GetResponseTrailers() != nil}; !got[kind] {
				t.Fatalf("sequence %s: reply to %v: %v, want a reply of the same kind", sent, kind, reply)
			}
		}
	})
}

// FuzzMachine passes arbitrary messages to StreamState and to the parser of headers. In the input, each message follows
// its length in two bytes. No message may cause a panic. A message that belongs to a phase gets a reply unless the caller
// only observes. A request that is accepted has a method, a path that begins with "/" and a URL.
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
				t.Fatalf("message of phase %v: ObserveOnly is %v, want a reply if and only if it is false", kind, m.ObserveOnly)
			}
			h, err := parseHeaders(msg.GetRequestHeaders().GetHeaders(), 1<<16)
			if err != nil {
				continue
			}
			if r, err := h.newRequest(); err == nil && (r.Method == "" || r.RequestURI[0] != '/' || r.URL == nil) {
				t.Fatalf("accepted request %+v, want a method, a path that begins with \"/\" and a URL", r)
			}
		}
	})
}
