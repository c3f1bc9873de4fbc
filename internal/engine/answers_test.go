package engine

import (
	"context"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// An attempt that waits for its connection when the request is answered is not sent any more.
func TestNothingAfterTheAnswer(t *testing.T) {
	late := make(chan bool, 1)
	c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		<-call.Context().Done() // an exchanger that is slow to see the end
		late <- call.BeginSend()
		return Result{Status: policy.NeverSent}
	}), 1)
	c.Do(t.Context(), c.request(idempotent, 50*time.Millisecond))
	if <-late {
		t.Error("a send after the final answer")
	}
}

// The final answer closes the gates of all attempts itself, without waiting for the Balancer to cancel them.
func TestFinalAnswerClosesGates(t *testing.T) {
	connecting, inFlight := &attempt{}, &attempt{}
	inFlight.BeginSend()
	r := &Request{answer: make(chan Answer, 1), attempts: []*attempt{connecting, inFlight}}
	(&Cluster{}).sendAnswer(r, Answer{Verdict: Failed})
	if connecting.BeginSend() {
		t.Error("sent after the final answer")
	}
	if a := <-r.answer; !a.MayHaveRun {
		t.Error("the attempt in flight is not counted as one that may have run")
	}
}

// closer is an answer that has to be closed.
type closer chan struct{}

func (c closer) Close() error {
	close(c)
	return nil
}

// An answer that has to be closed and that nobody receives is closed by the engine: of a request whose client
// disconnected, that was aborted, or whose cluster has ended.
func TestUnclaimedAnswersAreClosed(t *testing.T) {
	for name, end := range map[string]func(c *Cluster, disconnect func()){
		"client disconnected": func(_ *Cluster, disconnect func()) { disconnect() },
		"aborted":             func(c *Cluster, _ func()) { c.Abort() },
		"cluster ended":       func(c *Cluster, _ func()) { c.cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			sent, answered, answer := make(chan struct{}), make(chan struct{}), make(closer)
			c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
				call.BeginSend()
				close(sent)
				<-answered
				return Result{Status: policy.OK, Answer: answer}
			}), 1)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			go func() { <-sent; end(c, disconnect) }()
			if a, err := c.Do(ctx, c.request(notIdempotent, testutil.WaitTimeout)); err == nil && a.Verdict == Served {
				t.Errorf("%+v", a)
			}
			close(answered)
			testutil.Wait(t, answer, "the answer to be closed")
		})
	}
}
