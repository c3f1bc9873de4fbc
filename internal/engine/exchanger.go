package engine

import (
	"time"

	"yokestall/policy"
)

// Exchanger carries attempts to endpoints.
type Exchanger interface {
	// Exchange sends the payload to the endpoint and returns how that ended. timeRemaining is the request's time until
	// its deadline. It runs on a goroutine of its own, calls call.BeginSend right before the first byte leaves,
	// and returns policy.NeverSent, with nothing sent, where that is false. It returns soon after the call is
	// stopped (Call.OnStop, Call.Context); its result then is dropped, unless the request takes late answers.
	Exchange(call *Call, endpoint policy.EndpointID, payload any, timeRemaining time.Duration) Result
}

// Result is how one attempt ended, and the endpoint's answer, if there is one.
//
// An Answer that is an io.Closer holds resources until the receiver of the final answer closes it: the engine closes
// the answers that it gives to nobody.
type Result struct {
	Status policy.Status
	// Answer is the endpoint's, nil if there is none. With another status than policy.OK it is what the client gets
	// if no attempt succeeds.
	Answer any
	// Final ends the request with this outcome, whatever it is: there are no further attempts.
	Final bool
}

// StreamingPayload is a payload that may still be arriving from the client while it is sent. It has no second attempt
// in flight while it streams, and no further attempt once its beginning was discarded.
type StreamingPayload interface {
	Streaming() bool // a part of it has not arrived
	Consumed() bool  // it can't be sent from its beginning any more
}

// SelfTimedPayload is a payload whose attempts have no timeout of the engine's: its Exchanger has one of its own, or
// they last until the request's deadline.
type SelfTimedPayload interface{ SelfTimed() }
