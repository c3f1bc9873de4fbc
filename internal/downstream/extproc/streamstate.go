package extproc

import (
	"fmt"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// Phase is the phase of the exchange that a message belongs to.
type Phase uint8

// The phases, by ProcessingRequest.request.
const (
	NoPhase Phase = iota // a window update, or a field of a later version: no reply is due
	RequestHeaders
	RequestBody
	RequestTrailers
	ResponseHeaders
	ResponseBody
	ResponseTrailers
)

var phaseNames = [...]string{
	NoPhase:          "an empty message",
	RequestHeaders:   "request_headers",
	RequestBody:      "request_body",
	RequestTrailers:  "request_trailers",
	ResponseHeaders:  "response_headers",
	ResponseBody:     "response_body",
	ResponseTrailers: "response_trailers",
}

// String returns the name of the message's field.
func (p Phase) String() string { return phaseNames[p] }

// Short names of the body modes.
const (
	modeNone     = filterv3.ProcessingMode_NONE
	modeStreamed = filterv3.ProcessingMode_STREAMED
	modeBuffered = filterv3.ProcessingMode_BUFFERED
	modePartial  = filterv3.ProcessingMode_BUFFERED_PARTIAL
	modeDuplex   = filterv3.ProcessingMode_FULL_DUPLEX_STREAMED
	modeGRPC     = filterv3.ProcessingMode_GRPC
	modeUnknown  = filterv3.ProcessingMode_BodySendMode(-1) // the caller sent no protocol_config
)

// maxMessages bounds the messages of a stream; one more ends it.
const maxMessages = 1 << 32

// direction is the state of a stream's requests or responses.
type direction struct {
	started bool // a message has come
	ended   bool // with end_of_stream, or trailers
}

// StreamState checks the order of a stream's messages. It is pure: it knows no stream and no time, and a message that
// breaks the order is an error that says where.
//
//	request_headers, (request_body)*, [request_trailers], beside it from some point on
//	[response_headers], (response_body)*, [response_trailers]
//
// The first message is request_headers: without it there is nothing to decide on. A direction that has had its
// end_of_stream, or trailers, has no more messages. Response headers may be left out by the caller's settings
// (response_header_mode), and come at any time, since a response may begin before its request's end.
type StreamState struct {
	// ObserveOnly is the caller's observability_mode: nothing is replied to.
	ObserveOnly bool
	// RequestMode and ResponseMode are the body modes by protocol_config.
	RequestMode, ResponseMode filterv3.ProcessingMode_BodySendMode
	// EarlyBody is send_body_without_waiting_for_header_response.
	EarlyBody bool

	request, response direction
	messages          uint64
}

// NewStreamState returns the state of a stream without messages.
func NewStreamState() *StreamState {
	return &StreamState{RequestMode: modeUnknown, ResponseMode: modeUnknown}
}

// Step takes the next message. last reports that its direction has ended with it.
func (s *StreamState) Step(msg *pb.ProcessingRequest) (phase Phase, last bool, err error) {
	s.messages++
	if s.messages > maxMessages {
		return NoPhase, false, s.violation("over %d messages", maxMessages)
	}
	phase, last = classify(msg)
	if phase == NoPhase {
		if msg.GetClientWindowUpdate() == nil && s.messages == 1 {
			return NoPhase, false, s.violation("the first one has to be request_headers (request_header_mode SEND)")
		}
		return NoPhase, false, nil
	}
	d := &s.request
	if phase >= ResponseHeaders {
		d = &s.response
	}
	if err := s.checkOrder(msg, phase, d); err != nil {
		return phase, false, err
	}
	if s.messages == 1 {
		s.readProtocolConfig(msg)
	}
	d.started, d.ended = true, last
	return phase, last, nil
}

// classify returns a message's phase, and whether its direction ends with it.
func classify(msg *pb.ProcessingRequest) (phase Phase, last bool) {
	switch r := msg.GetRequest().(type) {
	case *pb.ProcessingRequest_RequestHeaders:
		return RequestHeaders, r.RequestHeaders.GetEndOfStream()
	case *pb.ProcessingRequest_RequestBody:
		return RequestBody, r.RequestBody.GetEndOfStream()
	case *pb.ProcessingRequest_RequestTrailers:
		return RequestTrailers, true
	case *pb.ProcessingRequest_ResponseHeaders:
		return ResponseHeaders, r.ResponseHeaders.GetEndOfStream()
	case *pb.ProcessingRequest_ResponseBody:
		return ResponseBody, r.ResponseBody.GetEndOfStream()
	case *pb.ProcessingRequest_ResponseTrailers:
		return ResponseTrailers, true
	}
	return NoPhase, false
}

// checkOrder returns an error if a message may not come now.
func (s *StreamState) checkOrder(msg *pb.ProcessingRequest, phase Phase, d *direction) error {
	switch {
	case s.messages == 1 && phase != RequestHeaders:
		return s.violation("%v ahead of request_headers (request_header_mode has to be SEND)", phase)
	case s.messages > 1 && s.ObserveOnly != msg.GetObservabilityMode():
		return s.violation("observability_mode changes")
	case d.ended:
		return s.violation("%v behind the end", phase)
	case (phase == RequestHeaders || phase == ResponseHeaders) && d.started:
		return s.violation("%v twice", phase)
	}
	return nil
}

// violation returns an error about the present message.
func (s *StreamState) violation(format string, args ...any) error {
	return fmt.Errorf("message %d: %s", s.messages, fmt.Sprintf(format, args...))
}

// readProtocolConfig sets the modes by the first message.
func (s *StreamState) readProtocolConfig(msg *pb.ProcessingRequest) {
	s.ObserveOnly = msg.GetObservabilityMode()
	if c := msg.GetProtocolConfig(); c != nil {
		s.RequestMode, s.ResponseMode = c.GetRequestBodyMode(), c.GetResponseBodyMode()
		s.EarlyBody = c.GetSendBodyWithoutWaitingForHeaderResponse()
	}
}

// ContinueReply returns the reply by which a message continues unchanged; nil if none is due. In the body modes in
// which the processor returns the body (FULL_DUPLEX_STREAMED, GRPC), the reply contains it.
func (s *StreamState) ContinueReply(msg *pb.ProcessingRequest, phase Phase) *pb.ProcessingResponse {
	if s.ObserveOnly {
		return nil
	}
	out := &pb.ProcessingResponse{}
	switch phase {
	case RequestHeaders:
		out.Response = &pb.ProcessingResponse_RequestHeaders{
			RequestHeaders: &pb.HeadersResponse{Response: &pb.CommonResponse{}},
		}
	case ResponseHeaders:
		out.Response = &pb.ProcessingResponse_ResponseHeaders{
			ResponseHeaders: &pb.HeadersResponse{Response: &pb.CommonResponse{}},
		}
	case RequestBody:
		out.Response = &pb.ProcessingResponse_RequestBody{
			RequestBody: continueBody(msg.GetRequestBody(), s.RequestMode),
		}
	case ResponseBody:
		out.Response = &pb.ProcessingResponse_ResponseBody{
			ResponseBody: continueBody(msg.GetResponseBody(), s.ResponseMode),
		}
	case RequestTrailers:
		out.Response = &pb.ProcessingResponse_RequestTrailers{RequestTrailers: &pb.TrailersResponse{}}
	case ResponseTrailers:
		out.Response = &pb.ProcessingResponse_ResponseTrailers{ResponseTrailers: &pb.TrailersResponse{}}
	default:
		return nil
	}
	return out
}

// continueBody returns the reply by which a body continues unchanged.
func continueBody(b *pb.HttpBody, mode filterv3.ProcessingMode_BodySendMode) *pb.BodyResponse {
	r := &pb.CommonResponse{}
	if mode == modeDuplex || mode == modeGRPC {
		r.BodyMutation = &pb.BodyMutation{Mutation: &pb.BodyMutation_StreamedResponse{
			StreamedResponse: &pb.StreamedBodyResponse{
				Body:                      b.GetBody(),
				EndOfStream:               b.GetEndOfStream(),
				EndOfStreamWithoutMessage: b.GetEndOfStreamWithoutMessage(),
				GrpcMessageCompressed:     b.GetGrpcMessageCompressed(),
				DrainComplete:             b.GetDrainComplete(),
			},
		}}
	}
	return &pb.BodyResponse{Response: r}
}
