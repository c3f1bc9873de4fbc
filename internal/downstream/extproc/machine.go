package extproc

import (
	"fmt"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// Kind is what a message is.
type Kind uint8

// The kinds of a message (service.ext_proc.v3.ProcessingRequest.request).
const (
	Nothing Kind = iota // a window update, or a field of a later version: no reply is due
	RequestHead
	RequestBody
	RequestTrailers
	ResponseHead
	ResponseBody
	ResponseTrailers
)

var kindNames = [...]string{"an empty message", "request_headers", "request_body", "request_trailers", "response_headers", "response_body", "response_trailers"}

func (k Kind) String() string { return kindNames[k] }

// Modes of a body, in short.
const (
	modeNone     = filterv3.ProcessingMode_NONE
	modeStreamed = filterv3.ProcessingMode_STREAMED
	modeBuffered = filterv3.ProcessingMode_BUFFERED
	modePartial  = filterv3.ProcessingMode_BUFFERED_PARTIAL
	modeDuplex   = filterv3.ProcessingMode_FULL_DUPLEX_STREAMED
	modeGRPC     = filterv3.ProcessingMode_GRPC
	modeUnknown  = filterv3.ProcessingMode_BodySendMode(-1) // the caller sent no protocol_config
)

// maxMessages of a stream; one more ends it.
const maxMessages = 1 << 32

// way is one direction of an exchange.
type way struct {
	head, ended bool
}

// Machine holds a stream's messages to the protocol's order. It is pure: it knows no stream and no
// time, and a message that breaks the order is an error that says where.
//
//	request_headers, (request_body)*, [request_trailers], beside it from some point on
//	[response_headers], (response_body)*, [response_trailers]
//
// The first message is request_headers: without it there is nothing to decide on. What has had
// its end_of_stream, or trailers, has no more. Response headers may be left out by the caller's
// settings (response_header_mode), and come at any time, as an answer may begin before its
// request's end.
type Machine struct {
	// Observe is the caller's observability_mode: nothing is replied to.
	Observe bool
	// RequestMode and ResponseMode are the body modes by protocol_config.
	RequestMode, ResponseMode filterv3.ProcessingMode_BodySendMode
	// EarlyBody is send_body_without_waiting_for_header_response.
	EarlyBody bool

	request, response way
	count             uint64
}

// NewMachine starts a stream.
func NewMachine() *Machine { return &Machine{RequestMode: modeUnknown, ResponseMode: modeUnknown} }

// Step takes the next message. end tells that its direction has come to its end with it.
func (m *Machine) Step(msg *pb.ProcessingRequest) (kind Kind, end bool, err error) {
	m.count++
	fail := func(format string, args ...any) (Kind, bool, error) {
		return kind, false, fmt.Errorf("message %d: %s", m.count, fmt.Sprintf(format, args...))
	}
	if m.count > maxMessages {
		return fail("over %d messages", maxMessages)
	}
	w := &m.request
	switch r := msg.GetRequest().(type) {
	case *pb.ProcessingRequest_RequestHeaders:
		kind, end = RequestHead, r.RequestHeaders.GetEndOfStream()
	case *pb.ProcessingRequest_RequestBody:
		kind, end = RequestBody, r.RequestBody.GetEndOfStream()
	case *pb.ProcessingRequest_RequestTrailers:
		kind, end = RequestTrailers, true
	case *pb.ProcessingRequest_ResponseHeaders:
		kind, end, w = ResponseHead, r.ResponseHeaders.GetEndOfStream(), &m.response
	case *pb.ProcessingRequest_ResponseBody:
		kind, end, w = ResponseBody, r.ResponseBody.GetEndOfStream(), &m.response
	case *pb.ProcessingRequest_ResponseTrailers:
		kind, end, w = ResponseTrailers, true, &m.response
	default:
		if msg.GetClientWindowUpdate() == nil && m.count == 1 {
			return fail("the first one has to be request_headers (request_header_mode SEND)")
		}
		return Nothing, false, nil
	}
	switch {
	case m.count == 1 && kind != RequestHead:
		return fail("%v ahead of request_headers (request_header_mode has to be SEND)", kind)
	case m.count > 1 && m.Observe != msg.GetObservabilityMode():
		return fail("observability_mode changes")
	case w.ended:
		return fail("%v behind the end", kind)
	case (kind == RequestHead || kind == ResponseHead) && w.head:
		return fail("%v twice", kind)
	}
	if m.count == 1 {
		m.Observe = msg.GetObservabilityMode()
		if c := msg.GetProtocolConfig(); c != nil {
			m.RequestMode, m.ResponseMode = c.GetRequestBodyMode(), c.GetResponseBodyMode()
			m.EarlyBody = c.GetSendBodyWithoutWaitingForHeaderResponse()
		}
	}
	w.head = true
	w.ended = end
	return kind, end, nil
}

// Done tells that both directions have come to their ends.
func (m *Machine) Done() bool { return m.request.ended && m.response.ended }

// Pass is the reply by which a message goes on as it is; nil: none is due. Where the body's mode is
// one in which the processor sends the body on (FULL_DUPLEX_STREAMED, GRPC), the reply has it.
func (m *Machine) Pass(msg *pb.ProcessingRequest, kind Kind) *pb.ProcessingResponse {
	if m.Observe {
		return nil
	}
	out := &pb.ProcessingResponse{}
	switch kind {
	case RequestHead:
		out.Response = &pb.ProcessingResponse_RequestHeaders{RequestHeaders: &pb.HeadersResponse{Response: &pb.CommonResponse{}}}
	case ResponseHead:
		out.Response = &pb.ProcessingResponse_ResponseHeaders{ResponseHeaders: &pb.HeadersResponse{Response: &pb.CommonResponse{}}}
	case RequestBody:
		out.Response = &pb.ProcessingResponse_RequestBody{RequestBody: passBody(msg.GetRequestBody(), m.RequestMode)}
	case ResponseBody:
		out.Response = &pb.ProcessingResponse_ResponseBody{ResponseBody: passBody(msg.GetResponseBody(), m.ResponseMode)}
	case RequestTrailers:
		out.Response = &pb.ProcessingResponse_RequestTrailers{RequestTrailers: &pb.TrailersResponse{}}
	case ResponseTrailers:
		out.Response = &pb.ProcessingResponse_ResponseTrailers{ResponseTrailers: &pb.TrailersResponse{}}
	default:
		return nil
	}
	return out
}

func passBody(b *pb.HttpBody, mode filterv3.ProcessingMode_BodySendMode) *pb.BodyResponse {
	r := &pb.CommonResponse{}
	if mode == modeDuplex || mode == modeGRPC {
		r.BodyMutation = &pb.BodyMutation{Mutation: &pb.BodyMutation_StreamedResponse{StreamedResponse: &pb.StreamedBodyResponse{
			Body: b.GetBody(), EndOfStream: b.GetEndOfStream(), EndOfStreamWithoutMessage: b.GetEndOfStreamWithoutMessage(),
			GrpcMessageCompressed: b.GetGrpcMessageCompressed(), DrainComplete: b.GetDrainComplete(),
		}}}
	}
	return &pb.BodyResponse{Response: r}
}

// Plan is how a carried request's body comes.
type Plan uint8

// The plans, by the caller's body mode; see docs/extproc.md for why.
const (
	NoBody   Plan = iota // there is none
	OneBody              // the head is passed, the body comes whole in one message and is held until then
	Stream               // the head gets no reply; parts come, and the answer ends them
	Override             // as OneBody, once the caller has been asked to change its mode
	Refused              // the request would go on past us: the caller's settings have to change
)

// Plan tells how the body of the request comes that has just begun. override: the caller heeds
// mode_override.
func (m *Machine) Plan(override bool) Plan {
	switch {
	case m.request.ended:
		return NoBody
	case m.RequestMode == modeBuffered, m.RequestMode == modePartial, m.RequestMode == modeUnknown:
		return OneBody
	case m.RequestMode == modeDuplex, m.RequestMode == modeGRPC, m.RequestMode == modeStreamed && m.EarlyBody:
		return Stream
	case override:
		return Override
	}
	return Refused
}

// Streams tells whether an answer may be passed on while it comes (StreamedImmediateResponse).
func (m *Machine) Streams() bool {
	return m.RequestMode == modeDuplex || m.RequestMode == modeNone && m.request.ended
}
