package extproc

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fairshare"
	"yokestall/internal/idempotency"
)

// Server is an external processor. New creates a Server; Serve accepts connections for it.
type Server struct {
	pb.UnimplementedExternalProcessorServer
	Options
	Stats         Stats
	openStreams   atomic.Int64
	bufferedBytes atomic.Int64  // reserved by all streams, at most MaxBufferedBytes
	lastID        atomic.Uint64 // number of the last generated request id
	idPrefix      string        // prefix of generated request ids, for requests without an id
	maxTimeout    atomic.Int64  // longest timeout of any request so far, in nanoseconds
	shares        fairshare.Ledger

	// mu guards the fields below.
	mu         sync.Mutex
	store      *idempotency.Store
	executions map[*idempotency.Entry]*execution // executions in flight
	picks      map[pickKey]*pickRequest          // requests in flight whose attempts the caller sends
}

// New returns a Server that does not accept connections yet.
func New(o Options) *Server {
	if o.RetryStreamTimeout == 0 {
		o.RetryStreamTimeout = defaultRetryStreamTimeout
	}
	return &Server{
		Options:    o,
		idPrefix:   "x" + strconv.FormatUint(rand.Uint64(), 36) + "-",
		store:      idempotency.New(o.Idempotency),
		executions: map[*idempotency.Entry]*execution{},
		picks:      map[pickKey]*pickRequest{},
	}
}

// InFlight returns the sum of the open streams, the pick requests in flight and the executions in flight. It is 0 if and
// only if nothing is in flight; a request may be counted more than once.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.openStreams.Load()) + len(s.picks) + len(s.executions)
}

// Process handles one stream of a caller (service.ext_proc.v3.ExternalProcessor). A message that is malformed or out of
// order ends the stream with the status InvalidArgument.
func (s *Server) Process(rpc grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse]) error {
	cost, err := s.process(rpc)
	s.awaitTurn(rpc.Context(), cost)
	return err
}

// process handles one stream. It returns what the stream takes of its connection's share, and the status of the stream.
func (s *Server) process(
	rpc grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse],
) (fairshare.Cost, error) {
	if s.openStreams.Add(1) > int64(s.MaxStreams) {
		s.openStreams.Add(-1)
		s.Stats.StreamsRejected.Add(1)
		return fairshare.Local, status.Error(codes.ResourceExhausted, "too many open streams: the server's limit is reached")
	}
	defer s.openStreams.Add(-1)
	p := &processingStream{server: s, rpc: rpc, state: NewStreamState(), arrivedAt: s.Clock.Now(), cost: fairshare.Local}
	p.timer = rpc.Context().Value(streamTimerKey{}).(*streamTimer)
	defer p.timer.stop()
	defer p.releaseBuffers()
	err := s.statusOf(rpc.Context(), p.run())
	return p.cost, err
}

// statusOf returns the status with which a stream ends, nil for OK. err is the result of handling the stream.
func (s *Server) statusOf(ctx context.Context, err error) error {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return nil
	case errors.Is(context.Cause(ctx), errStreamTimeout):
		return errStreamTimeout
	case ctx.Err() != nil:
		return status.FromContextError(ctx.Err()).Err()
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	s.Stats.ProtocolErrors.Add(1)
	return status.Error(codes.InvalidArgument, err.Error())
}
