package extproc

import (
	"log/slog"
	"sync/atomic"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
)

// defaultRetryStreamTimeout applies if Options.RetryStreamTimeout is 0.
const defaultRetryStreamTimeout = time.Second

// Options are the settings of a Server.
type Options struct {
	Clock  engine.Clock
	Router ingress.Router
	Log    *slog.Logger
	// MaxStreams limits the number of open streams over all connections. It is 1 or more.
	MaxStreams int
	// MaxHeaderBytes limits the total length of the names and values in a message's headers.
	MaxHeaderBytes int
	// MaxMessageBytes limits the length of a message, and thereby of a buffered request body.
	MaxMessageBytes int
	// MaxBufferedBytes limits the total length of the buffered request and response bodies of all streams.
	MaxBufferedBytes int64
	// MaxResponseBytes limits the body of a response that is not streamed to the caller.
	MaxResponseBytes int
	// FirstMessageTimeout is the time within which the first message of a stream must arrive.
	FirstMessageTimeout time.Duration
	// RetryStreamTimeout is how long an endpoint that was picked for a retry waits for the caller to open a stream. Zero
	// means one second.
	RetryStreamTimeout time.Duration
	// AllowModeOverride says that the caller applies mode_override (allow_mode_override in the caller's settings).
	AllowModeOverride bool
	// OnEndpointPicked, unless nil, is called for each endpoint that is named to a caller, with the request's id, the
	// endpoint's address and the time remaining for the request. It must not block.
	OnEndpointPicked func(id, address string, remaining time.Duration)
	// Idempotency limits the stored state of requests that are not safe to execute twice.
	Idempotency idempotency.Limits
}

// Stats counts requests by outcome, and events of streams. It may be read while the server runs.
type Stats struct {
	Forwarded, Picked        atomic.Int64 // requests, by the mode of their route
	Served, Rejected, Failed atomic.Int64 // requests, by their final answer
	Duplicates               atomic.Int64 // requests that joined, or were answered because of, an earlier request
	Disconnected             atomic.Int64 // requests whose caller disconnected
	ProtocolErrors           atomic.Int64 // streams ended because a message was out of order or malformed
	EndpointMismatches       atomic.Int64 // attempts that a caller sent to another endpoint than the picked one
	UnreportedOutcomes       atomic.Int64 // picks whose outcome the caller had not reported by the request's deadline
	EndpointsPicked          atomic.Int64 // endpoints named to callers
	StreamsRejected          atomic.Int64 // streams rejected because MaxStreams were open
}
