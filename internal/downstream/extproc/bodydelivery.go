package extproc

// BodyDelivery is how the body of a forwarded request comes. docs/extproc.md gives the reasons.
type BodyDelivery uint8

// The deliveries, by the caller's body mode.
const (
	NoBody           BodyDelivery = iota // the request has none
	BufferedBody                         // the headers continue, and the body comes complete in one message
	StreamedBody                         // the headers get no reply; parts come, and the final answer ends them
	OverrideBodyMode                     // as BufferedBody, once the caller was requested to change its mode
	BypassingBody                        // the body would bypass the processor: the caller's settings have to change
)

// BodyDelivery returns how the body of the request comes whose headers were the latest message. allowModeOverride says
// that the caller applies mode_override.
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

// AllowsStreamedResponse reports whether the caller takes a response as a stream (StreamedImmediateResponse).
func (s *StreamState) AllowsStreamedResponse() bool {
	return s.RequestMode == modeDuplex || s.RequestMode == modeNone && s.request.ended
}
