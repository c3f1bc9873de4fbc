package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// No attempt of a request whose client has gone begins, also where the engine has not heard of that yet: not the
// first one, which was decided before, nor a further one, nor one whose server is told to others.
func TestNoAttemptBeginsForAClientThatHasGone(t *testing.T) {
	t.Parallel()
	for name, begun := range map[string]int32{"the first": 0, "the second": 1, "the third": 2} {
		for undrained, begin := range map[string]func(c *Call) bool{
			"sent here": (*Call).BeginSend, "sent by others": func(c *Call) bool { return c.BeginSendUnlessDraining(c.clock.Now()) },
		} {
			t.Run(name+", "+undrained, func(t *testing.T) {
				t.Parallel()
				var gone atomic.Bool
				var number atomic.Int32
				attempts := make(chan bool, 8)
				c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
					if number.Add(1) > begun {
						gone.Store(true) // as its connection comes up
					}
					attempts <- begin(call)
					return Result{Status: policy.ErrorResponse}
				}), 1, 2, 3)
				r := c.request(0, testutil.Patience)
				r.ClientDisconnected = gone.Load
				ctx, leave := context.WithCancel(t.Context())
				over := make(chan struct{})
				go func() { c.Do(ctx, r); close(over) }()
				for range begun {
					if !testutil.Wait(t, attempts, "an attempt before") {
						t.Fatal("an attempt was barred whose client waits")
					}
				}
				if testutil.Wait(t, attempts, "the attempt behind") {
					t.Error("an attempt began whose client has gone")
				}
				leave()
				testutil.Wait(t, over, "the request's end")
			})
		}
	}
}
