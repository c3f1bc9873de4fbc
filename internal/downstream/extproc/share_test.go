package extproc_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// Guards against a caller that takes the processor from others by the calls of one connection that no endpoint works for: it gets
// 100 at once and 100 a second, or as many as it has open in each quarter of a second.
func TestCallsOfOneConnectionKeepTheirShare(t *testing.T) {
	const calls, duration = 100, time.Second
	r := startProcessor(t, nil) // with no endpoint, no request is sent
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var answers atomic.Int64
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			for ctx.Err() == nil {
				if exchangeOne(ctx, r) == nil {
					answers.Add(1)
				}
			}
		})
	}
	running.Wait()
	if most := int64(100 + 100 + 5*calls); answers.Load() > most || answers.Load() == 0 {
		t.Errorf("%d answers on one connection in %v, want some and at most %d", answers.Load(), duration, most)
	}
	if s := r.server.Shares(); s.Waits == 0 {
		t.Errorf("%+v, want some waits", s)
	}
}

// exchangeOne opens a stream, sends a request and reads to the stream's end.
func exchangeOne(ctx context.Context, r *rig) error {
	s, err := pb.NewExternalProcessorClient(r.conn).Process(ctx)
	if err != nil {
		return err
	}
	if err := s.Send(requestHeaders(true, "/x", "x-timeout-ms", "1")); err != nil {
		return err
	}
	if _, err := s.Recv(); err != nil {
		return err
	}
	s.CloseSend()
	for {
		if _, err := s.Recv(); err != nil {
			return nil
		}
	}
}
