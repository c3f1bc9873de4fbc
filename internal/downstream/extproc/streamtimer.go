package extproc

import (
	"context"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

// sendTimeout is the time within which a caller must read a reply.
const sendTimeout = 30 * time.Second

// errStreamTimeout ends a stream whose caller did not send, or did not read, a message in time.
var errStreamTimeout = status.Error(codes.DeadlineExceeded, "the caller did not send a message, or read a reply, in time")

// streamTimer ends a stream whose caller neither sends nor reads. A Recv or Send of the gRPC library ends only with the
// stream's context, so the timer is created with that context (Server.tap).
type streamTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// streamTimerKey is the context key of a stream's streamTimer.
type streamTimerKey struct{}

// start starts the timer, which ends the stream after the timeout unless stop is called first.
func (t *streamTimer) start(timeout time.Duration) { t.timer.Reset(timeout) }

func (t *streamTimer) stop() { t.timer.Stop() }

// tap is the tap.ServerInHandle of the gRPC server. It gives each Process call a streamTimer that ends the stream after
// FirstMessageTimeout unless it is stopped or started again.
func (s *Server) tap(ctx context.Context, info *tap.Info) (context.Context, error) {
	if info.FullMethodName != pb.ExternalProcessor_Process_FullMethodName {
		return ctx, nil
	}
	t := &streamTimer{}
	ctx, t.cancel = context.WithCancelCause(ctx)
	t.timer = time.AfterFunc(s.FirstMessageTimeout, func() { t.cancel(errStreamTimeout) })
	return timeoutContext{context.WithValue(ctx, streamTimerKey{}, t)}, nil
}

// timeoutContext is a context whose Err is DeadlineExceeded if a streamTimer canceled it. The gRPC library derives the
// status that the caller gets from the context's error, whatever the handler returns.
type timeoutContext struct{ context.Context }

// Err implements context.Context.
func (c timeoutContext) Err() error {
	err := c.Context.Err()
	if err != nil && context.Cause(c.Context) == errStreamTimeout {
		return context.DeadlineExceeded
	}
	return err
}
