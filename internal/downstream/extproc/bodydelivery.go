package extproc

// BodyDelivery is the way in which the caller delivers the body of a forwarded request to the processor.
// docs/extproc.md gives the reasons for each.
type BodyDelivery uint8

// The values of BodyDelivery. Which of them applies depends on the caller's body mode.
const (
	NoBody           BodyDelivery = iota // the request has no body
	BufferedBody                         // after a reply to the headers, the complete body arrives in one message
	StreamedBody                         // the body arrives in parts; the first reply is the final answer
	OverrideBodyMode                     // like BufferedBody, after the reply to the headers set mode_override
	BypassingBody                        // the body would bypass the processor; the caller's settings must change
)

// BodyDelivery returns how the request's body is delivered. It is called after the request headers, before any later
// message. allowModeOverride says whether the caller applies mode_override.
func (s *StreamState) BodyDelivery(allowModeOverride bool) BodyDelivery {
	if s.request.ended {
		return NoBody
	}
	switch s.RequestMode {
	case modeBuffered, modePartial, modeUnknown:
		return BufferedBody
	case modeDuplex, modeGRPC:
		return StreamedBody
	}
	switch {
	case s.RequestMode == modeStreamed && s.EarlyBody:
		return StreamedBody
	case allowModeOverride:
		return OverrideBodyMode
	}
	return BypassingBody
}

// AllowsStreamedResponse reports whether the caller accepts a response as a stream (StreamedImmediateResponse): in the
// body mode FULL_DUPLEX_STREAMED, or in NONE if the request has no body.
func (s *StreamState) AllowsStreamedResponse() bool {
	return s.RequestMode == modeDuplex || s.RequestMode == modeNone && s.request.ended
}
