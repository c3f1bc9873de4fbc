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

// disconnectedStream is a stream whose caller has disconnected.
type disconnectedStream struct {
	grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse]
	ctx context.Context
}

func (s disconnectedStream) Context() context.Context { return s.ctx }

// No endpoint is named to a caller that has disconnected, even if an endpoint is picked at the same moment. The attempt
// is never sent.
func TestNothingIsNamedToACallerThatHasGone(t *testing.T) {
	t.Parallel()
	disconnected, disconnect := context.WithCancel(t.Context())
	disconnect()
	clock := engine.NewClock()
	for round := range 50 { // awaitEndpoint selects the endpoint or the disconnect at random
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
		p := &processingStream{server: r.server, rpc: disconnectedStream{ctx: disconnected}, deadline: clock.Now() + time.Hour}
		p.server.Clock = clock
		if got, err := p.awaitEndpoint(r); got != nil || err == nil {
			t.Fatalf("round %d: awaitEndpoint returned endpoint %v, error %v; want no endpoint and an error", round, got, err)
		}
	}
}
