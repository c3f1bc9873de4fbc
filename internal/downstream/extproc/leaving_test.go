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

// A caller that has gone is named no server, also where one is offered at that very moment; the attempt has
// not begun then, and is free for whoever else asks.
func TestNothingIsNamedToACallerThatHasGone(t *testing.T) {
	t.Parallel()
	gone, leave := context.WithCancel(t.Context())
	leave()
	clock := engine.NewClock()
	for turn := range 50 { // which of the two is seen first is drawn anew each time
		a := &ask{s: &Server{}, cancel: func() {}, offers: make(chan *offer, 1), over: make(chan struct{}), waiting: 1}
		o := &offer{call: engine.NewCall(t.Context()), address: "127.0.0.1:1", outcome: make(chan policy.Status, 1)}
		a.offers <- o
		x := &exchange{s: a.s, stream: ended{ctx: gone}, end: clock.Now() + time.Hour}
		x.s.Clock = clock
		if got, err := x.await(a); got != nil || err == nil {
			t.Fatalf("turn %d: named %v, %v", turn, got, err)
		}
	}
}
