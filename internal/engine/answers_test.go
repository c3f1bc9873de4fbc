package engine

import (
	"context"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// An attempt that still waits for its connection when the request is answered must not be sent afterwards.
func TestNothingAfterTheAnswer(t *testing.T) {
	late := make(chan bool, 1)
	c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		<-call.Context().Done() // the exchanger begins its send only after the call was stopped
		late <- call.BeginSend()
		return Result{Status: policy.NeverSent}
	}), 1)
	c.Do(t.Context(), c.request(idempotent, 50*time.Millisecond))
	if <-late {
		t.Error("BeginSend returned true after the final answer, want false")
	}
}

// sendAnswer itself closes the gates of all attempts: it does not wait for the Balancer to cancel them.
func TestFinalAnswerClosesGates(t *testing.T) {
	connecting, inFlight := &attempt{}, &attempt{}
	inFlight.BeginSend()
	r := &Request{answer: make(chan Answer, 1), attempts: []*attempt{connecting, inFlight}}
	(&Cluster{}).sendAnswer(r, Answer{Verdict: Failed})
	if connecting.BeginSend() {
		t.Error("BeginSend of the connecting attempt returned true after the final answer, want false")
	}
	if a := <-r.answer; !a.MayHaveRun {
		t.Error("MayHaveRun is false although an attempt is in flight, want true")
	}
}

// closeSignal is an answer that has to be closed. Close closes the channel.
type closeSignal chan struct{}

func (c closeSignal) Close() error {
	close(c)
	return nil
}

// The engine closes an answer that nobody receives because the client of the request disconnected, the request was
// aborted, or its cluster has ended.
func TestUnclaimedAnswersAreClosed(t *testing.T) {
	for name, end := range map[string]func(c *Cluster, disconnect func()){
		"client disconnected": func(_ *Cluster, disconnect func()) { disconnect() },
		"aborted":             func(c *Cluster, _ func()) { c.Abort() },
		"cluster ended":       func(c *Cluster, _ func()) { c.cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			sent, answered, answer := make(chan struct{}), make(chan struct{}), make(closeSignal)
			c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
				call.BeginSend()
				close(sent)
				<-answered
				return Result{Status: policy.OK, Answer: answer}
			}), 1)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			go func() { <-sent; end(c, disconnect) }()
			if a, err := c.Do(ctx, c.request(notIdempotent, testutil.WaitTimeout)); err == nil && a.Verdict == Served {
				t.Errorf("got the answer %+v, want an error or a verdict other than Served", a)
			}
			close(answered)
			testutil.Wait(t, answer, "the answer to be closed")
		})
	}
}
