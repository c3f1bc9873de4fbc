package extproc

import (
	"context"
	"testing"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"

	"yokestall/internal/engine"
	"yokestall/policy"
)

// ended is a stream whose caller has gone.
type ended struct {
	grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse]
	ctx context.Context
}

func (e ended) Context() context.Context { return e.ctx }

// A caller that has disconnected is named no endpoint, also where one is picked at that moment; the attempt is never
// sent.
func TestNothingIsNamedToACallerThatHasGone(t *testing.T) {
	t.Parallel()
	gone, leave := context.WithCancel(t.Context())
	leave()
	clock := engine.NewClock()
	for turn := range 50 { // which of the two is seen first is drawn anew each time
		r := &pickRequest{
			server:         &Server{},
			cancel:         func() {},
			endpoints:      make(chan *pickedEndpoint, 1),
			done:           make(chan struct{}),
			waitingStreams: 1,
		}
		r.endpoints <- &pickedEndpoint{
			call: engine.NewCall(t.Context()), address: "127.0.0.1:1", outcome: make(chan policy.Status, 1),
		}
		p := &processingStream{server: r.server, rpc: ended{ctx: gone}, deadline: clock.Now() + time.Hour}
		p.server.Clock = clock
		if got, err := p.awaitEndpoint(r); got != nil || err == nil {
			t.Fatalf("turn %d: named %v, %v", turn, got, err)
		}
	}
}
