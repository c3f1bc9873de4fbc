package extproc

import (
	"fmt"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// Phase is the phase of the exchange to which a message belongs.
type Phase uint8

// The phases, one for each field of ProcessingRequest.request that is replied to.
const (
	NoPhase Phase = iota // a window update, or a field of a later protocol version; gets no reply
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

// String returns the name of the phase's field in ProcessingRequest.
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

// maxMessages is the maximum number of messages on a stream. The next message ends the stream with an error.
const maxMessages = 1 << 32

// direction is the state of one direction of a stream: of its request messages or of its response messages.
type direction struct {
	started bool // a message was received
	ended   bool // the latest message had end_of_stream, or was trailers
}

// StreamState checks the order of a stream's messages. It is pure: it uses neither the stream nor a clock. For a message
// out of order it returns an error that gives the message's number.
//
// The messages of the two directions may be interleaved. The order in each direction is:
//
//	request_headers, (request_body)*, [request_trailers]
//	[response_headers], (response_body)*, [response_trailers]
//
// The first message of a stream must be request_headers, on which the decision depends; Step returns no error for a
// client_window_update in its place. After a message with end_of_stream, or trailers, a direction has no more messages.
// Response headers are absent if the caller's settings skip them (response_header_mode). They may come at any time,
// because a response may begin before the request has ended.
type StreamState struct {
	// ObserveOnly is the caller's observability_mode, in which messages get no reply.
	ObserveOnly bool
	// RequestMode and ResponseMode are the body modes that the caller sent in protocol_config.
	RequestMode, ResponseMode filterv3.ProcessingMode_BodySendMode
	// EarlyBody is the caller's send_body_without_waiting_for_header_response.
	EarlyBody bool

	request, response direction
	messages          uint64
}

// NewStreamState returns the state of a stream before its first message.
func NewStreamState() *StreamState {
	return &StreamState{RequestMode: modeUnknown, ResponseMode: modeUnknown}
}

// Step checks the next message and updates the state. last reports that the message ends its direction.
func (s *StreamState) Step(msg *pb.ProcessingRequest) (phase Phase, last bool, err error) {
	s.messages++
	if s.messages > maxMessages {
		return NoPhase, false, s.violation("stream has more than %d messages", maxMessages)
	}
	phase, last = classify(msg)
	if phase == NoPhase {
		if msg.GetClientWindowUpdate() == nil && s.messages == 1 {
			return NoPhase, false, s.violation("the first message must be request_headers (request_header_mode SEND)")
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

// classify returns a message's phase. last reports that the message ends its direction.
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

// checkOrder returns an error if the message is out of order. phase is the message's phase, d its direction.
func (s *StreamState) checkOrder(msg *pb.ProcessingRequest, phase Phase, d *direction) error {
	switch {
	case s.messages == 1 && phase != RequestHeaders:
		return s.violation("%v received before request_headers (request_header_mode must be SEND)", phase)
	case s.messages > 1 && s.ObserveOnly != msg.GetObservabilityMode():
		return s.violation("observability_mode differs from that of the first message")
	case d.ended:
		return s.violation("%v received after end_of_stream or trailers", phase)
	case (phase == RequestHeaders || phase == ResponseHeaders) && d.started:
		return s.violation("%v received twice", phase)
	}
	return nil
}

// violation returns an error about the latest message, with the message's number on the stream, counted from 1.
func (s *StreamState) violation(format string, args ...any) error {
	return fmt.Errorf("message %d: %s", s.messages, fmt.Sprintf(format, args...))
}

// readProtocolConfig sets the modes from the first message.
func (s *StreamState) readProtocolConfig(msg *pb.ProcessingRequest) {
	s.ObserveOnly = msg.GetObservabilityMode()
	if c := msg.GetProtocolConfig(); c != nil {
		s.RequestMode, s.ResponseMode = c.GetRequestBodyMode(), c.GetResponseBodyMode()
		s.EarlyBody = c.GetSendBodyWithoutWaitingForHeaderResponse()
	}
}

// ContinueReply returns the reply that lets the caller pass the message on unchanged, nil if the message gets no reply. In
// the body modes FULL_DUPLEX_STREAMED and GRPC, in which the processor returns the body, the reply contains the body.
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

// continueBody returns the reply that lets the caller pass a part of a body on unchanged.
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
