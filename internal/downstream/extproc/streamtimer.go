package extproc

import (
	"context"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

// sendTimeout is the time for which a caller may leave a message unread.
const sendTimeout = 30 * time.Second

// errStreamTimeout ends a stream whose caller has not sent, or not read, a message in time.
var errStreamTimeout = status.Error(codes.DeadlineExceeded, "no message came in time, or none was taken")

// streamTimer ends a stream whose caller neither sends nor reads. A Recv or Send of the gRPC library ends with the
// stream's context alone, so the timer is made where that context is (Server.tap).
type streamTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// streamTimerKey is the key of the streamTimer in a stream's context.
type streamTimerKey struct{}

// start ends the stream after a timeout, unless stop is called before.
func (t *streamTimer) start(timeout time.Duration) { t.timer.Reset(timeout) }

func (t *streamTimer) stop() { t.timer.Stop() }

// tap implements tap.ServerInHandle.
func (s *Server) tap(ctx context.Context, info *tap.Info) (context.Context, error) {
	if info.FullMethodName != pb.ExternalProcessor_Process_FullMethodName {
		return ctx, nil
	}
	t := &streamTimer{}
	ctx, t.cancel = context.WithCancelCause(ctx)
	t.timer = time.AfterFunc(s.FirstMessageTimeout, func() { t.cancel(errStreamTimeout) })
	return timeoutContext{context.WithValue(ctx, streamTimerKey{}, t)}, nil
}

// timeoutContext reports DeadlineExceeded where a streamTimer ended it. The library derives the status that the caller
// gets from the context, whatever the handler returns.
type timeoutContext struct{ context.Context }

// Err implements context.Context.
func (c timeoutContext) Err() error {
	err := c.Context.Err()
	if err != nil && context.Cause(c.Context) == errStreamTimeout {
		return context.DeadlineExceeded
	}
	return err
}
