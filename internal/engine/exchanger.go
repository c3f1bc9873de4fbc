package engine

import (
	"time"

	"yokestall/policy"
)

// Exchanger carries attempts to endpoints.
type Exchanger interface {
	// Exchange sends the payload to the endpoint and returns the result. timeRemaining is the time until the request's
	// deadline, or Request.UploadTimeout while the body is incomplete. Exchange runs on a goroutine of its own. It
	// calls call.BeginSend right before it sends the first byte; if BeginSend returns false, it sends nothing and
	// returns policy.NeverSent. It returns soon after the call is stopped (Call.OnStop, Call.Context); the result of
	// a stopped call is discarded unless the request takes late answers (Request.OnLateAnswer).
	Exchange(call *Call, endpoint policy.EndpointID, payload any, timeRemaining time.Duration) Result
}

// Result is the outcome of one attempt, with the endpoint's answer if there is one.
//
// An Answer that is an io.Closer holds resources until it is closed. The receiver of the final answer closes it; the
// engine closes the answers that it passes to nobody.
type Result struct {
	Status policy.Status
	// Answer is the endpoint's answer, nil if there is none. With a Status other than policy.OK, it is passed to the
	// client if no attempt succeeds. An answer that may be a refusal has to implement Refuser.
	Answer any
	// Final makes this outcome the last one of the request, whatever Status is: no further attempt is made.
	Final bool
}

// StreamingPayload is a payload that may still be arriving from the client while it is sent. Its request has no second
// attempt in flight while the payload streams, and no further attempt once the beginning of the payload was discarded.
type StreamingPayload interface {
	Streaming() bool // reports whether a part of the payload has not arrived yet
	Consumed() bool  // reports whether the payload can no longer be sent from its beginning
}

// ArrivingPayload is a payload that reports when its last byte has arrived from the client. Until then its request's
// attempts do not count as load of their endpoints, so that a client that never ends its body takes no capacity from
// others. The request's deadline applies all the same.
type ArrivingPayload interface {
	// OnArrived has f called, on any goroutine, once the last byte has arrived. It returns false, and does not call f, if
	// that has happened already, or if the body has failed.
	OnArrived(f func()) (arriving bool)
}

// SelfTimedPayload is a payload whose attempts get no timeout from the engine: either its Exchanger has a timeout of its
// own, or the attempts last until the request's deadline.
type SelfTimedPayload interface{ SelfTimed() }
