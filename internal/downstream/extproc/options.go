package extproc

import (
	"log/slog"
	"sync/atomic"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
)

// defaultRetryStreamTimeout is Options.RetryStreamTimeout where that is 0.
const defaultRetryStreamTimeout = time.Second

// Options are the settings of a Server.
type Options struct {
	Clock  engine.Clock
	Router ingress.Router
	Log    *slog.Logger
	// MaxStreams bounds the open streams over all connections, 1 or more.
	MaxStreams int
	// MaxHeaderBytes bounds the names and values of a message's headers.
	MaxHeaderBytes int
	// MaxMessageBytes bounds a message, and so a buffered body.
	MaxMessageBytes int
	// MaxBufferedBytes bounds the buffered request and response bodies of all streams.
	MaxBufferedBytes int64
	// MaxResponseBytes bounds the body of a response that is not streamed to the caller.
	MaxResponseBytes int
	// FirstMessageTimeout is the time within which a stream's first message must come.
	FirstMessageTimeout time.Duration
	// RetryStreamTimeout is the time within which the caller must open a stream for a retry that was decided on;
	// 0 for one second.
	RetryStreamTimeout time.Duration
	// AllowModeOverride says that the caller applies mode_override (its allow_mode_override).
	AllowModeOverride bool
	// OnEndpointPicked is called for each endpoint that is picked, with the time remaining for the request; nil for
	// none. It must not block.
	OnEndpointPicked func(id, address string, remaining time.Duration)
	// Idempotency bounds what is stored of requests whose effect may not happen twice.
	Idempotency idempotency.Limits
}

// Stats counts requests by outcome, and events of streams. It may be read while it changes.
type Stats struct {
	Forwarded, Picked        atomic.Int64 // requests, by mode
	Served, Rejected, Failed atomic.Int64 // final answers
	Duplicates               atomic.Int64 // requests answered by what is known of an earlier one
	Disconnected             atomic.Int64 // requests whose caller disconnected
	ProtocolErrors           atomic.Int64 // streams ended for a message that is out of order or malformed
	EndpointMismatches       atomic.Int64 // requests that a caller sent to another endpoint than the one picked
	UnreportedOutcomes       atomic.Int64 // picks whose outcome the caller did not report in time
	EndpointsPicked          atomic.Int64 // endpoints named to callers
	StreamsRejected          atomic.Int64 // streams over MaxStreams
}
